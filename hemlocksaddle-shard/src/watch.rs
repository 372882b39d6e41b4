//! Watch over the owners of shards.
//!
//! A node asks each owner several times a second whether it is there. Without an
//! answer, the connection is closed, so that whoever waits on it goes on without
//! the owner, and the claims learn that the owner is suspect. Nodes with a small
//! share of a processor ask only while they wait for an answer: they take over
//! later than others in any case.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Answer, Question},
};

use crate::{
    claims::Claims,
    links::{CallOutcome, Links},
    node::Env,
};

/// Interval at which an owner is outcome; three questions fit between two renewals of its claim.
const PROBE_INTERVAL_MS: Millis = Millis(200);

/// Watches the owner of each shard for as long as the process lives.
pub(crate) async fn watch_owners(env: Rc<Env>, claims: Rc<Claims>, links: Rc<Links>) {
    let shards = loop {
        let seen = claims.changed.count();
        if let Some(layout) = claims.layout() {
            break layout.shards;
        }
        claims.changed.wait_past(seen).await;
    };
    for shard in 0..shards {
        env.spawn(watch_owner(
            env.clone(),
            claims.clone(),
            links.clone(),
            shard,
        ));
    }
}

async fn watch_owner(env: Rc<Env>, claims: Rc<Claims>, links: Rc<Links>, shard: u32) {
    loop {
        env.sleep(PROBE_INTERVAL_MS).await;
        let Some(claim) = claims.claim(shard) else {
            continue;
        };
        let may_take_over = claims.candidate(shard, claim.term).has_full_share();
        let is_watched = may_take_over || links.has_pending(claim.address);
        if claims.is_own(&claim) || !is_watched {
            continue;
        }
        let sent_at = env.now();
        let outcome = links
            .call(&claim.node, claim.address, Question::Ownership(shard))
            .await;
        let answered = matches!(outcome, CallOutcome::Answered(Answer::Owner));
        claims.record_answer(shard, claim.term, sent_at, answered);
    }
}
