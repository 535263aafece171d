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

/// Time for which a limit is remembered of which no daemon hears anything any more.
const LIMIT_LIFE: Duration = Duration::from_secs(600);
/// Upstreams that are remembered: all of a large fleet, and more could not be told in one message.
const LIMITS_MOST: usize = 1_024;

/// Upstreams that have named a rate, by the name of their life, and what this daemon may send them.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Upstreams that name a rate now, so that nothing is locked while there are none.
    limited: AtomicUsize,
    table: Mutex<LimitTable>,
}

#[derive(Debug, Default)]
struct LimitTable {
    share: RateShare,
    limits: HashMap<String, UpstreamLimit>,
    /// Upstreams of which others have to be told.
    untold: BTreeSet<String>,
}

/// What the state dump shows of an upstream that names a rate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitSummary {
    /// The upstream.
    pub upstream: String,
    /// Requests a second that it takes from all daemons together.
    pub requests_per_s: f64,
    /// Requests a second that this daemon may send as one of all daemons.
    pub share_per_s: f64,
    /// Requests of this daemon since it learned the rate.
    pub sent: u64,
}

impl RateLimiter {
    /// Takes what the answer to a request that was sent at `sent` says of its upstream.
    pub fn hear(
        &self,
        upstream: &str,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<LimitChange> {
        let mut table = lock(&self.table);
        let is_named = matches!(notice, RateNotice::Limited(_));
        if !table.limits.contains_key(upstream) && !is_named {
            return None;
        }
        let (change, is_news) = table.entry(upstream, now).hear(notice, sent, now);
        if is_news {
            table.untold.insert(upstream.to_owned());
        }
        self.note_limited(&table);
        change
    }

    /// Takes what another daemon tells; returns what changed.
    pub fn take(&self, record: &LimitRecord, now: MonotonicTime) -> Option<LimitChange> {
        let mut table = lock(&self.table);
        if record.age >= LIMIT_LIFE {
            return None;
        }
        let (change, is_news) = table.entry(&record.upstream, now).take(record, now);
        if is_news {
            table.untold.insert(record.upstream.clone());
        }
        self.note_limited(&table);
        change
    }

    /// Sets this daemon's share of what upstreams take from all daemons together.
    pub fn set_share(&self, share: RateShare) {
        lock(&self.table).share = share;
    }

    /// Number of daemons that share, this one among them.
    #[must_use]
    pub fn sharing_daemons(&self) -> usize {
        lock(&self.table).share.daemons()
    }

    /// Requests that this daemon may send to an upstream with `hash` of `requests` from all daemons.
    #[must_use]
    pub fn share_of(&self, hash: u64, requests: u32) -> u32 {
        lock(&self.table).share.of(hash, requests)
    }

    /// Whether any upstream names a rate.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limited.load(Ordering::Relaxed) > 0
    }

    /// Whether `upstream` names a rate.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.has_limits()
            && lock(&self.table).limits.get(upstream).is_some_and(|limit| limit.rate().is_some())
    }

    /// Time until `upstream` may get a request.
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

    /// Whether `upstream` may get a request now.
    #[must_use]
    pub fn allows(&self, upstream: &str, rate_use: RateUse, now: MonotonicTime) -> bool {
        match self.wait(upstream, rate_use, now) {
            TokenWait::Unlimited => true,
            TokenWait::For { wait, .. } => wait.is_zero(),
            TokenWait::NoShare { .. } => false,
        }
    }

    /// Counts a request to `upstream`.
    pub fn spend(&self, upstream: &str) {
        if self.has_limits()
            && let Some(limit) = lock(&self.table).limits.get_mut(upstream)
        {
            limit.bucket.spend();
            limit.sent += 1;
        }
    }

    /// Whether others have to be told of anything.
    #[must_use]
    pub fn has_untold(&self) -> bool {
        !lock(&self.table).untold.is_empty()
    }

    /// What others have not been told.
    #[must_use]
    pub fn take_untold(&self, now: MonotonicTime) -> Vec<LimitRecord> {
        let mut table = lock(&self.table);
        let untold = std::mem::take(&mut table.untold);
        let record = |upstream: &String| Some(table.limits.get(upstream)?.record(upstream, now));
        untold.iter().filter_map(record).collect()
    }

    /// All that is known.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<LimitRecord> {
        let table = lock(&self.table);
        table.limits.iter().map(|(upstream, limit)| limit.record(upstream, now)).collect()
    }

    /// Same for two daemons that know the same, 0 for one that knows nothing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        lock(&self.table).limits.values().fold(0, |digest, limit| digest ^ limit.digest())
    }

    /// Forgets what no daemon hears of any more. Returns whether there was anything.
    pub fn forget(&self, now: MonotonicTime) -> bool {
        let mut table = lock(&self.table);
        let before = table.limits.len();
        table.limits.retain(|_, limit| limit.age(now) < LIMIT_LIFE);
        self.note_limited(&table);
        table.limits.len() < before
    }

    /// What the state dump shows, by upstream.
    #[must_use]
    pub fn summaries(&self) -> Vec<LimitSummary> {
        let table = lock(&self.table);
        let summary = |(upstream, limit): (&String, &UpstreamLimit)| {
            let rate = limit.rate()?;
            let quota = RateQuota::new(rate, limit.hash, &table.share, RateUse::Shared);
            Some(LimitSummary {
                upstream: upstream.clone(),
                requests_per_s: rate.per_second(),
                share_per_s: quota.map_or(0.0, |quota| quota.per_second),
                sent: limit.sent,
            })
        };
        let mut summaries: Vec<LimitSummary> = table.limits.iter().filter_map(summary).collect();
        summaries.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        summaries
    }

    fn note_limited(&self, table: &LimitTable) {
        let limited = table.limits.values().filter(|limit| limit.rate().is_some()).count();
        self.limited.store(limited, Ordering::Relaxed);
    }
}

impl LimitTable {
    fn entry(&mut self, upstream: &str, now: MonotonicTime) -> &mut UpstreamLimit {
        if self.limits.len() >= LIMITS_MOST && !self.limits.contains_key(upstream) {
            self.make_room(now);
        }
        self.limits.entry(upstream.to_owned()).or_insert_with(|| UpstreamLimit::new(upstream, now))
    }

    /// Forgets one upstream: of those whose limit has ended, if there are any, the oldest.
    fn make_room(&mut self, now: MonotonicTime) {
        let rank = |limit: &UpstreamLimit| (limit.rate().is_none(), limit.age(now));
        let last = self.limits.iter().max_by_key(|(upstream, limit)| (rank(limit), *upstream));
        if let Some(upstream) = last.map(|(upstream, _)| upstream.clone()) {
            self.limits.remove(&upstream);
        }
    }
}
