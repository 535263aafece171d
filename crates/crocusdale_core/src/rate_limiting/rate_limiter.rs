use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde::Serialize;

use super::rate_quota::fleet_interval;
use super::upstream_limit::UpstreamLimit;
use super::{LimitChange, LimitRecord, RateNotice, RateQuota, RateShare, RateUse, TokenWait};
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Time after which a limit is forgotten if no daemon confirms it.
const LIMIT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of recorded limits. Enough for all upstreams of a large fleet; more would not fit
/// into one gossip message.
const MAX_LIMITS: usize = 1_024;

/// Request rates that upstreams have announced, and the token buckets for this daemon's shares of
/// them.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Number of upstreams with a limit, kept outside the lock so that nothing is locked while it
    /// is zero.
    limited_count: AtomicUsize,
    table: Mutex<LimitTable>,
}

#[derive(Debug, Default)]
struct LimitTable {
    share: RateShare,
    limits: HashMap<String, UpstreamLimit>,
    /// Names of the upstreams whose record must still be sent to the other daemons.
    unsent: BTreeSet<String>,
}

/// Summary of a rate-limited upstream in the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitSummary {
    /// Name of the upstream.
    pub upstream: String,
    /// Request rate that the upstream accepts from all daemons together, in requests per second.
    pub requests_per_s: f64,
    /// This daemon's share of the rate, in requests per second.
    pub share_per_s: f64,
    /// Number of requests that this daemon has sent since it learned of the limit.
    pub sent: u64,
}

impl RateLimiter {
    /// Records what an answer of `upstream` says about its request rate. The answer belongs to a
    /// request that was sent at `sent`. Returns the change, or `None` if the known rate stays
    /// valid.
    pub fn record_notice(
        &self,
        upstream: &str,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<LimitChange> {
        let mut table = lock(&self.table);
        let has_rate = matches!(notice, RateNotice::Limited(_));
        if !table.limits.contains_key(upstream) && !has_rate {
            return None;
        }
        let (change, must_gossip) = table.limit_mut(upstream, now).record_notice(notice, sent, now);
        if must_gossip {
            table.unsent.insert(upstream.to_owned());
        }
        self.update_limited_count(&table);
        change
    }

    /// Merges a record from another daemon. Returns the change, or `None` if the known rate stays
    /// valid.
    pub fn merge_record(&self, record: &LimitRecord, now: MonotonicTime) -> Option<LimitChange> {
        let mut table = lock(&self.table);
        if record.age >= LIMIT_TTL {
            return None;
        }
        let (change, must_gossip) =
            table.limit_mut(&record.upstream, now).merge_record(record, now);
        if must_gossip {
            table.unsent.insert(record.upstream.clone());
        }
        self.update_limited_count(&table);
        change
    }

    /// Sets this daemon's share of all rate limits and cold-start limits.
    pub fn set_share(&self, share: RateShare) {
        lock(&self.table).share = share;
    }

    /// Number of daemons that share the limits, including this one.
    #[must_use]
    pub fn sharing_daemons(&self) -> usize {
        lock(&self.table).share.daemons()
    }

    /// Number of requests that this daemon may send, of `requests` from all daemons, to an upstream
    /// whose name has the hash `hash`.
    #[must_use]
    pub fn share_of(&self, hash: u64, requests: u32) -> u32 {
        lock(&self.table).share.request_share(hash, requests)
    }

    /// Whether any upstream has a rate limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limited_count.load(Ordering::Relaxed) > 0
    }

