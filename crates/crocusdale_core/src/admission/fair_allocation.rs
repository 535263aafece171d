use crate::identity::MonotonicTime;

use super::workspace_usage::WorkspaceUsage;

/// Minimum weight of a workspace, as a fraction of an equal share. A workspace that was silent has
/// no usual share, and still gets some capacity when it returns.
const MIN_WEIGHT: f64 = 0.5;
/// Ratio of the recent to the usual demand share up to which a workspace is not over its share. It
/// is above 1 because arrivals are uneven, and because a workspace of urgent requests is served
/// before others without sending more than usual.
const GROWTH_RATIO: f64 = 1.25;
/// Number of requests that a workspace may have admitted beyond its allocation, because a few
/// requests may arrive together by chance.
const ALLOWED_EXCESS_REQUESTS: f64 = 2.0;
/// Fraction of the admitted work above which the missing work of others counts.
const MIN_MISSING_FRACTION: f64 = 0.02;

/// Weighted max-min fair division of the admitted work among the workspaces. All values are recent
/// sums, in seconds of upstream time.
#[derive(Debug)]
pub(super) struct FairAllocation {
    computed_at: MonotonicTime,
    demand: f64,
    weight: f64,
    min_weight: f64,
    work_per_weight: f64,
    allowed_excess: f64,
    is_anyone_short: bool,
}

impl FairAllocation {
    /// Divides the recently admitted work. `request_work` is the mean work of a request, and
    /// `usual_scale` the ratio of usual demand in a recent sum to [`WorkspaceUsage::usual`].
    pub(super) fn new<'a>(
        usages: impl Iterator<Item = &'a WorkspaceUsage>,
        request_work: f64,
        usual_scale: f64,
        now: MonotonicTime,
    ) -> Self {
        let usages: Vec<&WorkspaceUsage> = usages.collect();
        let usual: f64 = usages.iter().map(|usage| usage.usual).sum();
        let min_weight = MIN_WEIGHT * usual / usages.len().max(1) as f64;
        // Weight, demand and admitted work of each workspace.
        let rows = usages.iter().map(|usage| {
            (usage.usual.max(min_weight), usage.demand.at(now), usage.admitted.at(now))
        });
        let rows: Vec<(f64, f64, f64)> = rows.collect();
        let weight: f64 = rows.iter().map(|(weight, _, _)| weight).sum();
        let admitted: f64 = rows.iter().map(|(_, _, admitted)| admitted).sum();
        let missing_of = |&(own, demand, served): &(f64, f64, f64)| {
            let usual_share = if weight > 0.0 { admitted * own / weight } else { 0.0 };
            (usual_share.min(demand) - served).max(0.0)
        };
        let missing: f64 = rows.iter().map(missing_of).sum();
        // A workspace with few requests often has none in a recent sum. Its allocation is not
        // given to others for that reason.
        let claims = rows.iter().map(|(own, demand, _)| (*own, demand.max(own * usual_scale)));
        let work_per_weight = max_min_level(claims.collect(), admitted);
        Self {
            computed_at: now,
            demand: rows.iter().map(|(_, demand, _)| demand).sum(),
            weight,
            min_weight,
            work_per_weight,
            allowed_excess: ALLOWED_EXCESS_REQUESTS * request_work,
            is_anyone_short: missing > admitted * MIN_MISSING_FRACTION,
        }
    }

    pub(super) fn computed_at(&self) -> MonotonicTime {
        self.computed_at
    }

    /// Whether the workspace has been admitted more than its allocation, and sends more than usual,
    /// while others get less than their usual share and their demand.
    pub(super) fn is_exceeded_by(&self, usage: &WorkspaceUsage, now: MonotonicTime) -> bool {
        if !self.is_anyone_short {
            return false;
        }
        let weight = usage.usual.max(self.min_weight);
        let allocation = weight * self.work_per_weight + self.allowed_excess;
        let usual_demand = self.demand * weight / self.weight;
        usage.admitted.at(now) > allocation && usage.demand.at(now) > usual_demand * GROWTH_RATIO
    }
}

/// Work for each unit of weight at which `capacity` is used up, if no workspace gets more than its
/// demand. Each row has weight and demand. Infinite if the capacity covers all.
fn max_min_level(mut open: Vec<(f64, f64)>, mut capacity: f64) -> f64 {
    loop {
        let weight: f64 = open.iter().map(|(weight, _)| weight).sum();
        if weight <= 0.0 {
            return f64::INFINITY;
        }
        let level = capacity.max(0.0) / weight;
        let count = open.len();
        open.retain(|(weight, demand)| {
            let is_satisfied = *demand <= weight * level;
            if is_satisfied {
                capacity -= demand;
            }
            !is_satisfied
        });
        if open.len() == count {
            return level;
        }
    }
}
