//! Quotas and fair sharing between teams by dominant resource fairness (DRF).
//!
//! The dominant share of a team is the largest ratio of usage to quota over all
//! resource dimensions; the team with the lowest one is served next. Quotas are
//! guarantees, not limits: capacity that no quota claims is available to every team
//! with pending work, and usage above a quota is evicted first.

use hemlocksaddle_types::resources::Resources;

/// Dominant share of a team that uses exactly its quota, in thousandths.
pub const AT_QUOTA_MILLI: u64 = 1_000;

/// Dominant share of a team, in thousandths of its quota.
///
/// A dimension with a quota of zero is treated as a quota of one unit, so that
/// teams with a guarantee are served before teams without one.
#[must_use]
pub fn dominant_share_milli(used: &Resources, quota: &Resources) -> u64 {
    let ratio_milli = |used: u64, quota: u64| used.saturating_mul(AT_QUOTA_MILLI) / quota.max(1);
    ratio_milli(used.cpu_milli, quota.cpu_milli)
        .max(ratio_milli(used.memory_mb, quota.memory_mb))
        .max(ratio_milli(used.accelerators, quota.accelerators))
}

/// Whether the usage exceeds the quota in any dimension.
#[must_use]
pub fn over_quota(used: &Resources, quota: &Resources) -> bool {
    !used.fits_in(quota)
}

/// Index of the team to serve next; each item is a team's dominant share and the time since
/// which it has waited.
///
/// The lowest share wins; ties go to the team that has waited longest.
#[must_use]
pub fn next_team(teams: impl IntoIterator<Item = (u64, u64)>) -> Option<usize> {
    let shares = teams.into_iter().enumerate();
    let lowest =
        shares.min_by_key(|(_, (share_milli, waiting_since))| (*share_milli, *waiting_since));
    lowest.map(|(index, _)| index)
}
