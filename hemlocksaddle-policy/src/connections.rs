//! Slots and memory of the connections to a listener.
//!
//! A client outside the limits must not take what others need, so everything that a connection may hold is
//! claimed before it is read: a slot and the buffers of a head when it is accepted, and a body before its bytes
//! are read. While claims fit, nothing is refused. When all is taken, the connection is closed that has held
//! most for longest without progress; a claim for which none can be closed waits or is refused.
//!
//! A connection that waits for this process, and not for its client, is never closed. `docs/design/untrusted-clients.md`
//! has the arithmetic.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::ClientLimits,
};
use slotmap::{SlotMap, new_key_type};

/// Largest head of a request in bytes if the configuration does not set it.
const DEFAULT_MAX_HEAD_BYTES: usize = 16_384;

/// Range of the largest head. The HTTP library needs a buffer of 8 KB, and more than 64 KB would take the memory
/// of many connections.
const MAX_HEAD_BYTES: std::ops::RangeInclusive<usize> = 8_192..=65_536;

/// Time for a head, and for a connection without a request, if the configuration does not set them.
const DEFAULT_IDLE_MS: Millis = Millis(15_000);

/// Bytes of a head that an open connection has room for.
const HEAD_BYTES: usize = 8_192;

/// Memory of an open connection: 4 KB for each of the stream's buffers, 8 KB for the head of a request and as much for
/// that of an answer, and the state of its task.
const CONNECTION_BYTES: usize = 28_000;

/// Copies of a body that exist until it is handed on: the text itself and what is stored of it.
const BODY_COPIES: usize = 2;

/// Bytes of a body that count as progress.
///
/// Clients that send single bytes make none; one on a link of 2 Mbit/s sends as much in 16 ms.
const PROGRESS_BYTES: usize = 4_096;

/// Time without progress before a connection can be closed in favour of others.
///
/// Several round trips of 30 ms, so that a request that is on its way arrives.
const MIN_STALL_MS: Millis = Millis(250);

/// Share of the process's memory that connections of callers may hold.
const MEMORY_SHARE: usize = 4;

/// Largest body that counts as small, in bytes: submissions of usual size.
const SMALL_BODY_BYTES: usize = 16_384;

/// Part of the memory that larger bodies may not use, so that small ones need not wait for them: one in this
/// many bytes.
const SMALL_BODY_SHARE: usize = 4;

/// Most descriptors that are kept from callers, for peers, the store and workers: one connection for a report
/// and some for orders, for each of 1,200 workers.
const MAX_RESERVED_FDS: usize = 2_048;

/// Most connections of probes or scrapes.
const MAX_PROBES: usize = 32;

/// Most peers that are authenticated at the same time.
const MAX_PENDING_PEERS: usize = 64;

/// Largest answer of the store: a page of 1 MB of records, encoded in base64.
const MAX_STORE_ANSWER_BYTES: usize = 2 << 20;

/// Share of the process's memory that the answers of workers, and of the store, may hold while they arrive.
const ANSWERS_SHARE: usize = 8;

/// Largest answers of the store that arrive at the same time: a new owner reads two streams, and the node follows
/// others.
const STORE_ANSWERS: usize = 4;

/// Least limit of a worker's answer: a report on 1,000 runs.
const MIN_WORKER_ANSWER_BYTES: usize = 256 << 10;

new_key_type! {
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// Largest head of a request in bytes.
#[must_use]
pub fn max_head_bytes(limits: ClientLimits) -> usize {
    match limits.max_head_bytes {
        0 => DEFAULT_MAX_HEAD_BYTES,
        bytes => bytes.clamp(*MAX_HEAD_BYTES.start(), *MAX_HEAD_BYTES.end()),
    }
}

/// Memory and descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: usize,
    /// Maximum number of open descriptors.
    pub max_fds: usize,
}

impl ProcessLimits {
    /// Limits of the callers' listener, with at most `connections`.
    #[must_use]
    pub fn callers(self, connections: usize) -> Limits {
        let budget_bytes = (self.memory_mb << 20) / MEMORY_SHARE;
        let reserved = (self.max_fds / 2).min(MAX_RESERVED_FDS);
        Limits {
            budget_bytes,
            slots: connections.min(self.max_fds - reserved),
        }
    }

