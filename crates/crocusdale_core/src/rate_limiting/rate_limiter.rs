use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;

use super::{RateNotice, RequestRate};
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Upstreams that have named a rate, by the name of their life.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Number of them, so that nothing is locked while there are none.
    count: AtomicUsize,
    limits: Mutex<HashMap<String, UpstreamLimit>>,
}

/// What changed for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It takes this many requests a second.
    Limited(RequestRate),
    /// It takes any number again, and got this many requests from this daemon meanwhile.
    Ended(u64),
}

/// What the state dump shows of an upstream that has named a rate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitSummary {
    /// The upstream.
    pub upstream: String,
    /// Requests a second that it takes from all daemons together.
    pub requests_per_s: f64,
    /// Requests of this daemon to it since it named a rate.
    pub sent: u64,
}

#[derive(Debug)]
struct UpstreamLimit {
    rate: RequestRate,
    /// When an answer last named a rate.
    named: MonotonicTime,
    /// Requests of this daemon since the first such answer.
    sent: u64,
}

impl RateLimiter {
    /// Takes what the answer to a request that was sent at `sent` says of its upstream.
    ///
    /// An answer that names no rate ends the limit only if its request was sent after a rate was named:
    /// answers on different connections overtake each other.
    pub fn hear(
        &self,
        upstream: &str,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<LimitChange> {
        let mut limits = lock(&self.limits);
        let known = limits.get_mut(upstream);
        let change = match (known, notice) {
            (_, RateNotice::Unreadable) | (None, RateNotice::Unlimited) => None,
            (None, RateNotice::Limited(rate)) => {
                let limit = UpstreamLimit { rate, named: now, sent: 0 };
                limits.insert(upstream.to_owned(), limit);
                Some(LimitChange::Limited(rate))
            }
            (Some(known), RateNotice::Limited(rate)) => {
                known.named = now;
                let before = std::mem::replace(&mut known.rate, rate);
                (before != rate).then_some(LimitChange::Limited(rate))
            }
            (Some(known), RateNotice::Unlimited) if sent < known.named => None,
            (Some(_), RateNotice::Unlimited) => {
                limits.remove(upstream).map(|limit| LimitChange::Ended(limit.sent))
            }
        };
        self.count.store(limits.len(), Ordering::Relaxed);
        change
    }

    /// Whether a rate is known of `upstream`.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.rate(upstream).is_some()
    }

    /// Rate that `upstream` has named, if it has.
    #[must_use]
    pub fn rate(&self, upstream: &str) -> Option<RequestRate> {
        if self.count.load(Ordering::Relaxed) == 0 {
            return None;
        }
        lock(&self.limits).get(upstream).map(|limit| limit.rate)
    }

    /// Counts a request to `upstream`.
    pub fn note_send(&self, upstream: &str) {
        if self.count.load(Ordering::Relaxed) > 0
            && let Some(limit) = lock(&self.limits).get_mut(upstream)
        {
            limit.sent += 1;
        }
    }

    /// What the state dump shows, by upstream.
    #[must_use]
    pub fn summaries(&self) -> Vec<LimitSummary> {
        let limits = lock(&self.limits);
        let summary = |(upstream, limit): (&String, &UpstreamLimit)| LimitSummary {
            upstream: upstream.clone(),
            requests_per_s: limit.rate.per_second(),
            sent: limit.sent,
        };
        let mut summaries: Vec<LimitSummary> = limits.iter().map(summary).collect();
        summaries.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        summaries
    }
}
