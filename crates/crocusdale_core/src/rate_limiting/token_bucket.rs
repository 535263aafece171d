use std::time::Duration;

use super::RateQuota;
use crate::identity::MonotonicTime;

/// Tolerance for rounding errors when many small fractions of a token are added up.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// Token bucket for the requests of this daemon to one upstream, filled at the rate of its quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    filled_at: MonotonicTime,
}

/// When this daemon may send its next request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenWait {
    /// At any time: the upstream has no rate limit.
    Unlimited,
    /// After a wait, and then once per interval.
    For {
        /// Time until the next request.
        wait: Duration,
        /// Time between two requests.
        interval: Duration,
    },
    /// Never: other daemons hold all shares of the rate. All daemons together send one request per
    /// interval.
    NoShare {
        /// Time between two requests from all daemons together.
        interval: Duration,
    },
}

impl TokenBucket {
    /// An empty bucket, because the requests sent before the limit was known were not counted.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { tokens: 0.0, filled_at: now }
    }

    /// Adds the tokens gained until `now`, up to the depth of `quota`.
    pub(super) fn fill(&mut self, quota: RateQuota, now: MonotonicTime) {
        let gained_tokens = now.since(self.filled_at).as_secs_f64() * quota.per_second;
        self.tokens = (self.tokens + gained_tokens).min(f64::from(quota.depth));
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes one token. The bucket may become negative.
    pub(super) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Time until a token is available, if none is taken before.
    pub(super) fn wait(&self, quota: RateQuota) -> Duration {
        let missing_tokens = (1.0 - self.tokens - TOKEN_TOLERANCE).max(0.0);
        Duration::from_secs_f64(missing_tokens / quota.per_second)
    }
}
