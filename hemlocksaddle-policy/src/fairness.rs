//! Quotas and fair sharing between teams.
//!
//! A team's load is its dominant share: the largest ratio of use to quota over
//! the dimensions. The team with the lowest load is served next. Quotas are
//! guarantees, not caps: capacity that nobody's quota needs goes to whoever has
//! work, and what exceeds a quota is the first to be evicted.

use hemlocksaddle_types::resources::Resources;

/// Load of a team at exactly its quota, in thousandths.
pub const AT_QUOTA_MILLI: u64 = 1_000;

/// Dominant share of the quota that is used, in thousandths.
///
/// A dimension without quota counts against a quota of one unit, so that a team
/// without a guarantee comes after all teams with one.
#[must_use]
pub fn dominant_share_milli(used: &Resources, quota: &Resources) -> u64 {
    let ratio_milli = |used: u64, quota: u64| used.saturating_mul(AT_QUOTA_MILLI) / quota.max(1);
    ratio_milli(used.cpu_milli, quota.cpu_milli)
        .max(ratio_milli(used.memory_mb, quota.memory_mb))
        .max(ratio_milli(used.accelerators, quota.accelerators))
}

/// Whether a use exceeds the quota in any dimension.
#[must_use]
pub fn over_quota(used: &Resources, quota: &Resources) -> bool {
    !used.fits_in(quota)
}

/// Index of the team to serve next: the lowest load, then the longest waiting.
#[must_use]
pub fn next_team(teams: impl IntoIterator<Item = (u64, u64)>) -> Option<usize> {
    let shares = teams.into_iter().enumerate();
    let lowest =
        shares.min_by_key(|(_, (share_milli, waiting_since))| (*share_milli, *waiting_since));
    lowest.map(|(index, _)| index)
}
