use std::time::Duration;

use super::RateQuota;
use crate::identity::MonotonicTime;

/// Absorbs what the sum of many small parts of a token is off.
const ROUNDING: f64 = 1e-9;

/// Requests that a daemon may send an upstream, filled at the rate of its quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    filled: MonotonicTime,
}

/// When a daemon may send an upstream its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenWait {
    /// The upstream names no rate.
    Unlimited,
    /// In this time, and then one each interval.
    For {
        /// Time until the next request.
        wait: Duration,
        /// Time between two.
        interval: Duration,
    },
    /// Not at all, as other daemons have the places. All of them together send one each interval.
    NoShare {
        /// Time between two requests of all daemons.
        interval: Duration,
    },
}

impl TokenBucket {
    /// An empty bucket: what the daemon sent before it heard of the rate is not known.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { tokens: 0.0, filled: now }
    }

    /// Adds what has come in by `now`.
    pub(super) fn fill(&mut self, quota: RateQuota, now: MonotonicTime) {
        let gained = now.since(self.filled).as_secs_f64() * quota.per_second;
        self.tokens = (self.tokens + gained).min(f64::from(quota.depth));
        self.filled = self.filled.max(now);
    }

    /// Takes one token out.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Time until there is a token, if nothing is spent before.
    pub(super) fn wait(&self, quota: RateQuota) -> Duration {
        let lacking = (1.0 - self.tokens - ROUNDING).max(0.0);
        Duration::from_secs_f64(lacking / quota.per_second)
    }
}
