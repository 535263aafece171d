use std::collections::HashMap;
use std::time::Duration;

use super::success_memory::CLEARED_LIFE;
use super::{CrashRecord, UpstreamEnd};
use crate::identity::{MonotonicTime, RequestDigest, stable_hash};

/// Upstreams that have ended under a request before it is quarantined.
///
/// One or two may end by chance under a request that is tried again. A third one, with not one whole
/// answer in between, is the request's doing.
const QUARANTINE_ENDS: usize = 3;
/// Time for which it is not sent on, from the last end. Each trial costs an upstream and all that runs
/// there. Long enough for operators to look; then the request may be harmless, as its upstreams may have
/// been mended.
pub const QUARANTINE: Duration = Duration::from_secs(600);
/// Time for which fewer ends are remembered, from the last one: longer than a caller pauses between two
/// tries.
const SUSPICION: Duration = Duration::from_secs(120);
/// What is added to the time of this process, so that ends of before its start have a time too.
const EPOCH: Duration = Duration::from_secs(3_600);
/// Ends that are kept for one request: those of the quarantine and of what ran when it began. Of more,
/// all daemons keep the same ones, those with the lowest numbers.
const ENDS_LIMIT: usize = 8;
/// Requests that are remembered. All that ran on a few upstreams that ended at one moment; more could
/// not be told in one message.
const REQUESTS_LIMIT: usize = 512;

/// Upstreams that ended under requests, as far as this daemon saw or heard.
///
/// Two daemons that have heard the same, in whatever order and how often, have logs with the same summary,
/// unless it is of more requests than a log holds.
#[derive(Debug, Default)]
pub struct CrashLog {
    entries: HashMap<RequestDigest, LoggedRequest>,
}

#[derive(Debug, Default)]
struct LoggedRequest {
    ends: Vec<(u64, MonotonicTime)>,
    /// When a request like this was last known to be answered whole.
    cleared: Option<MonotonicTime>,
}

impl CrashLog {
    /// Takes note that `upstream` ended under a request. Returns whether that is new.
    pub fn note_end(&mut self, digest: RequestDigest, upstream: u64, now: MonotonicTime) -> bool {
        self.add_end(digest, upstream, now + EPOCH)
    }