    /// Whether `upstream` has a rate limit.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.has_limits()
            && lock(&self.table).limits.get(upstream).is_some_and(|limit| limit.rate().is_some())
    }

    /// Names of the upstreams that have a rate limit.
    #[must_use]
    pub fn limited_upstreams(&self) -> Vec<String> {
        if !self.has_limits() {
            return Vec::new();
        }
        let table = lock(&self.table);
        let limited = table.limits.iter().filter(|(_, limit)| limit.rate().is_some());
        limited.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Time until this daemon may send `upstream` a request.
    #[must_use]
    pub fn wait(&self, upstream: &str, rate_use: RateUse, now: MonotonicTime) -> TokenWait {
        if !self.has_limits() {
            return TokenWait::Unlimited;
        }
        let mut table = lock(&self.table);
        let LimitTable { share, limits, .. } = &mut *table;
        let Some(limit) = limits.get_mut(upstream) else { return TokenWait::Unlimited };
        let Some(rate) = limit.rate() else { return TokenWait::Unlimited };
        let Some(quota) = RateQuota::new(rate, limit.hash, share, rate_use) else {
            return TokenWait::NoShare { interval: fleet_interval(rate) };
        };
        limit.bucket.fill(quota, now);
        let interval = Duration::from_secs_f64(1.0 / quota.per_second);
        TokenWait::For { wait: limit.bucket.wait(quota), interval }
    }

    /// Whether this daemon may send `upstream` a request now.
    #[must_use]
    pub fn allows(&self, upstream: &str, rate_use: RateUse, now: MonotonicTime) -> bool {
        match self.wait(upstream, rate_use, now) {
            TokenWait::Unlimited => true,
            TokenWait::For { wait, .. } => wait.is_zero(),
            TokenWait::NoShare { .. } => false,
        }
    }

    /// Takes a token for a request to `upstream`, if it has a rate limit.
    pub fn take_token(&self, upstream: &str) {
        if self.has_limits()
            && let Some(limit) = lock(&self.table).limits.get_mut(upstream)
        {
            limit.bucket.take_token();
            limit.sent += 1;
        }
    }

    /// Whether any record must still be sent to the other daemons.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        !lock(&self.table).unsent.is_empty()
    }

    /// Returns the records that must still be sent to the other daemons, and marks them as sent.
    #[must_use]
    pub fn take_unsent(&self, now: MonotonicTime) -> Vec<LimitRecord> {
        let mut table = lock(&self.table);
        let unsent = std::mem::take(&mut table.unsent);
        let to_record =
            |upstream: &String| Some(table.limits.get(upstream)?.to_record(upstream, now));
        unsent.iter().filter_map(to_record).collect()
    }

    /// All records, for a daemon whose digest differs.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<LimitRecord> {
        let table = lock(&self.table);
        table.limits.iter().map(|(upstream, limit)| limit.to_record(upstream, now)).collect()
    }

    /// Digest of all records. Equal for two daemons with equal records, and 0 without records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        lock(&self.table).limits.values().fold(0, |digest, limit| digest ^ limit.digest())
    }

    /// Removes limits that no daemon has confirmed for their time to live. Returns whether there
    /// were any.
    pub fn remove_expired(&self, now: MonotonicTime) -> bool {
        let mut table = lock(&self.table);
        let before = table.limits.len();
        table.limits.retain(|_, limit| limit.age(now) < LIMIT_TTL);
        self.update_limited_count(&table);
        table.limits.len() < before
    }

    /// Summaries of all rate-limited upstreams for the state dump, in ascending order of names.
    #[must_use]
    pub fn summaries(&self) -> Vec<LimitSummary> {
        let table = lock(&self.table);
        let to_summary = |(upstream, limit): (&String, &UpstreamLimit)| {
            let rate = limit.rate()?;
            let quota = RateQuota::new(rate, limit.hash, &table.share, RateUse::Shared);
            Some(LimitSummary {
                upstream: upstream.clone(),
                requests_per_s: rate.per_second(),
                share_per_s: quota.map_or(0.0, |quota| quota.per_second),
                sent: limit.sent,
            })
        };
        let mut summaries: Vec<LimitSummary> = table.limits.iter().filter_map(to_summary).collect();
        summaries.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        summaries
    }

    fn update_limited_count(&self, table: &LimitTable) {
        let limited_count = table.limits.values().filter(|limit| limit.rate().is_some()).count();
        self.limited_count.store(limited_count, Ordering::Relaxed);
    }
}

impl LimitTable {
    fn limit_mut(&mut self, upstream: &str, now: MonotonicTime) -> &mut UpstreamLimit {
        if self.limits.len() >= MAX_LIMITS && !self.limits.contains_key(upstream) {
            self.evict_limit(now);
        }
        self.limits.entry(upstream.to_owned()).or_insert_with(|| UpstreamLimit::new(upstream, now))
    }

    /// Removes one limit: the oldest ended one, or the oldest of all if none has ended.
    fn evict_limit(&mut self, now: MonotonicTime) {
        let eviction_key = |limit: &UpstreamLimit| (limit.rate().is_none(), limit.age(now));
        let evicted =
            self.limits.iter().max_by_key(|(upstream, limit)| (eviction_key(limit), *upstream));
        if let Some(upstream) = evicted.map(|(upstream, _)| upstream.clone()) {
            self.limits.remove(&upstream);
        }
    }
}