    /// Limits of a listener for probes or scrapes.
    #[must_use]
    pub fn probes(self) -> Limits {
        let slots = (self.max_fds / 32).clamp(4, MAX_PROBES);
        Limits {
            // Without bodies; heads of the default size fit beside each other.
            budget_bytes: slots * (CONNECTION_BYTES + DEFAULT_MAX_HEAD_BYTES),
            slots,
        }
    }

    /// Most peers that are authenticated at the same time.
    #[must_use]
    pub fn pending_peers(self) -> usize {
        (self.max_fds / 16).clamp(4, MAX_PENDING_PEERS)
    }

    /// Limits of the store's answers.
    #[must_use]
    pub fn store_answers(self) -> AnswerLimits {
        let total = (self.memory_mb << 20) / ANSWERS_SHARE;
        AnswerLimits {
            answer_bytes: MAX_STORE_ANSWER_BYTES,
            total_bytes: total.max(STORE_ANSWERS * MAX_STORE_ANSWER_BYTES),
        }
    }

    /// Limits of workers' answers.
    #[must_use]
    pub fn worker_answers(self) -> AnswerLimits {
        let memory_bytes = self.memory_mb << 20;
        AnswerLimits {
            answer_bytes: (memory_bytes / 64)
                .clamp(MIN_WORKER_ANSWER_BYTES, MAX_STORE_ANSWER_BYTES),
            total_bytes: memory_bytes / ANSWERS_SHARE,
        }
    }
}

/// Limits of answers to this process's own calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Size of one answer in bytes.
    pub answer_bytes: usize,
    /// Bytes of all answers that arrive at the same time.
    pub total_bytes: usize,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that all connections may hold.
    pub budget_bytes: usize,
    /// Number of open connections.
    pub slots: usize,
}

/// Times that clients have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTimes {
    /// Time for a head.
    pub head_ms: Millis,
    /// Time without a request, and without progress of a body or of an answer.
    pub idle_ms: Millis,
}

impl From<ClientLimits> for ClientTimes {
    fn from(limits: ClientLimits) -> ClientTimes {
        let or_default = |limit| match limit {
            Millis(0) => DEFAULT_IDLE_MS,
            limit => limit,
        };
        ClientTimes {
            head_ms: or_default(limits.head_ms),
            idle_ms: or_default(limits.idle_ms),
        }
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// First byte of a request.
    Idle,
    /// Rest of a head.
    Head,
    /// Rest of a body.
    Body,
    /// This process.
    Working,
    /// Client that reads an answer.
    Answering,
}

/// Reason for closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseReason {
    /// No request for long.
    Idle,
    /// Head without end.
    Head,
    /// Body without progress.
    Body,
    /// Answer that is not read.
    Unread,
    /// Slot was needed for another connection.
    Slots,
    /// Memory was needed for another connection.
    Memory,
    /// No slot or memory was left when it was accepted.
    NotAccepted,
    /// Accepting failed, for example for lack of descriptors.
    AcceptFailed,
}

impl CloseReason {
    /// Name in log lines and metrics.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::Head => "head",
            CloseReason::Body => "body",
            CloseReason::Unread => "unread answer",
            CloseReason::Slots => "slots",
            CloseReason::Memory => "memory",
            CloseReason::NotAccepted => "not accepted",
            CloseReason::AcceptFailed => "accept failed",
        }
    }
}

/// Connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// Connection.
    pub key: ConnectionKey,
    /// Reason.
    pub reason: CloseReason,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    claimed_bytes: usize,
    /// Part of the claimed bytes for a body.
    body_bytes: usize,
    /// Part of the claimed bytes for a large head.
    head_bytes: usize,
    progress_at: MonoMs,
    /// Bytes received since the last progress.
    received_bytes: usize,
    closing: bool,
}

/// Open connections of a listener and what they hold.
#[derive(Debug)]
pub struct Connections {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    claimed_bytes: usize,
    closing: usize,
    closing_bytes: usize,
}