    /// A request like this was answered whole: what ended under it ended by chance. Returns whether
    /// there was anything to clear.
    pub fn clear(&mut self, digest: RequestDigest, now: MonotonicTime) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else { return false };
        let had_ends = !entry.ends.is_empty();
        entry.cleared = Some(now + EPOCH);
        entry.ends.clear();
        had_ends
    }

    /// Takes what another daemon tells. Returns whether anything of it was new.
    pub fn take(&mut self, record: &CrashRecord, now: MonotonicTime) -> bool {
        let time = |age: Duration| {
            MonotonicTime::from_start((now + EPOCH).since_start().saturating_sub(age))
        };
        let mut news = false;
        if let Some(age) = record.cleared.filter(|age| *age < CLEARED_LIFE) {
            let entry = self.entries.entry(record.digest).or_default();
            if entry.cleared.is_none() {
                entry.cleared = Some(time(age));
                entry.ends.retain(|(_, end)| *end >= time(age) + CLEARED_LIFE);
                news = true;
            }
        }
        for end in &record.ends {
            news |= self.add_end(record.digest, end.upstream, time(end.age));
        }
        news
    }

    fn add_end(&mut self, digest: RequestDigest, upstream: u64, at: MonotonicTime) -> bool {
        let known = self.entries.get(&digest);
        if known.is_some_and(|entry| !entry.lacks(upstream, at)) {
            return false;
        }
        if known.is_none() && self.entries.len() >= REQUESTS_LIMIT {
            self.make_room();
        }
        let ends = &mut self.entries.entry(digest).or_default().ends;
        ends.push((upstream, at));
        ends.sort_unstable();
        ends.truncate(ENDS_LIMIT);
        true
    }

    /// Time for which a request like this is still not sent on, if it is quarantined.
    #[must_use]
    pub fn quarantine(&self, digest: RequestDigest, now: MonotonicTime) -> Option<Duration> {
        let entry = self.entries.get(&digest)?;
        let left = entry.quarantine()?.saturating_sub((now + EPOCH).since(entry.last_end()?));
        (!left.is_zero()).then_some(left)
    }

    /// Number of upstreams that ended under a request like this.
    #[must_use]
    pub fn ends(&self, digest: RequestDigest) -> usize {
        self.entries.get(&digest).map_or(0, |entry| entry.ends.len())
    }

    /// Requests that are quarantined.
    #[must_use]
    pub fn quarantined(&self, now: MonotonicTime) -> Vec<RequestDigest> {
        let digests = self.entries.keys().copied();
        digests.filter(|digest| self.quarantine(*digest, now).is_some()).collect()
    }

    /// A number that is the same for logs with the same records, whatever their order and ages; 0 for
    /// an empty one.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let rank = |(digest, entry): (&RequestDigest, &LoggedRequest)| {
            let mut ends: Vec<u64> = entry.ends.iter().map(|(upstream, _)| *upstream).collect();
            ends.sort_unstable();
            stable_hash(&[&digest.to_string(), &format!("{ends:x?}/{}", entry.cleared.is_some())])
        };
        self.entries.iter().map(rank).fold(0, |summary, rank| summary ^ rank)
    }

    /// What is known of one request, to tell others.
    #[must_use]
    pub fn record(&self, digest: RequestDigest, now: MonotonicTime) -> Option<CrashRecord> {
        let entry = self.entries.get(&digest)?;
        let age = |at: MonotonicTime| (now + EPOCH).since(at);
        let end = |(upstream, at): &(u64, MonotonicTime)| UpstreamEnd {
            upstream: *upstream,
            age: age(*at),
        };
        Some(CrashRecord {
            digest,
            ends: entry.ends.iter().map(end).collect(),
            cleared: entry.cleared.map(age),
        })
    }

    /// All that is known.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        self.entries.keys().filter_map(|digest| self.record(*digest, now)).collect()
    }

    /// Forgets what is too old to count. Returns whether there was anything.
    pub fn forget(&mut self, now: MonotonicTime) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.is_wanted(now + EPOCH));
        self.entries.len() < before
    }

    /// Guards against a log that grows without bound where upstreams fail by the dozen: the request
    /// with the fewest ends under it goes, and the oldest among these.
    fn make_room(&mut self) {
        let least = self.entries.iter();
        let least =
            least.min_by_key(|(digest, entry)| (entry.ends.len(), entry.last_end(), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.entries.remove(&digest);
        }
    }
}

impl LoggedRequest {
    /// Whether the end of `upstream` at `at` counts and is not known.
    fn lacks(&self, upstream: u64, at: MonotonicTime) -> bool {
        let is_known = self.ends.iter().any(|(known, _)| *known == upstream);
        let is_cleared = self.cleared.is_some_and(|cleared| at < cleared + CLEARED_LIFE);
        let has_place =
            self.ends.len() < ENDS_LIMIT || self.ends.iter().any(|(known, _)| *known > upstream);
        !is_known && !is_cleared && has_place
    }

    /// Time of its quarantine, from the last end.
    fn quarantine(&self) -> Option<Duration> {
        (self.ends.len() >= QUARANTINE_ENDS).then_some(QUARANTINE)
    }

    fn last_end(&self) -> Option<MonotonicTime> {
        self.ends.iter().map(|(_, at)| *at).max()
    }

    fn is_wanted(&self, now: MonotonicTime) -> bool {
        let life = self.quarantine().unwrap_or_default().max(SUSPICION);
        let by_ends = self.last_end().is_some_and(|last| now.since(last) < life);
        by_ends || self.cleared.is_some_and(|cleared| now.since(cleared) < CLEARED_LIFE)
    }
}
