use std::time::Duration;

use crate::identity::MonotonicTime;

/// Share of a retry that each first attempt earns, unless set.
const EARNED: f64 = 0.1;
/// Retries that may be saved up, unless set.
const SAVED: f64 = 10.0;
/// Part of a bound that the daemons use up by themselves. The rest covers news that is late: how
/// many daemons there are, and a budget that a daemon lost with its process.
const USED: f64 = 0.8;

/// How many retries all daemons may make together at one pool.
///
/// The bound is one of a sliding window: in each window, `ratio` retries for each first attempt and
/// `reserve` besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Retries of one window that need no first attempts, of all daemons together.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: EARNED / USED, reserve: f64::INFINITY, window: Duration::from_secs(10) }
    }
}

impl RetryLimits {
    /// Budget of one of `daemons` daemons.
    #[must_use]
    pub fn budget(self, daemons: usize) -> RetryBudget {
        let mut budget = RetryBudget { limits: self, ..RetryBudget::default() };
        budget.share(daemons);
        if self.reserve.is_finite() {
            // The process before this one may just have spent the reserve of the window.
            budget.saved = 0.0;
        }
        budget
    }
}

/// Bounds retries by the number of first attempts.
///
/// Guards against retries that amplify an outage: a fixed count of retries multiplies the load on
/// a pool just when all of its attempts fail. Here at most a share of the attempts is a retry, apart
/// from a small reserve, whatever fails. Each daemon has its part of the reserve, so that the bound
/// holds for all of them without a word between them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    saved: f64,
    /// Retries that may be saved up.
    most: f64,
    /// Retries that the reserve adds a second.
    refill: f64,
    last: Option<MonotonicTime>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let limits = RetryLimits::default();
        Self { limits, saved: SAVED, most: SAVED, refill: 0.0, last: None }
    }
}

impl RetryBudget {
    /// Divides the reserve among `daemons` daemons. Half of it may be saved up, the other half
    /// comes back over a window, so that no window sees more than the whole.
    pub fn share(&mut self, daemons: usize) {
        if self.limits.reserve.is_finite() {
            let reserve = self.limits.reserve * USED / daemons.max(1) as f64;
            self.most = reserve / 2.0;
            self.refill = reserve / 2.0 / self.limits.window.as_secs_f64();
            self.saved = self.saved.min(self.most);
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self, now: MonotonicTime) {
        self.refill(now);
        self.saved = (self.saved + self.limits.ratio * USED).min(self.most);
    }

    /// Takes the right to one retry, if there is any.
    #[must_use]
    pub fn spend(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        let affordable = self.saved >= 1.0;
        if affordable {
            self.saved -= 1.0;
        }
        affordable
    }

    fn refill(&mut self, now: MonotonicTime) {
        // Nothing was spent before the first use, since the start of the process.
        let since = self.last.map_or(now.since_start(), |last| now.since(last));
        self.last = Some(now);
        self.saved = (self.saved + self.refill * since.as_secs_f64()).min(self.most);
    }
}
