use std::time::Duration;

use super::token_bucket::TokenBucket;
use super::{LimitRecord, RateNotice, RequestRate};
use crate::identity::{MonotonicTime, stable_hash};

/// Offset that is added to the clock of this process, so that records from before its start have
/// non-negative times.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);
/// Maximum delay of a gossip message between daemons.
const MAX_GOSSIP_DELAY: Duration = Duration::from_secs(1);
/// Relative change of a rate above which the new rate is gossiped.
const MIN_GOSSIPED_CHANGE: f64 = 0.1;

/// Change of an upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The upstream now accepts this request rate.
    Limited(RequestRate),
    /// The limit has ended. The value is the number of requests that this daemon sent under it.
    Ended(u64),
}

/// What this daemon knows about the request rate that one upstream accepts.
#[derive(Debug)]
pub(super) struct UpstreamLimit {
    /// Version of the record. A record with a higher version replaces this one.
    version: u64,
    rate: Option<RequestRate>,
    /// Rate in the record with this version, as other daemons know it. Small changes of the rate
    /// are not gossiped.
    gossiped_rate: Option<RequestRate>,
    /// Time at which this daemon learned the rate.
    learned_at: MonotonicTime,
    /// Time of the last answer to this daemon that announced a rate.
    last_announced_at: Option<MonotonicTime>,
    /// Time at which the rate was last known to be valid, on the clock of this process plus
    /// [`CLOCK_OFFSET`].
    confirmed_at: MonotonicTime,
    pub(super) bucket: TokenBucket,
    /// Hash of the upstream's name.
    pub(super) hash: u64,
    /// Number of requests that this daemon has sent since it learned of the limit.
    pub(super) sent: u64,
}

impl UpstreamLimit {
    /// A limit without a known rate.
    pub(super) fn new(upstream: &str, now: MonotonicTime) -> Self {
        Self {
            version: 0,
            rate: None,
            gossiped_rate: None,
            learned_at: now,
            last_announced_at: None,
            confirmed_at: now + CLOCK_OFFSET,
            bucket: TokenBucket::new(now),
            hash: stable_hash(&[upstream]),
            sent: 0,
        }
    }

    /// Request rate that the upstream accepts, or `None` without a limit.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Records what an answer says about the rate. The answer belongs to a request that was sent at
    /// `sent`. Returns the change, and whether the record must be gossiped.
    ///
    /// Answers may arrive out of order. An answer with a higher rate or without a limit is used
    /// only if its request was sent after the known rate was learned.
    pub(super) fn record_notice(
        &mut self,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> (Option<LimitChange>, bool) {
        let is_sent_later = sent >= self.last_announced_at.unwrap_or_default().max(self.learned_at);
        match (self.rate, notice) {
            (_, RateNotice::Unreadable) | (None, RateNotice::Unlimited) => (None, false),
            (Some(_), RateNotice::Unlimited) if !is_sent_later => (None, false),
            (Some(recorded), RateNotice::Limited(rate)) if rate > recorded && !is_sent_later => {
                (None, false)
            }
            (Some(_), RateNotice::Unlimited) => {
                self.set_rate(self.version + 1, None, now);
                self.confirmed_at = sent + CLOCK_OFFSET;
                (Some(LimitChange::Ended(std::mem::take(&mut self.sent))), true)
            }
            (recorded, RateNotice::Limited(rate)) => {
                let must_gossip =
                    self.gossiped_rate.is_none_or(|gossiped| needs_gossip(gossiped, rate));
                if must_gossip {
                    self.set_rate(self.version + 1, Some(rate), now);
                } else if recorded != Some(rate) {
                    self.rate = Some(rate);
                    self.learned_at = now;
                }
                self.last_announced_at = Some(now);
                self.confirmed_at = now + CLOCK_OFFSET;
                ((recorded != Some(rate)).then_some(LimitChange::Limited(rate)), must_gossip)
            }
        }
    }

    /// Merges a record from another daemon. Returns the change, and whether the own record must be
    /// gossiped.
    pub(super) fn merge_record(
        &mut self,
        record: &LimitRecord,
        now: MonotonicTime,
    ) -> (Option<LimitChange>, bool) {
        let confirmed_at = (now + CLOCK_OFFSET).since_start().saturating_sub(record.age);
        let is_newer = record.version > self.version
            || (record.version == self.version && is_stricter(record.rate, self.gossiped_rate));
        if !is_newer {
            return (None, false);
        }
        // This daemon may have received an answer with a rate after the other daemon received the
        // one without. Gossip may be delayed, so that a rate announced within that delay is kept.
        let earliest_end = MonotonicTime::from_start(confirmed_at.saturating_sub(MAX_GOSSIP_DELAY));
        let is_possibly_outdated =
            self.last_announced_at.is_some_and(|announced| announced + CLOCK_OFFSET > earliest_end);
        if record.rate.is_none() && self.rate.is_some() && is_possibly_outdated {
            self.version = record.version + 1;
            return (None, true);
        }
        let previous_rate = self.rate;
        self.set_rate(record.version, record.rate, now);
        self.confirmed_at = MonotonicTime::from_start(confirmed_at);
        let change = match (previous_rate, record.rate) {
            (Some(_), None) => Some(LimitChange::Ended(std::mem::take(&mut self.sent))),
            (previous, Some(rate)) if previous != Some(rate) => Some(LimitChange::Limited(rate)),
            _ => None,
        };
        (change, false)
    }

    /// Record for sending to other daemons.
    pub(super) fn to_record(&self, upstream: &str, now: MonotonicTime) -> LimitRecord {
        let age = (now + CLOCK_OFFSET).since(self.confirmed_at);
        LimitRecord {
            upstream: upstream.to_owned(),
            version: self.version,
            rate: self.gossiped_rate,
            age,
        }
    }

    /// Time since the rate was last known to be valid.
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        (now + CLOCK_OFFSET).since(self.confirmed_at)
    }

    /// Digest of the record. Equal for two daemons with equal records.
    pub(super) fn digest(&self) -> u64 {
        let rate =
            self.gossiped_rate.map_or_else(String::new, |rate| rate.thousandths().to_string());
        stable_hash(&[&self.hash.to_string(), &self.version.to_string(), &rate])
    }

    fn set_rate(&mut self, version: u64, rate: Option<RequestRate>, now: MonotonicTime) {
        if self.rate.is_none() && rate.is_some() {
            self.bucket = TokenBucket::new(now);
            self.sent = 0;
        }
        self.version = version;
        self.rate = rate;
        self.gossiped_rate = rate;
        self.learned_at = now;
    }
}

/// Whether `rate` differs enough from the gossiped rate to be gossiped.
fn needs_gossip(gossiped: RequestRate, rate: RequestRate) -> bool {
    (gossiped.per_second() - rate.per_second()).abs() > MIN_GOSSIPED_CHANGE * gossiped.per_second()
}

/// Whether `rate` is a tighter limit than `other`. `None` stands for no limit.
fn is_stricter(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
