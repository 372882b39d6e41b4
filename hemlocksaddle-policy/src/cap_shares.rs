//! Shares of a tenant's cap that several shards divide among themselves.
//!
//! One owner starts rounds; in each, one shard receives what the others leave. Every shard confirms
//! a round by its holding, and raises its limit only once all others have confirmed the same
//! round. The sum of what may be in use stays within the cap whatever the order and delay of the
//! records. `docs/design/cap-shares.md` gives the reasons.

mod division;
mod holder;
mod want;

use hemlocksaddle_types::resources::Resources;
use serde::{Deserialize, Serialize};

pub use self::{
    division::Division,
    holder::{Holder, Need},
    want::WantReport,
};

/// Division of a tenant's cap, decided by one owner for all shards.
///
/// Resources without a limit have the largest number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// Number, which is higher than that of all earlier rounds of the tenant.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of shards that divide the cap.
    #[serde(rename = "s")]
    pub shards: u32,
    /// Cap that is divided.
    #[serde(rename = "c")]
    pub cap: Resources,
    /// Shard that receives what the others leave.
    #[serde(rename = "r")]
    pub receiver: u32,
    /// Most that each other shard may keep.
    #[serde(rename = "k")]
    pub keep: Resources,
}

/// Resources that a shard lacks for a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// What is in use and what waits.
    #[serde(rename = "t")]
    pub total: Resources,
    /// Largest task or gang that the limit holds back.
    #[serde(rename = "u")]
    pub unit: Resources,
}

/// What one shard holds of a tenant's cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Confirmed round; 0 if there was none.
    #[serde(rename = "n")]
    pub round: u64,
    /// Number of shards that divide the cap.
    #[serde(rename = "s")]
    pub shards: u32,
    /// Cap that the limit is a part of.
    #[serde(rename = "c")]
    pub cap: Resources,
    /// Limit up to which tasks were started when the record was made.
    #[serde(rename = "l")]
    pub limit: Resources,
    /// Most that may be in use in this round, unless the shard is its receiver.
    #[serde(rename = "h")]
    pub held: Resources,
    /// Present while the tenant is held back.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub want: Option<Want>,
}

impl Holding {
    /// Holding of a shard whose record cannot be read: no share is certain.
    #[must_use]
    pub fn unreadable() -> Holding {
        Holding {
            round: 0,
            shards: 0,
            cap: NOTHING,
            limit: NOTHING,
            held: NOTHING,
            want: None,
        }
    }

    /// Whether two records say the same to other shards.
    #[must_use]
    pub fn equals_but_for_limit(&self, other: &Holding) -> bool {
        let limit = self.limit;
        Holding { limit, ..*other } == *self
    }

    fn is_unreadable(&self) -> bool {
        // A cap without a limit has the largest number.
        self.round == 0 && self.cap == NOTHING
    }
}

const NOTHING: Resources = Resources {
    cpu_milli: 0,
    memory_mb: 0,
    accelerators: 0,
};

/// No limit in any resource.
pub(crate) const UNLIMITED: Resources = Resources {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u64::MAX,
};

fn each(a: &Resources, b: &Resources, f: impl Fn(u64, u64) -> u64) -> Resources {
    Resources {
        cpu_milli: f(a.cpu_milli, b.cpu_milli),
        memory_mb: f(a.memory_mb, b.memory_mb),
        accelerators: f(a.accelerators, b.accelerators),
    }
}

/// Limits from a configured cap, in which 0 means that there is none.
#[must_use]
pub fn limits(cap: &Resources) -> Resources {
    each(cap, cap, |cap, _| if cap == 0 { u64::MAX } else { cap })
}

/// Limit of a shard while the cap is divided equally; the remainders go to the lowest shards.
#[must_use]
pub fn equal_share(cap: &Resources, shard: u32, shards: u32) -> Resources {
    let (shard, shards) = (u64::from(shard), u64::from(shards.max(1)));
    each(cap, cap, |cap, _| match cap {
        u64::MAX => u64::MAX,
        _ => cap / shards + u64::from(shard < cap % shards),
    })
}

/// Cap that the admission of a tenant's work in a shard counts with, in which 0 means no limit.
///
/// An equal part can be had again soon after it was given away.
#[must_use]
pub fn admitted_cap(cap: &Resources, limit: &Resources, shards: u32) -> Resources {
    let part = each(cap, cap, |cap, _| cap.div_ceil(u64::from(shards.max(1))));
    each(&part, limit, |part, limit| match (part, limit) {
        (0, _) | (_, u64::MAX) => part,
        _ => part.max(limit),
    })
}

/// What others leave of a cap.
fn rest(cap: &Resources, others: &Resources) -> Resources {
    each(cap, others, |cap, others| match cap {
        u64::MAX => u64::MAX,
        _ => cap.saturating_sub(others),
    })
}

/// Equal part of a cap for each of several shards, without remainders.
fn part(cap: &Resources, shards: u32) -> Resources {
    equal_share(cap, shards, shards)
}

/// Sum of what all shards but one hold in a round; `None` until all of them have confirmed it.
fn held_by_others(
    holdings: &[Option<Holding>],
    shard: u32,
    shards: u32,
    round: u64,
) -> Option<Resources> {
    (0..shards)
        .filter(|&other| other != shard)
        .try_fold(NOTHING, |sum, other| {
            let holding = holdings.get(other as usize)?.as_ref()?;
            let has_confirmed = holding.round == round && holding.shards == shards;
            has_confirmed.then(|| sum.saturating_add(&holding.held))
        })
}
