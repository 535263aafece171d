use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time constant of what a workspace sends now: some requests of each, and gone soon after a flood.
const RECENT_TIME: Duration = Duration::from_millis(1_500);
/// Time constant of what it usually sends.
const USUAL_TIME: Duration = Duration::from_secs(20);
/// Length of the periods whose requests become usual together, after they are over: what comes in
/// at the beginning of a flood must not make it usual before it is seen.
const PERIOD: Duration = Duration::from_secs(2);
/// Multiple of its usual share of the requests above which a workspace floods: above uneven arrivals.
const FLOOD_SHARE: f64 = 2.0;
/// Part of a request of a flood that becomes usual: in some minutes a flood is what its workspace
/// sends.
const FLOOD_WEIGHT: f64 = 0.1;
/// Least share that is taken for usual: a workspace that sends its first requests does not flood.
const LEAST_SHARE: f64 = 0.05;
/// Recent requests of a workspace below which nothing is said of it: they come together by chance.
const LEAST_COUNT: f64 = 12.0;

/// What each workspace sends now, and what it usually sends, at one daemon.
///
/// Guards against one workspace whose flood makes the requests of all others late. Its share is set
/// against its own usual one, not against an equal one: users of a large workspace are not served
/// less often than those of a small one.
#[derive(Debug, Default)]
pub struct WorkspaceMeter {
    recent: RequestCounts,
    counted_at: Option<MonotonicTime>,
    period: RequestCounts,
    period_since: Option<MonotonicTime>,
    usual: RequestCounts,
}

/// Requests by workspace, the older the less.
#[derive(Debug, Default)]
struct RequestCounts {
    all: f64,
    workspaces: HashMap<String, f64>,
}

impl WorkspaceMeter {
    /// Counts a request of `workspace`; returns whether it sends much more than its usual share.
    pub fn count(&mut self, workspace: &str, now: MonotonicTime) -> bool {
        let age = self.counted_at.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        self.recent.decay(age, RECENT_TIME);
        self.recent.add(workspace, 1.0);
        self.turn_period(now);
        self.period.add(workspace, 1.0);
        let often = self.recent.of(workspace) >= LEAST_COUNT;
        often && self.exceeds(workspace, &self.recent)
    }

    /// Whether `workspace` has much more than its usual share of `counts`.
    fn exceeds(&self, workspace: &str, counts: &RequestCounts) -> bool {
        let usual = self.usual.share(workspace).max(LEAST_SHARE);
        self.usual.all > 0.0 && counts.share(workspace) > usual * FLOOD_SHARE
    }

    /// Lets the requests of a period that is over become usual.
    fn turn_period(&mut self, now: MonotonicTime) {
        let age = now.since(*self.period_since.get_or_insert(now));
        if age < PERIOD {
            return;
        }
        self.period_since = Some(now);
        let period = std::mem::take(&mut self.period);
        let weighted = period.workspaces.iter().map(|(workspace, count)| {
            let is_flood = self.exceeds(workspace, &period);
            (workspace, count * if is_flood { FLOOD_WEIGHT } else { 1.0 })
        });
        let weighted: Vec<(&String, f64)> = weighted.collect();
        self.usual.decay(age, USUAL_TIME);
        for (workspace, count) in weighted {
            self.usual.add(workspace, count);
        }
    }
}

impl RequestCounts {
    fn decay(&mut self, age: Duration, time: Duration) {
        let left = (-age.as_secs_f64() / time.as_secs_f64()).exp();
        self.all *= left;
        for count in self.workspaces.values_mut() {
            *count *= left;
        }
    }

    fn add(&mut self, workspace: &str, count: f64) {
        self.all += count;
        match self.workspaces.get_mut(workspace) {
            Some(known) => *known += count,
            None => {
                self.workspaces.insert(workspace.to_owned(), count);
            }
        }
    }

    fn of(&self, workspace: &str) -> f64 {
        self.workspaces.get(workspace).copied().unwrap_or_default()
    }

    fn share(&self, workspace: &str) -> f64 {
        if self.all > 0.0 { self.of(workspace) / self.all } else { 0.0 }
    }
}
