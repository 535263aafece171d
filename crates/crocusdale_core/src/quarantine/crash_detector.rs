use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{CrashLog, CrashRecord, RecentSuccesses, UpstreamCrash};
use crate::identity::{MonotonicTime, RequestDigest};

/// Time within which a second crash of one declared upstream under the same request counts as the
/// same crash, reported by two attempts. A restart of an upstream takes longer.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Decides which requests crash upstreams, and collects the crash records that other daemons have
/// yet to receive.
///
/// A failed attempt alone is weak evidence: connections are reset, answers are lost or corrupted,
/// and an upstream may crash by chance under everything that it runs. So the upstream is probed
/// first, and only if it has crashed is the request suspected. A complete answer to a request with
/// the same digest clears the suspicion.
#[derive(Debug)]
pub struct CrashDetector {
    own_vm: String,
    /// Whether each process of an upstream has a unique name. If not, a restarted upstream keeps
    /// its name.
    has_instance_names: bool,
    log: CrashLog,
    successes: RecentSuccesses,
    /// Requests that may have crashed an upstream which is being probed, by the name of the
    /// upstream.
    suspects: HashMap<String, BTreeSet<RequestDigest>>,
    /// Requests whose latest records have not been sent to other daemons.
    unsent: BTreeSet<RequestDigest>,
    /// Time of the last crash of an upstream under a request and the number of such crashes, as
    /// observed by this daemon.
    observed_crashes: HashMap<(RequestDigest, String), (MonotonicTime, u32)>,
}

/// Changes that result from new evidence about requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Requests whose quarantine has started or been extended.
    pub quarantined: Vec<RequestDigest>,
    /// Requests whose quarantine has been lifted.
    pub lifted: Vec<RequestDigest>,
    /// Whether there are records that other daemons must receive.
    pub has_news: bool,
}

impl CrashDetector {
    /// Creates a detector without records for the daemon on `own_vm`. `has_instance_names` tells
    /// whether each process of an upstream has a unique name, as published upstreams do.
    #[must_use]
    pub fn new(own_vm: &str, has_instance_names: bool) -> Self {
        Self {
            own_vm: own_vm.to_owned(),
            has_instance_names,
            log: CrashLog::default(),
            successes: RecentSuccesses::default(),
            suspects: HashMap::new(),
            unsent: BTreeSet::new(),
            observed_crashes: HashMap::new(),
        }
    }

    /// Records that `upstream` may have crashed while it ran a request with `digest`. Returns
    /// whether it must be probed now: a running probe serves all requests that are recorded in the
    /// meantime.
    ///
    /// A request that was sent on its own is recorded if the connection was closed before the
    /// answer was complete. An answer with an error status is no sign of a crash. The requests of a
    /// batch call are recorded if the call had no valid answer in time.
    pub fn suspect(&mut self, digest: RequestDigest, upstream: &str) -> bool {
        let needs_probe = !self.suspects.contains_key(upstream);
        self.suspects.entry(upstream.to_owned()).or_default().insert(digest);
        needs_probe
    }

    /// Number of requests that [`Self::suspect`] has recorded for `upstream`.
    #[must_use]
    pub fn suspect_count(&self, upstream: &str) -> usize {
        self.suspects.get(upstream).map_or(0, BTreeSet::len)
    }

    /// Ends the probe of `upstream`. If the upstream has crashed, the crash is counted for all
    /// requests that [`Self::suspect`] has recorded for it.
    pub fn finish_probe(
        &mut self,
        upstream: &str,
        has_crashed: bool,
        now: MonotonicTime,
    ) -> CrashVerdict {
        let suspects = self.suspects.remove(upstream).unwrap_or_default();
        let mut verdict = CrashVerdict::default();
        for digest in suspects.into_iter().filter(|_| has_crashed) {
            if self.successes.contains(digest, now) {
                continue;
            }
            let Some(crash) = self.crash_id(digest, upstream, now) else { continue };
            let old_time_left = self.log.quarantine_left(digest, now);
            if self.log.record_crash(digest, crash, now) {
                self.unsent.insert(digest);
                verdict.has_news = true;
            }
            if self.log.quarantine_left(digest, now) > old_time_left {
                verdict.quarantined.push(digest);
            }
        }
        verdict
    }

