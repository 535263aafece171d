//! Calls of upstreams that name how many requests a second they take.

use std::time::Duration;

use super::BatchPool;
use super::batch_worker::CallLimit;
use crate::identity::MonotonicTime;
use crate::rate_limiting::{RateUse, TokenWait};

/// Time for which a daemon has to be the dispatcher before it calls limited upstreams. The one before it
/// may not know yet that it is not any more.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

impl BatchPool {
    /// Whether any of its upstreams names a rate.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limiter.has_limits()
            && self.workers.keys().any(|upstream| self.limiter.is_limited(upstream))
    }

    /// Sets whether this daemon is the dispatcher, as far as it knows.
    ///
    /// Guards against two dispatchers of which each takes the whole rate of an upstream for its own.
    pub fn set_sole(&mut self, is_sole: bool, now: MonotonicTime) {
        self.sole_since = is_sole.then(|| self.sole_since.unwrap_or(now));
    }

    /// Looks up when each upstream may be called.
    pub(super) fn refresh_limits(&mut self, now: MonotonicTime) {
        let has_limits = self.limiter.has_limits();
        if !has_limits {
            self.sole_since = None;
        }
        let handover = self.sole_since.unwrap_or(now) + HANDOVER_TIME;
        for (upstream, worker) in &mut self.workers {
            if has_limits || worker.limit.is_some() {
                let wait = self.limiter.wait(upstream, RateUse::Sole, now);
                worker.limit = call_limit(wait, handover, now);
            }
        }
    }
}

fn call_limit(wait: TokenWait, handover: MonotonicTime, now: MonotonicTime) -> Option<CallLimit> {
    match wait {
        TokenWait::Unlimited => None,
        TokenWait::For { wait, interval } => {
            Some(CallLimit { from: handover.max(now + wait), interval })
        }
        TokenWait::NoShare { interval } => {
            Some(CallLimit { from: handover.max(now + interval), interval })
        }
    }
}
