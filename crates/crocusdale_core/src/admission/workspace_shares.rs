use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

use super::dropped_entries::DroppedEntries;
use super::fair_allocation::FairAllocation;
use super::workspace_usage::{RECENT_TIME_CONSTANT, USUAL_TIME_CONSTANT, WorkspaceUsage, decay};

/// Maximum number of workspaces. Beyond it, the one with the least work is dropped.
const MAX_WORKSPACES: usize = 1_024;
/// Length of a collection period. Work enters the usual share only after its period has ended.
/// Otherwise a flood would raise the usual share of its workspace before anyone is kept waiting.
const USUAL_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a request that found too little capacity makes capacity count as scarce. Rates
/// are compared over the same time.
const SCARCITY_HOLD: Duration = Duration::from_millis(1_500);
/// Maximum age of the fair allocation. Its cost grows with the number of workspaces, so it is not
/// computed for each request.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of one request in the mean work of a request.
const REQUEST_WORK_WEIGHT: f64 = 0.05;
/// Fraction of a mean request below which the usual work of a silent workspace is not kept.
const NEGLIGIBLE_REQUEST: f64 = 0.01;

/// Decides which workspaces get more than their usual share while capacity is scarce.
///
/// The rule is weighted max-min fairness with the usual shares as weights. It keeps a flood of one
/// workspace from making the requests of the others late. It is work-conserving: a workspace is
/// over its share only while others get less than their usual share and their demand. A workspace
/// without any sample, or a coordinator that has just started, has nobody over its share.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    // Ordered, so that sums have the same rounding in each run.
    workspaces: BTreeMap<String, WorkspaceUsage>,
    period_start: Option<MonotonicTime>,
    /// Part of the usual work that the periods since the start can have brought, up to 1.
    coverage: f64,
    request_work: f64,
    scarce_at: Option<MonotonicTime>,
    allocation: Option<FairAllocation>,
    dropped: DroppedEntries,
}

impl WorkspaceShares {
    /// Records a request of `workspace`, whatever is decided for it. `work` is the upstream time of
    /// all its pieces.
    pub fn record(&mut self, workspace: &str, work: Duration, now: MonotonicTime) {
        self.roll_period(now);
        let seconds = work.as_secs_f64();
        let weight = if self.request_work > 0.0 { REQUEST_WORK_WEIGHT } else { 1.0 };
        self.request_work += (seconds - self.request_work) * weight;
        let is_over_share = self.is_over_share(workspace, now);
        self.usage_mut(workspace, now).record(seconds, is_over_share, now);
    }

    /// Records that a request of `workspace` was admitted as on time. Requests that are served late
    /// do not count: a workspace over its share would otherwise get nothing on time.
    pub fn record_admitted(&mut self, workspace: &str, work: Duration, now: MonotonicTime) {
        self.usage_mut(workspace, now).admitted.add(work.as_secs_f64(), now);
    }

    /// Records that a request could not be on time for lack of capacity. Capacity counts as scarce
    /// for 1.5 s from then on.
    pub fn record_scarcity(&mut self, now: MonotonicTime) {
        self.scarce_at = Some(now);
    }

    /// Whether capacity is scarce and `workspace` gets more than its share of it at the cost of
    /// others. Its requests then count as late.
    pub fn is_over_share(&mut self, workspace: &str, now: MonotonicTime) -> bool {
        let is_scarce = self.scarce_at.is_some_and(|at| now.since(at) < SCARCITY_HOLD);
        if !is_scarce || self.coverage <= 0.0 {
            return false;
        }
        let computed_at = self.allocation.as_ref().map(FairAllocation::computed_at);
        if computed_at.is_none_or(|at| now.since(at) >= ALLOCATION_INTERVAL) {
            let (usages, work) = (self.workspaces.values(), self.request_work);
            let usual_scale = RECENT_TIME_CONSTANT.div_duration_f64(USUAL_TIME_CONSTANT);
            let usual_scale = usual_scale / self.coverage;
            self.allocation = Some(FairAllocation::new(usages, work, usual_scale, now));
        }
        match (&self.allocation, self.workspaces.get(workspace)) {
            (Some(allocation), Some(usage)) => allocation.is_exceeded_by(usage, now),
            _ => false,
        }
    }

    /// Number of workspaces that were dropped because there are too many. `None` if there is
    /// nothing to log, or if the last log line is less than a second old.
    pub fn take_dropped(&mut self, now: MonotonicTime) -> Option<u64> {
        self.dropped.take_report(now)
    }

    /// Number of known workspaces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether no workspace is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    fn usage_mut(&mut self, workspace: &str, now: MonotonicTime) -> &mut WorkspaceUsage {
        if !self.workspaces.contains_key(workspace) && self.workspaces.len() >= MAX_WORKSPACES {
            self.drop_smallest(now);
        }
        self.workspaces.entry(workspace.to_owned()).or_default()
    }

    fn drop_smallest(&mut self, now: MonotonicTime) {
        let weight = |(name, usage): (&String, &WorkspaceUsage)| (usage.weight(now), name.clone());
        let smallest = self.workspaces.iter().map(weight).min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, name)) = smallest {
            self.workspaces.remove(&name);
            self.dropped.record();
        }
    }

    /// Once the current period has ended, moves its work into the usual shares.
    fn roll_period(&mut self, now: MonotonicTime) {
        let age = now.since(*self.period_start.get_or_insert(now));
        if age < USUAL_PERIOD {
            return;
        }
        self.period_start = Some(now);
        let gain = 1.0 - decay(age, USUAL_TIME_CONSTANT);
        // Until the time constant has passed, the decayed sum holds only a part of the usual work.
        let usual_part = if self.coverage > 0.0 { gain / self.coverage } else { 0.0 };
        self.coverage += (1.0 - self.coverage) * gain;
        let negligible = self.request_work * NEGLIGIBLE_REQUEST;
        self.workspaces.retain(|_, usage| {
            usage.end_period(age, usage.usual * usual_part);
            usage.weight(now) > negligible
        });
    }
}
