//! Times of a graceful shutdown, within the grace period after which the process is killed.
//!
//! A node goes on serving callers while its successor reads the state and the load balancer takes
//! it out of rotation. Every request that it has read needs an answer before the process ends. A
//! request may wait for an owner or for the store, so that near the end new requests are refused,
//! and those that wait are answered with what is known of them.

use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE_MS: Millis = Millis(700);

/// Time in which the last answers are written before the process may exit.
const WRITE_RESERVE_MS: Millis = Millis(300);

/// Time before the last answers from which new requests are refused; enough for two calls to a
/// store that takes a quarter of a second.
const REFUSE_AHEAD_MS: Millis = Millis(500);

/// Times of one graceful shutdown, each at or after the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time from which new requests are refused.
    pub refuse_from: MonoMs,
    /// Time by which every request is answered.
    pub answer_by: MonoMs,
    /// Time at which the process exits although something is still open.
    pub exit_by: MonoMs,
    /// Time without a request after which a connection counts as unused.
    pub idle_limit: Millis,
}

impl Shutdown {
    /// Shutdown that begins at `now` in a process that is killed after `grace`.
    #[must_use]
    pub fn new(now: MonoMs, grace: Millis) -> Shutdown {
        let before_exit = |reserve: Millis| {
            let reserve_ms = EXIT_RESERVE_MS.0 + reserve.0;
            now + Millis(grace.0.saturating_sub(reserve_ms))
        };
        Shutdown {
            refuse_from: before_exit(WRITE_RESERVE_MS + REFUSE_AHEAD_MS),
            answer_by: before_exit(WRITE_RESERVE_MS),
            exit_by: before_exit(Millis(0)),
            idle_limit: Millis(grace.0 / 2),
        }
    }

    /// Whether a request that arrives now is refused.
    #[must_use]
    pub fn refuses(&self, now: MonoMs) -> bool {
        now >= self.refuse_from
    }

    /// Time left for the answers to requests in progress.
    #[must_use]
    pub fn time_to_answer(&self, now: MonoMs) -> Millis {
        self.answer_by.since(now)
    }

    /// Time left until a connection that was last used at a time counts as unused.
    #[must_use]
    pub fn time_to_idle_limit(&self, now: MonoMs, last_used: MonoMs) -> Millis {
        (last_used + self.idle_limit).since(now)
    }

    /// Whether the process exits now in any case.
    #[must_use]
    pub fn is_over(&self, now: MonoMs) -> bool {
        now >= self.exit_by
    }
}
