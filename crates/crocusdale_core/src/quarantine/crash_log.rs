use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::time::Duration;

use super::recent_successes::CLEARANCE_TIME;
use super::{CrashRecord, UpstreamCrash};
use crate::identity::{MonotonicTime, RequestDigest, stable_hash};

/// Number of upstream crashes under a request or a prompt part after which it is quarantined.
///
/// One or two upstreams may crash by chance under a request that is retried. A third crash without
/// any complete answer in between is caused by the request.
pub(super) const QUARANTINE_CRASHES: usize = 3;
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

/// Upstream crashes per subject, as observed by this daemon or reported by others. A subject is a
/// request, by its digest, or a prompt part.
///
/// Logs of daemons that received the same records have equal summaries, whatever the order and
/// number of deliveries, unless the records exceed the capacity of a log.
#[derive(Debug)]
pub struct CrashLog<K = RequestDigest> {
    entries: HashMap<K, LoggedSubject>,
    max_subjects: usize,
    max_crashes: usize,
    /// Time after a complete answer within which crashes are not counted.
    clear_ahead: Duration,
}

#[derive(Debug, Default)]
struct LoggedSubject {
    /// Identifier of each crashed upstream, with the time of its crash.
    crashes: Vec<(u64, MonotonicTime)>,
    /// Time of the last known complete answer to such a request.
    cleared_at: Option<MonotonicTime>,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self::new(MAX_LOGGED_REQUESTS, MAX_CRASHES_PER_REQUEST, CLEARANCE_TIME)
    }
}

impl<K: Copy + Eq + Hash + Ord + Display> CrashLog<K> {
    /// Creates an empty log for up to `max_subjects`, with up to `max_crashes` for each. Crashes within
    /// `clear_ahead` of a complete answer are not counted.
    #[must_use]
    pub fn new(max_subjects: usize, max_crashes: usize, clear_ahead: Duration) -> Self {
        Self { entries: HashMap::new(), max_subjects, max_crashes, clear_ahead }
    }

    /// Records that the upstream with the identifier `upstream` crashed under a request. Returns
    /// whether the crash is new.
    pub fn record_crash(&mut self, subject: K, upstream: u64, now: MonotonicTime) -> bool {
        self.add_crash(subject, upstream, now + CLOCK_OFFSET)
    }

    /// Records a complete answer to a request with `subject`. Its crashes are attributed to chance
    /// and removed. Returns whether there were any.
    pub fn clear(&mut self, subject: K, now: MonotonicTime) -> bool {
        let Some(entry) = self.entries.get_mut(&subject) else { return false };
        let had_crashes = !entry.crashes.is_empty();
        entry.cleared_at = Some(now + CLOCK_OFFSET);
        entry.crashes.clear();
        had_crashes
    }

    /// Merges a record of another daemon. Returns whether it contained anything new.
    pub fn merge(&mut self, record: &CrashRecord<K>, now: MonotonicTime) -> bool {
        let time_at_age = |age: Duration| {
            MonotonicTime::from_start((now + CLOCK_OFFSET).since_start().saturating_sub(age))
        };
        let mut has_news = false;
        if let Some(age) = record.cleared.filter(|age| *age < CLEARANCE_TIME) {
            let entry = self.entries.entry(record.subject).or_default();
            let (is_first, crash_count) = (entry.cleared_at.is_none(), entry.crashes.len());
            entry.cleared_at = entry.cleared_at.max(Some(time_at_age(age)));
            let counted_from = time_at_age(age) + self.clear_ahead;
            entry.crashes.retain(|(_, at)| *at >= counted_from);
            has_news |= is_first || entry.crashes.len() < crash_count;
        }
        for crash in &record.crashes {
            has_news |= self.add_crash(record.subject, crash.upstream, time_at_age(crash.age));
        }
        has_news
    }

    fn add_crash(&mut self, subject: K, upstream: u64, at: MonotonicTime) -> bool {
        let known = self.entries.get(&subject);
        if known.is_some_and(|entry| {
            !entry.can_add_crash((upstream, at), self.max_crashes, self.clear_ahead)
        }) {
            return false;
        }
        if known.is_none() && self.entries.len() >= self.max_subjects {
            self.evict_subject();
        }
        let crashes = &mut self.entries.entry(subject).or_default().crashes;
        crashes.push((upstream, at));
        crashes.sort_unstable();
        crashes.truncate(self.max_crashes);
        true
    }

    /// Remaining time for which requests with `subject` are refused, or `None` if they are not
    /// quarantined.
    #[must_use]
    pub fn quarantine_left(&self, subject: K, now: MonotonicTime) -> Option<Duration> {
        let entry = self.entries.get(&subject)?;
        let time_left = entry
            .quarantine_time()?
            .saturating_sub((now + CLOCK_OFFSET).since(entry.last_crash()?));
        (!time_left.is_zero()).then_some(time_left)
    }

