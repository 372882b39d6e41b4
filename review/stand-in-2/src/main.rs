//! Stand-ins and scenarios of the second independent review.
//!
//! `review-stand-in-2 SCENARIO RECORD` plays a scenario against the node program and writes to the
//! file RECORD what was sent, answered and run. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the scenario could not run. With `TROUBLE=0` in the environment, the disruption
//! is left out.

mod executor;
mod http;
mod platform;
mod record;
mod scenarios;
mod store;

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use platform::World;
use record::Log;

/// Outcome of a scenario.
pub enum Verdict {
    Broken,
    Held,
    /// The scenario could not run.
    NotRun(&'static str),
}

type Scenario = fn(&Log, PathBuf, bool) -> (Arc<World>, Verdict);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = &arguments[..] else {
        eprintln!("usage: review-stand-in-2 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let Some((_, scenario)) = scenarios::ALL.iter().find(|(known, _)| known == name) else {
        eprintln!("no scenario {name}");
        return ExitCode::from(2);
    };
    let scenario: Scenario = *scenario;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Log::create(&PathBuf::from(record));
    log.line(&format!(
        "scenario {name}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    platform::stop_after(Duration::from_secs(119), log.clone());
    let directory = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("temporary folder");
    let (world, verdict) = scenario(&log, directory, has_trouble);
    world.stop();
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    log.line(&text);
    println!("{name}: {text} ({:.0} s)", log.elapsed_s());
    ExitCode::from(code)
}
