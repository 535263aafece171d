use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time constant of the recent share. It spans several requests of each workspace, and follows a
/// flood within a second or two.
pub(super) const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Time constant of the usual share.
pub(super) const USUAL_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Weight with which the work of a workspace over its share enters its usual share. A workspace
/// that sends more for some minutes has that as its usual share.
const OVER_SHARE_WEIGHT: f64 = 0.1;
/// Fraction of a period's work above which the workspace counts as over its share in that period.
/// At twice its share, half of a workspace's requests find it over its share.
const OVER_SHARE_FRACTION: f64 = 0.25;

/// Recent and usual work of one workspace, in seconds of upstream time.
#[derive(Debug, Default)]
pub(super) struct WorkspaceUsage {
    /// Recent work of all requests.
    pub(super) demand: DecayingWork,
    /// Recent work of the requests that were admitted as on time.
    pub(super) admitted: DecayingWork,
    /// Usual work, decayed with [`USUAL_TIME_CONSTANT`].
    pub(super) usual: f64,
    period: f64,
    period_over_share: f64,
}

/// Sum of work that decays with [`RECENT_TIME_CONSTANT`].
#[derive(Debug, Default)]
pub(super) struct DecayingWork {
    seconds: f64,
    updated_at: MonotonicTime,
}

impl WorkspaceUsage {
    /// Adds the work of a request to the demand and to the current period.
    pub(super) fn record(&mut self, work: f64, is_over_share: bool, now: MonotonicTime) {
        self.demand.add(work, now);
        self.period += work;
        if is_over_share {
            self.period_over_share += work;
        }
    }

    /// Ends a period of length `age`. `usual_work` is the work that the usual share brings in such
    /// a period.
    pub(super) fn end_period(&mut self, age: Duration, usual_work: f64) {
        let work = std::mem::take(&mut self.period);
        let over_share = std::mem::take(&mut self.period_over_share);
        let entering = if over_share > 0.0 && over_share >= work * OVER_SHARE_FRACTION {
            // The usual share must not fall because the workspace sends more: it would be over a
            // smaller and smaller share, also after it sends its usual work again.
            (work * OVER_SHARE_WEIGHT).max(work.min(usual_work))
        } else {
            work
        };
        self.usual = self.usual * decay(age, USUAL_TIME_CONSTANT) + entering;
    }

    /// Work by which workspaces are ranked when one of them has to be dropped.
    pub(super) fn weight(&self, now: MonotonicTime) -> f64 {
        self.usual + self.period + self.demand.at(now)
    }
}

impl DecayingWork {
    pub(super) fn add(&mut self, seconds: f64, now: MonotonicTime) {
        self.seconds = self.at(now) + seconds;
        self.updated_at = self.updated_at.max(now);
    }

    pub(super) fn at(&self, now: MonotonicTime) -> f64 {
        self.seconds * decay(now.since(self.updated_at), RECENT_TIME_CONSTANT)
    }
}

/// Factor by which a value with the given time constant decays within `age`.
pub(super) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