    /// Records a complete answer to a request with `digest`, which clears it.
    pub fn record_success(&mut self, digest: RequestDigest, now: MonotonicTime) -> CrashVerdict {
        self.successes.record(digest, now);
        let mut verdict = CrashVerdict::default();
        let was_quarantined = self.log.quarantine_left(digest, now).is_some();
        if self.log.clear(digest, now) {
            self.unsent.insert(digest);
            verdict.has_news = true;
            verdict.lifted.extend(was_quarantined.then_some(digest));
        }
        verdict
    }

    /// Merges the crash records of another daemon.
    pub fn merge(&mut self, records: &[CrashRecord], now: MonotonicTime) -> CrashVerdict {
        let mut verdict = CrashVerdict::default();
        for record in records {
            let digest = record.subject;
            let old_time_left = self.log.quarantine_left(digest, now);
            if !self.log.merge(record, now) {
                continue;
            }
            if record.cleared.is_none() && self.successes.contains(digest, now) {
                // This daemon has recently seen a complete answer to the request, which the sender
                // of the record has not.
                verdict.has_news |= self.log.clear(digest, now);
                self.unsent.insert(digest);
            }
            let new_time_left = self.log.quarantine_left(digest, now);
            if new_time_left > old_time_left {
                verdict.quarantined.push(digest);
            } else if new_time_left.is_none() && old_time_left.is_some() {
                verdict.lifted.push(digest);
            }
        }
        verdict
    }

    /// Remaining time for which requests with `digest` are refused, or `None` if they are not
    /// quarantined.
    #[must_use]
    pub fn quarantine_left(&self, digest: RequestDigest, now: MonotonicTime) -> Option<Duration> {
        self.log.quarantine_left(digest, now)
    }

    /// Number of upstreams that crashed while running a request with `digest`.
    #[must_use]
    pub fn crash_count(&self, digest: RequestDigest) -> usize {
        self.log.crash_count(digest)
    }

    /// Digests of all quarantined requests.
    #[must_use]
    pub fn quarantined(&self, now: MonotonicTime) -> Vec<RequestDigest> {
        self.log.quarantined(now)
    }

    /// Order-independent hash of all records. See [`CrashLog::summary`].
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.log.summary()
    }

    /// Returns the records that other daemons have not received, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonotonicTime) -> Vec<CrashRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.into_iter().filter_map(|digest| self.log.record(digest, now)).collect()
    }

    /// All records, for a daemon whose summary differs.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        self.log.records(now)
    }

    /// Removes expired records. Returns whether any was removed.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> bool {
        let has_removed = self.log.remove_expired(now);
        let log = &self.log;
        self.observed_crashes.retain(|(digest, _), _| log.crash_count(*digest) > 0);
        has_removed
    }

    /// Identifies a crash of `upstream` under a request. Returns `None` if the crash is already
    /// counted.
    ///
    /// Guards against a pool of two declared upstreams that a request could crash in turn forever.
    /// They keep their names over a restart, so the log would never count the three crashes of a
    /// quarantine. A repeated crash counts again only if this daemon observed it: the ages in
    /// records of other daemons are too coarse to tell two crashes apart.
    fn crash_id(
        &mut self,
        digest: RequestDigest,
        upstream: &str,
        now: MonotonicTime,
    ) -> Option<u64> {
        if self.has_instance_names {
            return Some(UpstreamCrash::hash_of(upstream));
        }
        let observed = self.observed_crashes.entry((digest, upstream.to_owned()));
        let (last_seen, count) = observed.or_insert((now, 0));
        if *count > 0 && now.since(*last_seen) < SAME_CRASH_WINDOW {
            return None;
        }
        (*last_seen, *count) = (now, *count + 1);
        Some(match *count {
            1 => UpstreamCrash::hash_of(upstream),
            count => UpstreamCrash::hash_of(&format!("{upstream} {count} {}", self.own_vm)),
        })
    }
}
