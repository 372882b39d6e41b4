//! What ownership, configuration, peers and the journal share.
//!
//! [`LogHealth`] collects the outcome of every call to the log, whichever module
//! made it. "Down" is stated strictly: an answer that arrived after a failed
//! attempt was sent cancels that attempt.

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

/// Age of a successful call up to which the log counts as up.
pub const LOG_UP_MAX_AGE_MS: Millis = Millis(2_000);

/// Outcome of the latest calls to the log.
#[derive(Default)]
pub struct LogHealth {
    last_success_sent_ms: Cell<Option<MonoMs>>,
    last_success_at_ms: Cell<Option<MonoMs>>,
    last_failure_sent_ms: Cell<Option<MonoMs>>,
}

impl LogHealth {
    /// Notes a call that was answered now.
    pub fn record_success(&self, sent_ms: MonoMs, now: MonoMs) {
        let was_failing = self.is_failing();
        self.last_success_sent_ms
            .set(self.last_success_sent_ms.get().max(Some(sent_ms)));
        self.last_success_at_ms.set(Some(now));
        if was_failing && !self.is_failing() {
            Event::LogReachable.log(format_args!("answer after {}", now.since(sent_ms)));
        }
    }

    /// Notes a call that was refused or not answered in time.
    pub fn record_failure(&self, sent_ms: MonoMs) {
        let was_failing = self.is_failing();
        self.last_failure_sent_ms
            .set(self.last_failure_sent_ms.get().max(Some(sent_ms)));
        if !was_failing && self.is_failing() {
            Event::LogUnreachable.log(format_args!("call failed, sent at {}", sent_ms.0));
        }
    }

    /// Whether the last attempt failed.
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

    /// Time since the last attempt was sent, if it failed.
    #[must_use]
    pub fn failed_ago(&self, now: MonoMs) -> Option<Millis> {
        let sent_ms = self.last_failure_sent_ms.get()?;
        self.is_failing().then(|| now.since(sent_ms))
    }

    /// Whether a call sent within the last two seconds succeeded.
    #[must_use]
    pub fn is_up(&self, now: MonoMs) -> bool {
        let sent_ms = self.last_success_sent_ms.get();
        sent_ms.is_some_and(|sent_ms| now.since(sent_ms) <= LOG_UP_MAX_AGE_MS)
    }
}

/// Ports, settings and state that the inner modules share.
pub struct Env {
    /// Ports.
    pub ports: Ports,
    /// Settings.
    pub settings: Settings,
    /// Wall-clock start of this node in milliseconds.
    pub started_ms: u64,
    /// Monotonic start of this node.
    pub started_at: MonoMs,
    /// Assertions.
    pub invariants: Rc<Invariants>,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Whether the node has begun a planned stop.
    pub stopping: Rc<Cell<bool>>,
    /// Whether the node has ended; background tasks return.
    pub ended: Cell<bool>,
    /// Whether the node has caught up and serves.
    pub ready: Cell<bool>,
    /// Outcome of calls to the log.
    pub log_health: LogHealth,
}

impl Env {
    /// New environment; the node starts now.
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

    /// Completes after the duration.
    pub fn sleep(&self, duration: Millis) -> PortFuture<'static, ()> {
        self.ports.runtime.sleep(duration)
    }

    /// Runs a future in the background.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.ports.runtime.spawn(Box::pin(future));
    }

    /// Name of this node.
    #[must_use]
    pub fn node(&self) -> &NodeName {
        &self.settings.node
    }

    /// Data centre of a node in the settings.
    #[must_use]
    pub fn data_centre_of(&self, node: &NodeName) -> Option<&DataCentre> {
        let mut peers = self.settings.peers.iter();
        peers
            .find(|peer| peer.node == *node)
            .map(|peer| &peer.data_centre)
    }
}
