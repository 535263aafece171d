use std::collections::HashMap;
use std::time::Duration;

use super::recent_successes::CLEARANCE_TIME;
use super::{CrashRecord, UpstreamCrash};
use crate::identity::{MonotonicTime, RequestDigest, stable_hash};

/// Number of upstream crashes under a request after which it is quarantined.
///
/// One or two upstreams may crash by chance under a request that is retried. A third crash without
/// any complete answer in between is caused by the request.
const QUARANTINE_CRASHES: usize = 3;
/// Duration of a quarantine, from the last crash. Each further trial would cost an upstream and
/// everything that runs on it. The duration leaves operators time to investigate. After it the
/// request may be harmless, because the upstreams may have been fixed.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Time after the last crash for which a request below the quarantine threshold stays in the log.
/// It is longer than callers wait between two retries.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Offset added to the clock of this process, so that crashes from before its start have a valid
/// time.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);
/// Maximum number of upstream crashes that the log keeps for one request. It leaves space for the
/// crashes that start a quarantine, and for the crashes of other upstreams that were already
/// running the same request at that time. If there are more, all daemons keep the crashes with the
/// lowest upstream identifiers, so that their logs agree.
const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Maximum number of requests in the log. It is enough for everything that ran on a few upstreams
/// that crashed at the same time. More would not fit into one message.
const MAX_LOGGED_REQUESTS: usize = 512;

/// Upstream crashes per request, as observed by this daemon or reported by others.
///
/// Logs of daemons that received the same records have equal summaries, whatever the order and
/// number of deliveries, unless the records exceed the capacity of a log.
#[derive(Debug, Default)]
pub struct CrashLog {
    entries: HashMap<RequestDigest, LoggedRequest>,
}

#[derive(Debug, Default)]
struct LoggedRequest {
    /// Identifier of each crashed upstream, with the time of its crash.
    crashes: Vec<(u64, MonotonicTime)>,
    /// Time of the last known complete answer to a request with this digest.
    cleared_at: Option<MonotonicTime>,
}

impl CrashLog {
    /// Records that the upstream with the identifier `upstream` crashed under a request. Returns
    /// whether the crash is new.
    pub fn record_crash(
        &mut self,
        digest: RequestDigest,
        upstream: u64,
        now: MonotonicTime,
    ) -> bool {
        self.add_crash(digest, upstream, now + CLOCK_OFFSET)
    }

