//! Environment shared by ownership, configuration, peers and the journal.
//!
//! [`LogHealth`] records the outcome of all log requests of the node, whichever
//! module made them. The log counts as failing only if no answer has arrived
//! since the last failed request was sent; an answer to an earlier request also
//! clears the failure.

use std::{cell::Cell, rc::Rc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    name::{DataCentre, NodeName},
};

use crate::{
    event::Event,
    invariant::{Invariants, OnViolation},
    metrics::Metrics,
    ports::{PortFuture, Ports},
    settings::Settings,
};

/// Age up to which a successful log request, counted from its sending, shows that the log is up.
pub const LOG_UP_MAX_AGE_MS: Millis = Millis(2_000);

/// Times of the latest successful and failed log requests.
#[derive(Default)]
pub struct LogHealth {
    last_success_sent_ms: Cell<Option<MonoMs>>,
    last_success_at_ms: Cell<Option<MonoMs>>,
    last_failure_sent_ms: Cell<Option<MonoMs>>,
}

impl LogHealth {
    /// Records a request sent at `sent_ms` and answered at `now`.
    pub fn record_success(&self, sent_ms: MonoMs, now: MonoMs) {
        let was_failing = self.is_failing();
        self.last_success_sent_ms
            .set(self.last_success_sent_ms.get().max(Some(sent_ms)));
        self.last_success_at_ms.set(Some(now));
        if was_failing && !self.is_failing() {
            Event::LogReachable.log(format_args!("answer after {}", now.since(sent_ms)));
        }
    }

    /// Records a request that was refused or timed out.
    pub fn record_failure(&self, sent_ms: MonoMs) {
        let was_failing = self.is_failing();
        self.last_failure_sent_ms
            .set(self.last_failure_sent_ms.get().max(Some(sent_ms)));
        if !was_failing && self.is_failing() {
            Event::LogUnreachable.log(format_args!("call failed, sent at {}", sent_ms.0));
        }
    }

    /// Whether a request failed and no answer has arrived since it was sent.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        match (
            self.last_failure_sent_ms.get(),
            self.last_success_at_ms.get(),
        ) {
            (Some(failed), Some(succeeded)) => succeeded < failed,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Time since the last failed request was sent; `None` if the log is not failing.
    #[must_use]
    pub fn failed_ago(&self, now: MonoMs) -> Option<Millis> {
        let sent_ms = self.last_failure_sent_ms.get()?;
        self.is_failing().then(|| now.since(sent_ms))
    }

    /// Whether a request sent within [`LOG_UP_MAX_AGE_MS`] succeeded.
    #[must_use]
    pub fn is_up(&self, now: MonoMs) -> bool {
        let sent_ms = self.last_success_sent_ms.get();
        sent_ms.is_some_and(|sent_ms| now.since(sent_ms) <= LOG_UP_MAX_AGE_MS)
    }
}

/// Ports, settings and shared state of the inner modules.
pub struct Env {
    /// Ports to the outside.
    pub ports: Ports,
    /// Settings of the node.
    pub settings: Settings,
    /// Wall-clock time at which this node started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Monotonic time at which this node started.
    pub started_at: MonoMs,
    /// Run-time checks of invariants.
    pub invariants: Rc<Invariants>,
    /// Metrics of the node.
    pub metrics: Rc<Metrics>,
    /// Whether the node has begun a planned stop.
    pub stopping: Rc<Cell<bool>>,
    /// Whether the node has stopped; background tasks return once this is set.
    pub ended: Cell<bool>,
    /// Whether the node has caught up with the log and serves.
    pub ready: Cell<bool>,
    /// Health of the log as seen from this node.
    pub log_health: LogHealth,
}

impl Env {
    /// Creates the environment; the node's start time is now.
    #[must_use]
    pub fn new(ports: Ports, settings: Settings, on_violation: OnViolation) -> Rc<Env> {
        let started_ms = ports.runtime.wall_now().0;
        let started_at = ports.runtime.now();
        Rc::new(Env {
            ports,
            settings,
            started_ms,
            started_at,
            invariants: Rc::new(Invariants::new(on_violation)),
            metrics: Rc::default(),
            stopping: Rc::default(),
            ended: Cell::new(false),
            ready: Cell::new(false),
            log_health: LogHealth::default(),
        })
    }

    /// Monotonic time.
    #[must_use]
    pub fn now(&self) -> MonoMs {
        self.ports.runtime.now()
    }

    /// Waits for the duration.
    pub fn sleep(&self, duration: Millis) -> PortFuture<'static, ()> {
        self.ports.runtime.sleep(duration)
    }

    /// Spawns a background task.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.ports.runtime.spawn(Box::pin(future));
    }

    /// Name of this node.
    #[must_use]
    pub fn node(&self) -> &NodeName {
        &self.settings.node
    }

    /// Data centre of a node; `None` if the node is not in the settings.
    #[must_use]
    pub fn data_centre_of(&self, node: &NodeName) -> Option<&DataCentre> {
        let mut peers = self.settings.peers.iter();
        peers
            .find(|peer| peer.node == *node)
            .map(|peer| &peer.data_centre)
    }
}
