//! Connections to workers: which idle ones are kept, and which calls may open more.
//!
//! A worker resets connections above a limit. Each order in flight needs a connection of its own, and a call that
//! gets no answer takes its connection with it, which the worker may hold until it has carried the order out. First
//! orders are never held back. What is bounded is everything else: idle connections of nodes that no longer call
//! the worker, repeats of orders to a worker that leaves them unanswered, and reports beside the waiting one.
//! `docs/design/copies.md` gives the reasons.

use std::collections::VecDeque;

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Time for which a worker may hold the connection of an order that it has not answered.
///
/// Workers carry such orders out up to 20 s late.
const HELD_FOR_MS: Millis = Millis(20_000);

/// Number of unanswered orders from which repeats are held back.
///
/// With one repeat a second for as long as a worker holds them, first orders, and the idle connections of two nodes,
/// this stays below 64.
const MAX_UNANSWERED: usize = 16;

/// Time between repeats that are held back, which show whether the worker answers again.
const PROBE_INTERVAL_MS: Millis = Millis(1_000);

/// Which idle connections to an address are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleRules {
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Time after its last answer for which a connection is kept.
    pub keep_ms: Millis,
}

impl Default for IdleRules {
    fn default() -> IdleRules {
        IdleRules {
            max_idle: 8,
            keep_ms: Millis(5_000),
        }
    }
}

impl IdleRules {
    /// Whether a connection that has been idle for a time may be used again.
    #[must_use]
    pub fn is_reusable(&self, idle: Millis) -> bool {
        idle < self.keep_ms
    }

    /// Whether another connection is kept beside `idle` ones.
    #[must_use]
    pub fn keeps_another(&self, idle: usize) -> bool {
        idle < self.max_idle
    }

    /// Whether a connection that has been idle for a time is kept when a call was lost after `waited`.
    ///
    /// A middlebox that loses its state silences all connections at once. One that has answered since the lost
    /// call was sent was not silenced with it.
    #[must_use]
    pub fn survives_lost_call(&self, idle: Millis, waited: Millis) -> bool {
        idle < waited
    }
}

/// Orders that a worker left unanswered.
#[derive(Clone, Debug, Default)]
pub struct UnansweredOrders {
    /// Times of the unanswered orders, the earliest first.
    lost_at: VecDeque<MonoMs>,
    /// Whether the latest order was answered.
    answers: bool,
    probed_at: Option<MonoMs>,
}

impl UnansweredOrders {
    /// Records an order without an answer.
    pub fn record_lost(&mut self, now: MonoMs) {
        self.forget(now);
        self.answers = false;
        self.lost_at.push_back(now);
    }

    /// Records that an order was answered.
    pub fn record_answer(&mut self) {
        self.answers = true;
    }

    /// Whether an order may be repeated now; a repeat that is allowed counts as sent.
    pub fn take_repeat(&mut self, now: MonoMs) -> bool {
        self.forget(now);
        if self.answers || self.lost_at.len() < MAX_UNANSWERED {
            return true;
        }
        let probes = self
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL_MS);
        if probes {
            self.probed_at = Some(now);
        }
        probes
    }

    /// Whether nothing is left to remember.
    pub fn is_empty(&mut self, now: MonoMs) -> bool {
        self.forget(now);
        self.lost_at.is_empty()
    }

    fn forget(&mut self, now: MonoMs) {
        while let Some(&at) = self.lost_at.front()
            && now.since(at) >= HELD_FOR_MS
        {
            self.lost_at.pop_front();
        }
    }
}

/// Reports that are requested from one worker beside the waiting one.
///
/// A request that was sent before an event may not show it, so that one more follows the one in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExtraReports {
    in_flight: bool,
    again: bool,
}

impl ExtraReports {
    /// Asks for a report; returns whether to request one now.
    pub fn ask(&mut self) -> bool {
        self.again = self.in_flight;
        !std::mem::replace(&mut self.in_flight, true)
    }

    /// Records that the request in flight has ended; returns whether to request one more.
    pub fn ended(&mut self) -> bool {
        let again = std::mem::take(&mut self.again);
        self.in_flight = again;
        again
    }
}
