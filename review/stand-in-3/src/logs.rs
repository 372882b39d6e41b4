//! Case: the reader of the nodes' logs stands still.

use std::{io, sync::atomic::Ordering, thread, time::Duration};

use crate::{
    FINISH, System, Verdict,
    consumers::{Answer, Consumers, body},
    is_ready,
};

/// Time of traffic before the reader stops.
const CALM: Duration = Duration::from_secs(8);

/// Time of traffic after that.
const STALLED: Duration = Duration::from_secs(25);

/// Submissions a second, of three tasks each.
const PER_S: u32 = 15;

/// Number of submissions that are asked for at the end, spread over all.
const ASKED: usize = 2;

pub fn play(system: System) -> io::Result<Verdict> {
    let record = &system.record;
    let consumers = Consumers::new(system.callers(), 0, record.clone());
    let body = body("ms=400", 3, 1_000, "");
    consumers.submit_for(CALM, PER_S, &body);
    if system.has_trouble {
        record.note("the logs of all nodes are not read from now on");
        for node in &system.nodes {
            node.is_stalled.store(true, Ordering::Relaxed);
        }
    }
    consumers.submit_for(STALLED, PER_S, &body);
    thread::sleep(FINISH);
    let answered = consumers.answered();
    let count = |wanted| {
        answered
            .iter()
            .filter(|(_, answer)| *answer == wanted)
            .count()
    };
    record.note(&format!(
        "{} submissions: {} accepted, {} refused, {} without an answer",
        answered.len(),
        count(Answer::Accepted),
        count(Answer::Refused),
        count(Answer::Unknown),
    ));
    for node in &system.nodes {
        let is_ready = is_ready(node.ready);
        record.note(&format!("{}: runs, ready: {is_ready}", node.name));
    }
    let lost = consumers.ask_accepted(ASKED, &system.processors);
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
