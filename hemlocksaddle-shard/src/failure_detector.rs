//! Failure detector for the owners of shards.
//!
//! A node probes each owner several times per second. If a probe fails, the
//! connection is closed, which ends the calls that wait on it, and the failure is
//! recorded for the failover decision. Nodes with a small share of a core probe
//! only while a call is pending, because they claim shards later than others anyway.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::Millis,
    workflow::{ShardRequest, ShardResponse},
};

use crate::{
    claims::Claims,
    links::{CallOutcome, Links},
    node::Env,
};

/// Interval at which an owner is probed; three probes fit between two renewals of its claim.
const PROBE_INTERVAL_MS: Millis = Millis(200);

/// Probes the owner of each shard until the process ends.
pub(crate) async fn probe_owners(env: Rc<Env>, claims: Rc<Claims>, links: Rc<Links>) {
    let shards = loop {
        let seen = claims.changed.count();
        if let Some(layout) = claims.layout() {
            break layout.shards;
        }
        claims.changed.wait_past(seen).await;
    };
    for shard in 0..shards {
        env.spawn(probe_owner(
            env.clone(),
            claims.clone(),
            links.clone(),
            shard,
        ));
    }
}

async fn probe_owner(env: Rc<Env>, claims: Rc<Claims>, links: Rc<Links>, shard: u32) {
    loop {
        env.sleep(PROBE_INTERVAL_MS).await;
        let Some(claim) = claims.claim(shard) else {
            continue;
        };
        let may_take_over = claims.candidate(shard, claim.term).has_full_share();
        let is_probed = may_take_over || links.has_pending(claim.address);
        if claims.is_own(&claim) || !is_probed {
            continue;
        }
        let sent_at = env.now();
        let outcome = links
            .call(&claim.node, claim.address, ShardRequest::Ownership(shard))
            .await;
        let answered = matches!(outcome, CallOutcome::Answered(ShardResponse::Owner));
        claims.record_answer(shard, claim.term, sent_at, answered);
    }
}
