//! Callers, as identified by the key that they present.

use std::{cell::Cell, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::KeyDigest,
};
use serde_json::json;

use crate::{event::Event, node::Env};

/// Shortest time between two log lines about refused calls, which anyone can cause.
const LOG_INTERVAL_MS: Millis = Millis(1_000);

/// Caller of a queue; by default one without a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller(Option<(Arc<str>, KeyDigest)>);

impl Caller {
    pub(crate) fn new(tenant: Arc<str>, key: KeyDigest) -> Caller {
        Caller(Some((tenant, key)))
    }

    /// Name of the caller's tenant.
    #[must_use]
    pub fn tenant(&self) -> Option<&Arc<str>> {
        self.0.as_ref().map(|(tenant, _)| tenant)
    }

    pub(crate) fn key(&self) -> Option<&KeyDigest> {
        self.0.as_ref().map(|(_, key)| key)
    }
}

/// Calls that were refused because they carry no known key.
#[derive(Default)]
pub(crate) struct RefusedCalls {
    /// Number of those that are not logged yet.
    count: Cell<u64>,
    logged_at: Cell<Option<MonoMs>>,
}

impl RefusedCalls {
    /// Counts a refused call; logs it together with earlier ones, once per interval at most.
    pub(crate) fn record(&self, env: &Env, queue: &str, reason: &str) {
        let refused = &env.metrics.refused_calls;
        refused.with_label_values(&[reason]).inc();
        self.count.set(self.count.get() + 1);
        let now = env.now();
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL_MS) {
            return;
        }
        self.logged_at.set(Some(now));
        let inputs = json!({ "queue": queue, "reason": reason, "calls": self.count.take() });
        env.event(Event::CallsRefused, &inputs);
    }
}