impl Connections {
    /// Creates the state of a listener without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Connections {
        Connections {
            limits,
            connections: SlotMap::with_key(),
            claimed_bytes: 0,
            closing: 0,
            closing_bytes: 0,
        }
    }

    /// Accepts a connection; `None` if there is no room for it.
    ///
    /// `closed` receives the connections that are closed for it.
    pub fn open(&mut self, now: MonoMs, closed: &mut Vec<Close>) -> Option<ConnectionKey> {
        let bytes = CONNECTION_BYTES;
        // Connections that are being closed still have their descriptors, so at most one is ahead.
        if self.connections.len() > self.limits.slots {
            return None;
        }
        if self.connections.len() - self.closing >= self.limits.slots {
            let victim = self.victim(now)?;
            self.close(victim, CloseReason::Slots, closed);
        }
        if !self.make_room(bytes, self.limits.budget_bytes, None, now, closed) {
            return None;
        }
        self.claimed_bytes += bytes;
        Some(self.connections.insert(Connection {
            phase: Phase::Idle,
            claimed_bytes: bytes,
            body_bytes: 0,
            head_bytes: 0,
            progress_at: now,
            received_bytes: 0,
            closing: false,
        }))
    }

    /// Claims memory for `bytes` of a body before they are read; `false` if it has to wait.
    ///
    /// `closed` receives the connections that are closed for it.
    pub fn claim_body(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now: MonoMs,
        closed: &mut Vec<Close>,
    ) -> bool {
        let bytes = bytes * BODY_COPIES;
        let Some(connection) = self.connections.get(key).filter(|it| !it.closing) else {
            return false;
        };
        let budget = self.limits.budget_bytes;
        let budget_bytes = match connection.body_bytes + bytes > SMALL_BODY_BYTES * BODY_COPIES {
            true => budget - budget / SMALL_BODY_SHARE,
            false => budget,
        };
        if !self.make_room(bytes, budget_bytes, Some(key), now, closed) {
            return false;
        }
        self.claimed_bytes += bytes;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.claimed_bytes += bytes;
            connection.body_bytes += bytes;
        }
        true
    }

    /// Returns the memory that was claimed for `bytes` of a body.
    pub fn release_body(&mut self, key: ConnectionKey, bytes: usize) {
        let bytes = bytes * BODY_COPIES;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.claimed_bytes -= bytes;
        connection.body_bytes -= bytes;
        self.claimed_bytes -= bytes;
        if connection.closing {
            self.closing_bytes -= bytes;
        }
    }

    /// Counts bytes that a client has sent, with heads of at most `max_head_bytes`.
    ///
    /// `closed` receives the connections that are closed for a large head, or this one if there is no room for it.
    pub fn received(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        max_head_bytes: usize,
        now: MonoMs,
        closed: &mut Vec<Close>,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        match connection.phase {
            Phase::Idle if bytes > 0 => {
                connection.enter(Phase::Head, now);
                connection.received_bytes = bytes;
            }
            Phase::Head => {
                connection.received_bytes += bytes;
                if connection.received_bytes > HEAD_BYTES / 2 && connection.head_bytes == 0 {
                    self.claim_head(key, max_head_bytes, now, closed);
                }
            }
            Phase::Body => {
                connection.received_bytes += bytes;
                if connection.received_bytes >= PROGRESS_BYTES {
                    connection.enter(Phase::Body, now);
                }
            }
            _ => {}
        }
    }

    /// Claims memory for a head that is larger than usual.
    ///
    /// The HTTP library doubles its buffer when half of it is in use, and keeps it for the next request.
    fn claim_head(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now: MonoMs,
        closed: &mut Vec<Close>,
    ) {
        if !self.make_room(bytes, self.limits.budget_bytes, Some(key), now, closed) {
            self.close(key, CloseReason::Memory, closed);
            return;
        }
        self.claimed_bytes += bytes;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.claimed_bytes += bytes;
            connection.head_bytes = bytes;
        }
    }

    /// Counts bytes of an answer that were passed on.
    pub fn sent(&mut self, key: ConnectionKey, now: MonoMs) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.phase == Phase::Answering
        {
            connection.progress_at = now;
        }
    }

    /// Notes that all that was to be sent has been sent.
    pub fn flushed(&mut self, key: ConnectionKey, now: MonoMs) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.phase == Phase::Answering
        {
            connection.enter(Phase::Idle, now);
        }
    }

    /// Notes what a connection waits for.
    pub fn enter(&mut self, key: ConnectionKey, phase: Phase, now: MonoMs) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.enter(phase, now);
        }
    }

    /// Returns the connections whose time is over; they count as closed.
    pub fn expired(&mut self, times: ClientTimes, now: MonoMs) -> Vec<Close> {
        let expired = self.connections.iter().filter_map(|(key, connection)| {
            let (limit, reason) = match connection.phase {
                Phase::Idle => (times.idle_ms, CloseReason::Idle),
                Phase::Head => (times.head_ms, CloseReason::Head),
                Phase::Body => (times.idle_ms, CloseReason::Body),
                Phase::Answering => (times.idle_ms, CloseReason::Unread),
                Phase::Working => return None,
            };
            let over = !connection.closing && now.since(connection.progress_at) >= limit;
            over.then_some((key, reason))
        });
        let expired: Vec<_> = expired.collect();
        let mut closed = Vec::new();
        for (key, reason) in expired {
            self.close(key, reason, &mut closed);
        }
        closed
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        self.claimed_bytes -= connection.claimed_bytes;
        if connection.closing {
            self.closing -= 1;
            self.closing_bytes -= connection.claimed_bytes;
        }
    }

    /// Number of connections, with those that are being closed.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that all connections hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.claimed_bytes
    }

    /// Bytes that can still be claimed.
    #[must_use]
    pub fn left_bytes(&self) -> usize {
        self.limits.budget_bytes.saturating_sub(self.claimed_bytes)
    }

    /// Closes connections until `bytes` can be claimed within a budget; closes none if they do not suffice.
    fn make_room(
        &mut self,
        bytes: usize,
        budget_bytes: usize,
        except: Option<ConnectionKey>,
        now: MonoMs,
        closed: &mut Vec<Close>,
    ) -> bool {
        let held = self.claimed_bytes - self.closing_bytes;
        let mut missing = (held + bytes).saturating_sub(budget_bytes);
        if missing == 0 {
            return true;
        }
        let mut victims: Vec<_> = self.stalled(except, now).collect();
        let available: usize = victims.iter().map(|&(.., bytes)| bytes).sum();
        if available < missing {
            return false;
        }
        victims.sort_by_key(|&(weight, ..)| std::cmp::Reverse(weight));
        for (_, key, bytes) in victims {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(bytes);
            self.close(key, CloseReason::Memory, closed);
        }
        true
    }

    /// Connections that can be closed in favour of others: what each has held for how long, its key and its bytes.
    fn stalled(
        &self,
        except: Option<ConnectionKey>,
        now: MonoMs,
    ) -> impl Iterator<Item = (u64, ConnectionKey, usize)> {
        self.connections
            .iter()
            .filter_map(move |(key, connection)| {
                let stalled = now.since(connection.progress_at);
                let spared =
                    connection.closing || connection.phase == Phase::Working || Some(key) == except;
                let weight = stalled.0.saturating_mul(connection.claimed_bytes as u64);
                (!spared && stalled >= MIN_STALL_MS).then_some((
                    weight,
                    key,
                    connection.claimed_bytes,
                ))
            })
    }

    fn victim(&self, now: MonoMs) -> Option<ConnectionKey> {
        let most = self.stalled(None, now).max_by_key(|&(weight, ..)| weight)?;
        Some(most.1)
    }

    fn close(&mut self, key: ConnectionKey, reason: CloseReason, closed: &mut Vec<Close>) {
        if let Some(connection) = self.connections.get_mut(key)
            && !connection.closing
        {
            connection.closing = true;
            self.closing += 1;
            self.closing_bytes += connection.claimed_bytes;
            closed.push(Close { key, reason });
        }
    }
}

impl Connection {
    fn enter(&mut self, phase: Phase, now: MonoMs) {
        self.phase = phase;
        self.progress_at = now;
        self.received_bytes = 0;
    }
}