    /// Number of upstreams that crashed while running a request with `subject`.
    #[must_use]
    pub fn crash_count(&self, subject: K) -> usize {
        self.entries.get(&subject).map_or(0, |entry| entry.crashes.len())
    }

    /// Subjects with at least `min_crashes` within their quarantine. Crashes within `window` of each
    /// other count as one.
    #[must_use]
    pub fn subjects_with(
        &self,
        min_crashes: usize,
        window: Duration,
        now: MonotonicTime,
    ) -> Vec<K> {
        let has_crashes = |(subject, entry): &(&K, &LoggedSubject)| {
            entry.crashes.len() >= min_crashes
                && entry.separate_crashes(window) >= min_crashes
                && self.quarantine_left(**subject, now).is_some()
        };
        self.entries.iter().filter(has_crashes).map(|(subject, _)| *subject).collect()
    }

    /// Whether all upstreams that crashed under `subject` crashed under `other` too.
    #[must_use]
    pub fn shares_crashes(&self, subject: K, other: K) -> bool {
        let (Some(entry), Some(other)) = (self.entries.get(&subject), self.entries.get(&other))
        else {
            return false;
        };
        let is_shared = |(upstream, _): &(u64, MonotonicTime)| {
            other.crashes.iter().any(|(shared, _)| shared == upstream)
        };
        entry.crashes.iter().all(is_shared)
    }

    /// All quarantined subjects.
    #[must_use]
    pub fn quarantined(&self, now: MonotonicTime) -> Vec<K> {
        let subjects = self.entries.keys().copied();
        subjects.filter(|subject| self.quarantine_left(*subject, now).is_some()).collect()
    }

    /// Hash over all records that does not depend on their order or their ages. An empty log has
    /// the summary 0.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let entry_hash = |(subject, entry): (&K, &LoggedSubject)| {
            let mut crashes: Vec<u64> =
                entry.crashes.iter().map(|(upstream, _)| *upstream).collect();
            crashes.sort_unstable();
            stable_hash(&[
                &subject.to_string(),
                &format!("{crashes:x?}/{}", entry.cleared_at.is_some()),
            ])
        };
        self.entries.iter().map(entry_hash).fold(0, |summary, entry_hash| summary ^ entry_hash)
    }

    /// The record of one request with current ages, to be sent to other daemons. `None` if the log
    /// has no entry for `subject`.
    #[must_use]
    pub fn record(&self, subject: K, now: MonotonicTime) -> Option<CrashRecord<K>> {
        let entry = self.entries.get(&subject)?;
        let age = |at: MonotonicTime| (now + CLOCK_OFFSET).since(at);
        let crash = |(upstream, at): &(u64, MonotonicTime)| UpstreamCrash {
            upstream: *upstream,
            age: age(*at),
        };
        Some(CrashRecord {
            subject,
            crashes: entry.crashes.iter().map(crash).collect(),
            cleared: entry.cleared_at.map(age),
        })
    }

    /// The records of all requests in the log.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<CrashRecord<K>> {
        self.entries.keys().filter_map(|subject| self.record(*subject, now)).collect()
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
    fn evict_subject(&mut self) {
        let candidates = self.entries.iter();
        let weakest = candidates
            .min_by_key(|(subject, entry)| (entry.crashes.len(), entry.last_crash(), **subject));
        if let Some(subject) = weakest.map(|(subject, _)| *subject) {
            self.entries.remove(&subject);
        }
    }
}

impl LoggedSubject {
    /// Whether a crash of `upstream` at `at` must be added: it is not in the list yet, no complete
    /// answer has cleared it, and the list has space for its identifier.
    fn can_add_crash(
        &self,
        (upstream, at): (u64, MonotonicTime),
        max_crashes: usize,
        clear_ahead: Duration,
    ) -> bool {
        let is_known = self.crashes.iter().any(|(known, _)| *known == upstream);
        let is_cleared = self.cleared_at.is_some_and(|cleared_at| at < cleared_at + clear_ahead);
        let has_space = self.crashes.len() < max_crashes
            || self.crashes.iter().any(|(known, _)| *known > upstream);
        !is_known && !is_cleared && has_space
    }

    /// Number of crashes if those within `window` of the first one of a group count as one.
    fn separate_crashes(&self, window: Duration) -> usize {
        let mut times: Vec<MonotonicTime> = self.crashes.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let mut group_start = None;
        let starts_group = |at: &MonotonicTime| {
            let is_start = group_start.is_none_or(|start| at.since(start) >= window);
            if is_start {
                group_start = Some(*at);
            }
            is_start
        };
        times.into_iter().filter(starts_group).count()
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
