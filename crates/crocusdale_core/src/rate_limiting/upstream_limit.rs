use std::time::Duration;

use super::token_bucket::TokenBucket;
use super::{LimitRecord, RateNotice, RequestRate};
use crate::identity::{MonotonicTime, stable_hash};

/// What is added to the time of this process, so that news of before its start have a time too.
const EPOCH: Duration = Duration::from_secs(3_600);
/// Longest time for which news of another daemon are under way.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Change of a rate that others are told, as a part of what they were told before.
const TOLD_CHANGE: f64 = 0.1;

/// What changed for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It takes this many requests a second.
    Limited(RequestRate),
    /// It takes any number again, and got this many requests from this daemon meanwhile.
    Ended(u64),
}

/// What one daemon knows of the rate that an upstream takes.
#[derive(Debug)]
pub(super) struct UpstreamLimit {
    /// Orders what daemons hear of the upstream.
    version: u64,
    rate: Option<RequestRate>,
    /// Rate of this version, as others know it.
    told: Option<RequestRate>,
    /// When this daemon learned that.
    learned: MonotonicTime,
    /// When an answer to this daemon last named a rate.
    named: Option<MonotonicTime>,
    /// When it was last known to be so, in the time of this process and [`EPOCH`].
    confirmed: MonotonicTime,
    pub(super) bucket: TokenBucket,
    /// Hash of the upstream's name.
    pub(super) hash: u64,
    /// Requests of this daemon since it learned the rate.
    pub(super) sent: u64,
}

impl UpstreamLimit {
    /// An upstream of which nothing is known.
    pub(super) fn new(upstream: &str, now: MonotonicTime) -> Self {
        Self {
            version: 0,
            rate: None,
            told: None,
            learned: now,
            named: None,
            confirmed: now + EPOCH,
            bucket: TokenBucket::new(now),
            hash: stable_hash(&[upstream]),
            sent: 0,
        }
    }

    /// Rate that the upstream takes, if it names one.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Takes what the answer to a request that was sent at `sent` says; returns what changed, and whether
    /// others have to know.
    ///
    /// Answers overtake each other. One that allows more than what is known counts only if its request was
    /// sent after that was learned.
    pub(super) fn hear(
        &mut self,
        notice: RateNotice,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) -> (Option<LimitChange>, bool) {
        let is_later = sent >= self.named.unwrap_or_default().max(self.learned);
        match (self.rate, notice) {
            (_, RateNotice::Unreadable) | (None, RateNotice::Unlimited) => (None, false),
            (Some(_), RateNotice::Unlimited) if !is_later => (None, false),
            (Some(known), RateNotice::Limited(rate)) if rate > known && !is_later => (None, false),
            (Some(_), RateNotice::Unlimited) => {
                self.learn(self.version + 1, None, now);
                self.confirmed = sent + EPOCH;
                (Some(LimitChange::Ended(std::mem::take(&mut self.sent))), true)
            }
            (known, RateNotice::Limited(rate)) => {
                let is_news = self.told.is_none_or(|told| differs(told, rate));
                if is_news {
                    self.learn(self.version + 1, Some(rate), now);
                } else if known != Some(rate) {
                    self.rate = Some(rate);
                    self.learned = now;
                }
                self.named = Some(now);
                self.confirmed = now + EPOCH;
                ((known != Some(rate)).then_some(LimitChange::Limited(rate)), is_news)
            }
        }
    }

    /// Takes what another daemon tells; returns what changed, and whether others have to know.
    pub(super) fn take(
        &mut self,
        record: &LimitRecord,
        now: MonotonicTime,
    ) -> (Option<LimitChange>, bool) {
        let since = (now + EPOCH).since_start().saturating_sub(record.age);
        let is_newer = record.version > self.version
            || (record.version == self.version && is_stricter(record.rate, self.told));
        if !is_newer {
            return (None, false);
        }
        // An answer to this daemon may have named a rate after the one without a rate that the other saw.
        let ended = MonotonicTime::from_start(since.saturating_sub(NEWS_TIME));
        let is_doubtful = self.named.is_some_and(|named| named + EPOCH > ended);
        if record.rate.is_none() && self.rate.is_some() && is_doubtful {
            self.version = record.version + 1;
            return (None, true);
        }
        let before = self.rate;
        self.learn(record.version, record.rate, now);
        self.confirmed = MonotonicTime::from_start(since);
        let change = match (before, record.rate) {
            (Some(_), None) => Some(LimitChange::Ended(std::mem::take(&mut self.sent))),
            (before, Some(rate)) if before != Some(rate) => Some(LimitChange::Limited(rate)),
            _ => None,
        };
        (change, false)
    }

    /// What others are told.
    pub(super) fn record(&self, upstream: &str, now: MonotonicTime) -> LimitRecord {
        let age = (now + EPOCH).since(self.confirmed);
        LimitRecord { upstream: upstream.to_owned(), version: self.version, rate: self.told, age }
    }

    /// Time since it was last known to be so.
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        (now + EPOCH).since(self.confirmed)
    }

    /// Same for two daemons that have been told the same.
    pub(super) fn digest(&self) -> u64 {
        let rate = self.told.map_or_else(String::new, |rate| rate.thousandths().to_string());
        stable_hash(&[&self.hash.to_string(), &self.version.to_string(), &rate])
    }

    fn learn(&mut self, version: u64, rate: Option<RequestRate>, now: MonotonicTime) {
        if self.rate.is_none() && rate.is_some() {
            self.bucket = TokenBucket::new(now);
            self.sent = 0;
        }
        self.version = version;
        self.rate = rate;
        self.told = rate;
        self.learned = now;
    }
}

/// Whether `rate` is so far from `told` that others have to know.
fn differs(told: RequestRate, rate: RequestRate) -> bool {
    (told.per_second() - rate.per_second()).abs() > TOLD_CHANGE * told.per_second()
}

/// Whether an upstream that takes `rate` takes less than one that takes `other`.
fn is_stricter(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