    /// Records a complete answer to a request with `digest`. Its crashes are attributed to chance
    /// and removed. Returns whether there were any.
    pub fn clear(&mut self, digest: RequestDigest, now: MonotonicTime) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else { return false };
        let had_crashes = !entry.crashes.is_empty();
        entry.cleared_at = Some(now + CLOCK_OFFSET);
        entry.crashes.clear();
        had_crashes
    }

    /// Merges a record of another daemon. Returns whether it contained anything new.
    pub fn merge(&mut self, record: &CrashRecord, now: MonotonicTime) -> bool {
        let time_at_age = |age: Duration| {
            MonotonicTime::from_start((now + CLOCK_OFFSET).since_start().saturating_sub(age))
        };
        let mut has_news = false;
        if let Some(age) = record.cleared.filter(|age| *age < CLEARANCE_TIME) {
            let entry = self.entries.entry(record.digest).or_default();
            if entry.cleared_at.is_none() {
                entry.cleared_at = Some(time_at_age(age));
                entry.crashes.retain(|(_, at)| *at >= time_at_age(age) + CLEARANCE_TIME);
                has_news = true;
            }
        }
        for crash in &record.crashes {
            has_news |= self.add_crash(record.digest, crash.upstream, time_at_age(crash.age));
        }
        has_news
    }

    fn add_crash(&mut self, digest: RequestDigest, upstream: u64, at: MonotonicTime) -> bool {
        let known = self.entries.get(&digest);
        if known.is_some_and(|entry| !entry.can_add_crash(upstream, at)) {
            return false;
        }
        if known.is_none() && self.entries.len() >= MAX_LOGGED_REQUESTS {
            self.evict_request();
        }
        let crashes = &mut self.entries.entry(digest).or_default().crashes;
        crashes.push((upstream, at));
        crashes.sort_unstable();
        crashes.truncate(MAX_CRASHES_PER_REQUEST);
        true
    }

    /// Remaining time for which requests with `digest` are refused, or `None` if they are not
    /// quarantined.
    #[must_use]
    pub fn quarantine_left(&self, digest: RequestDigest, now: MonotonicTime) -> Option<Duration> {
        let entry = self.entries.get(&digest)?;
        let time_left = entry
            .quarantine_time()?
            .saturating_sub((now + CLOCK_OFFSET).since(entry.last_crash()?));
        (!time_left.is_zero()).then_some(time_left)
    }

    /// Number of upstreams that crashed while running a request with `digest`.
    #[must_use]
    pub fn crash_count(&self, digest: RequestDigest) -> usize {
        self.entries.get(&digest).map_or(0, |entry| entry.crashes.len())
    }

    /// Digests of all quarantined requests.
    #[must_use]
    pub fn quarantined(&self, now: MonotonicTime) -> Vec<RequestDigest> {
        let digests = self.entries.keys().copied();
        digests.filter(|digest| self.quarantine_left(*digest, now).is_some()).collect()
    }

    /// Hash over all records that does not depend on their order or their ages. An empty log has
    /// the summary 0.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let entry_hash = |(digest, entry): (&RequestDigest, &LoggedRequest)| {
            let mut crashes: Vec<u64> =
                entry.crashes.iter().map(|(upstream, _)| *upstream).collect();
            crashes.sort_unstable();
            stable_hash(&[
                &digest.to_string(),
                &format!("{crashes:x?}/{}", entry.cleared_at.is_some()),
            ])
        };
        self.entries.iter().map(entry_hash).fold(0, |summary, entry_hash| summary ^ entry_hash)
    }

    /// The record of one request with current ages, to be sent to other daemons. `None` if the log
    /// has no entry for `digest`.
    #[must_use]
    pub fn record(&self, digest: RequestDigest, now: MonotonicTime) -> Option<CrashRecord> {
        let entry = self.entries.get(&digest)?;
        let age = |at: MonotonicTime| (now + CLOCK_OFFSET).since(at);
        let crash = |(upstream, at): &(u64, MonotonicTime)| UpstreamCrash {
            upstream: *upstream,
            age: age(*at),
        };
        Some(CrashRecord {
            digest,
            crashes: entry.crashes.iter().map(crash).collect(),
            cleared: entry.cleared_at.map(age),
        })
    }

    /// The records of all requests in the log.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        self.entries.keys().filter_map(|digest| self.record(*digest, now)).collect()
    }

    /// Removes expired entries. Returns whether any was removed.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> bool {
        let old_len = self.entries.len();
        self.entries.retain(|_, entry| entry.is_relevant(now + CLOCK_OFFSET));
        self.entries.len() < old_len
    }

    /// Removes the request with the fewest crashes, and among these the one with the oldest last
    /// crash.
    ///
    /// Guards against unbounded growth of the log when dozens of upstreams fail.
    fn evict_request(&mut self) {
        let candidates = self.entries.iter();
        let weakest = candidates
            .min_by_key(|(digest, entry)| (entry.crashes.len(), entry.last_crash(), **digest));
        if let Some(digest) = weakest.map(|(digest, _)| *digest) {
            self.entries.remove(&digest);
        }
    }
}

impl LoggedRequest {
    /// Whether a crash of `upstream` at `at` must be added: it is not in the list yet, no complete
    /// answer has cleared it, and the list has space for its identifier.
    fn can_add_crash(&self, upstream: u64, at: MonotonicTime) -> bool {
        let is_known = self.crashes.iter().any(|(known, _)| *known == upstream);
        let is_cleared = self.cleared_at.is_some_and(|cleared_at| at < cleared_at + CLEARANCE_TIME);
        let has_space = self.crashes.len() < MAX_CRASHES_PER_REQUEST
            || self.crashes.iter().any(|(known, _)| *known > upstream);
        !is_known && !is_cleared && has_space
    }

    /// Duration of the quarantine from the last crash, or `None` below the quarantine threshold.
    fn quarantine_time(&self) -> Option<Duration> {
        (self.crashes.len() >= QUARANTINE_CRASHES).then_some(QUARANTINE_DURATION)
    }

    fn last_crash(&self) -> Option<MonotonicTime> {
        self.crashes.iter().map(|(_, at)| *at).max()
    }

    fn is_relevant(&self, now: MonotonicTime) -> bool {
        let retention = self.quarantine_time().unwrap_or_default().max(CRASH_RETENTION);
        let has_recent_crashes = self.last_crash().is_some_and(|last| now.since(last) < retention);
        has_recent_crashes
            || self.cleared_at.is_some_and(|cleared_at| now.since(cleared_at) < CLEARANCE_TIME)
    }
}
