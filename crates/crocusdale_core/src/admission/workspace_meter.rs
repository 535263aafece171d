use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time constant of the recent request rate. It spans several requests of each workspace, and
/// forgets a flood soon after it ends.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Time constant of the baseline request rate.
const BASELINE_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Length of a collection period. Requests enter the baseline only after their period has ended.
/// Otherwise the first requests of a flood would raise the baseline before the flood is detected.
const BASELINE_PERIOD: Duration = Duration::from_secs(2);
/// Ratio of the recent share to the baseline share above which a workspace counts as flooding. It
/// is high enough to ignore uneven arrivals.
const FLOOD_RATIO: f64 = 2.0;
/// Weight with which a request of a flood enters the baseline. A flood that goes on for some
/// minutes becomes the baseline of its workspace.
const FLOOD_BASELINE_WEIGHT: f64 = 0.1;
/// Lower bound for the baseline share, so that the first requests of a workspace do not count as a
/// flood.
const MIN_BASELINE_SHARE: f64 = 0.05;
/// Number of recent requests below which a workspace never counts as flooding, because a few
/// requests may arrive together by chance.
const MIN_RECENT_REQUESTS: f64 = 12.0;

/// Detects workspaces that flood this daemon, by comparing their recent with their baseline share
/// of requests.
///
/// Guards against one workspace whose flood makes the requests of all others late. Its share is
/// compared with its own baseline and not with an equal share: users of a large workspace must not
/// be served worse than those of a small one.
#[derive(Debug, Default)]
pub struct WorkspaceMeter {
    recent: RequestCounts,
    last_request_at: Option<MonotonicTime>,
    period: RequestCounts,
    period_start: Option<MonotonicTime>,
    baseline: RequestCounts,
}

/// Exponentially decaying request counts, in total and per workspace.
#[derive(Debug, Default)]
struct RequestCounts {
    total: f64,
    workspaces: HashMap<String, f64>,
}

impl WorkspaceMeter {
    /// Counts a request of `workspace`. Returns whether the workspace currently sends far more than
    /// its baseline share.
    pub fn record_request(&mut self, workspace: &str, now: MonotonicTime) -> bool {
        let age = self.last_request_at.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        self.recent.decay(age, RECENT_TIME_CONSTANT);
        self.recent.add(workspace, 1.0);
        self.roll_period(now);
        self.period.add(workspace, 1.0);
        let has_enough_requests = self.recent.count_of(workspace) >= MIN_RECENT_REQUESTS;
        has_enough_requests && self.exceeds_baseline(workspace, &self.recent)
    }

    /// Whether the share of `workspace` in `counts` exceeds [`FLOOD_RATIO`] times its baseline
    /// share.
    fn exceeds_baseline(&self, workspace: &str, counts: &RequestCounts) -> bool {
        let baseline = self.baseline.share(workspace).max(MIN_BASELINE_SHARE);
        self.baseline.total > 0.0 && counts.share(workspace) > baseline * FLOOD_RATIO
    }

    /// Once the current collection period has ended, moves its requests into the baseline.
    fn roll_period(&mut self, now: MonotonicTime) {
        let age = now.since(*self.period_start.get_or_insert(now));
        if age < BASELINE_PERIOD {
            return;
        }
        self.period_start = Some(now);
        let period = std::mem::take(&mut self.period);
        let weighted = period.workspaces.iter().map(|(workspace, count)| {
            let is_flood = self.exceeds_baseline(workspace, &period);
            (workspace, count * if is_flood { FLOOD_BASELINE_WEIGHT } else { 1.0 })
        });
        let weighted: Vec<(&String, f64)> = weighted.collect();
        self.baseline.decay(age, BASELINE_TIME_CONSTANT);
        for (workspace, count) in weighted {
            self.baseline.add(workspace, count);
        }
    }
}

impl RequestCounts {
    fn decay(&mut self, age: Duration, time_constant: Duration) {
        let factor = (-age.as_secs_f64() / time_constant.as_secs_f64()).exp();
        self.total *= factor;
        for count in self.workspaces.values_mut() {
            *count *= factor;
        }
    }

    fn add(&mut self, workspace: &str, count: f64) {
        self.total += count;
        match self.workspaces.get_mut(workspace) {
            Some(known) => *known += count,
            None => {
                self.workspaces.insert(workspace.to_owned(), count);
            }
        }
    }

    fn count_of(&self, workspace: &str) -> f64 {
        self.workspaces.get(workspace).copied().unwrap_or_default()
    }

    fn share(&self, workspace: &str) -> f64 {
        if self.total > 0.0 { self.count_of(workspace) / self.total } else { 0.0 }
    }
}
