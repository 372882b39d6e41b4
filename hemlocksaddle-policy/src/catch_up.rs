//! How a reader of a growing stream reaches a state that is complete up to a fixed end.
//!
//! A stream may grow faster than it can be followed: 490 workers write about 445 records a second, so that
//! every read brings more as soon as a read takes longer than a few milliseconds. The reader therefore fixes the
//! end with its first read and stops there; later records are followed after the state has been applied.
//!
//! What has to be read is bounded in two ways. The records up to the end were written since the reader's
//! position. If they are many more than the stream has keys, it is cheaper to read the newest record of each
//! key again, which is complete by itself. For 2,400 workers, 350 bytes a record and a link of 2 Mbit/s that is at
//! most one read of 264 kB and pages of 1.3 MB together, about 6 s, however long the reading before it took.

/// Records to follow for each known key above which the newest records are read again instead.
///
/// A record is larger in a page, in base64 and with its names, by less than half, and a page repeats what is known.
const MAX_FOLLOWED_PER_KEY: u64 = 2;

/// What to read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The records from the position on.
    Follow,
    /// The newest record of each key; the state is complete after it.
    ReadNewest,
    /// Nothing: the state is complete.
    Complete,
}

/// Catching up with a stream.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    keys: u64,
    /// End of the stream at the first read.
    end: Option<u64>,
}

impl CatchUp {
    /// Begins to catch up; `keys` is the number of keys that are known.
    #[must_use]
    pub fn new(keys: usize) -> CatchUp {
        CatchUp {
            keys: keys as u64,
            end: None,
        }
    }

    /// Decides what to read after a read from `from` that led to `next`, in a stream that ended at `end`.
    pub fn after_read(&mut self, from: u64, next: u64, end: u64) -> Next {
        let end = *self.end.get_or_insert(end);
        let left = end.saturating_sub(next);
        if left == 0 {
            Next::Complete
        } else if next <= from || left > self.keys.saturating_mul(MAX_FOLLOWED_PER_KEY) {
            // A read that brings nothing although the stream goes on would be repeated for ever.
            Next::ReadNewest
        } else {
            Next::Follow
        }
    }
}
