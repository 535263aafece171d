//! Scheduling of calls to upstreams that have announced a rate limit in requests per second.

use std::time::Duration;

use super::BatchPool;
use super::batch_worker::CallLimit;
use crate::identity::MonotonicTime;
use crate::rate_limiting::{RateUse, TokenWait};

/// Time for which a daemon must have been the dispatcher before it calls upstreams with a rate
/// limit. The previous dispatcher may not have noticed yet that it was replaced.
const HANDOVER_DELAY: Duration = Duration::from_secs(2);

impl BatchPool {
    /// Whether any upstream of the pool has a rate limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limiter.has_limits()
            && self.workers.keys().any(|upstream| self.limiter.is_limited(upstream))
    }

    /// Sets whether this daemon considers itself the only dispatcher of the pool.
    ///
    /// Guards against two dispatchers that each use the whole rate of an upstream.
    pub fn set_sole_dispatcher(&mut self, is_sole: bool, now: MonotonicTime) {
        self.sole_dispatcher_since = is_sole.then(|| self.sole_dispatcher_since.unwrap_or(now));
    }

    /// Updates from the rate limiter when each upstream may be called.
    pub(super) fn refresh_limits(&mut self, now: MonotonicTime) {
        let has_limits = self.limiter.has_limits();
        if !has_limits {
            self.sole_dispatcher_since = None;
        }
        let handover_end = self.sole_dispatcher_since.unwrap_or(now) + HANDOVER_DELAY;
        for (upstream, worker) in &mut self.workers {
            if has_limits || worker.rate_limit.is_some() {
                let wait = self.limiter.wait(upstream, RateUse::Sole, now);
                worker.rate_limit = call_limit(wait, handover_end, now);
            }
        }
    }
}

fn call_limit(
    wait: TokenWait,
    handover_end: MonotonicTime,
    now: MonotonicTime,
) -> Option<CallLimit> {
    match wait {
        TokenWait::Unlimited => None,
        TokenWait::For { wait, interval } => {
            Some(CallLimit { next_call_at: handover_end.max(now + wait), interval })
        }
        TokenWait::NoShare { interval } => {
            Some(CallLimit { next_call_at: handover_end.max(now + interval), interval })
        }
    }
}
