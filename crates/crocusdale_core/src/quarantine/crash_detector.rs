use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{CrashLog, CrashRecord, SuccessMemory, UpstreamEnd};
use crate::identity::{MonotonicTime, RequestDigest};

/// Time within which a declared upstream that ends again under one request is taken to have ended once,
/// seen by two attempts. It takes longer to come back.
const SAME_END: Duration = Duration::from_secs(2);

/// What this daemon makes of attempts that broke off, and what it has to tell others of it.
///
/// An attempt that breaks off proves little: connections are reset, answers are lost or spoiled, and
/// upstreams end by chance under all that they run. So the upstream is looked at first, and only if it
/// has ended is the request suspected; a whole answer to a request like it clears it.
#[derive(Debug)]
pub struct CrashDetector {
    own_vm: String,
    /// Whether each life of an upstream has a name of its own.
    lives_have_names: bool,
    log: CrashLog,
    successes: SuccessMemory,
    /// Requests whose attempts broke off at upstreams that are being looked at.
    suspects: HashMap<String, BTreeSet<RequestDigest>>,
    /// Requests of which others have not been told what is known here.
    fresh: BTreeSet<RequestDigest>,
    /// When an upstream last ended under a request, as this daemon saw it.
    own_ends: HashMap<(RequestDigest, String), (MonotonicTime, u32)>,
}

/// What came of news about requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Requests that are quarantined from now on, or for longer than before.
    pub quarantined: Vec<RequestDigest>,
    /// Requests that no longer are.
    pub lifted: Vec<RequestDigest>,
    /// Whether others must be told.
    pub has_news: bool,
}

impl CrashDetector {
    /// Knows nothing yet, on `own_vm`. Published upstreams have another name in each life.
    #[must_use]
    pub fn new(own_vm: &str, lives_have_names: bool) -> Self {
        Self {
            own_vm: own_vm.to_owned(),
            lives_have_names,
            log: CrashLog::default(),
            successes: SuccessMemory::default(),
            suspects: HashMap::new(),
            fresh: BTreeSet::new(),
            own_ends: HashMap::new(),
        }
    }

    /// An attempt at `upstream` broke off. Returns whether the upstream must be looked at: one look
    /// serves all attempts that break off meanwhile.
    pub fn suspect(&mut self, digest: RequestDigest, upstream: &str) -> bool {
        let is_new = !self.suspects.contains_key(upstream);
        self.suspects.entry(upstream.to_owned()).or_default().insert(digest);
        is_new
    }

    /// The upstream was looked at.
    pub fn probed(
        &mut self,
        upstream: &str,
        has_crashed: bool,
        now: MonotonicTime,
    ) -> CrashVerdict {
        let suspects = self.suspects.remove(upstream).unwrap_or_default();
        let mut verdict = CrashVerdict::default();
        for digest in suspects.into_iter().filter(|_| has_crashed) {
            if self.successes.knows(digest, now) {
                continue;
            }
            let Some(end) = self.name_end(digest, upstream, now) else { continue };
            let before = self.log.quarantine(digest, now);
            if self.log.note_end(digest, end, now) {
                self.fresh.insert(digest);
                verdict.has_news = true;
            }
            if self.log.quarantine(digest, now) > before {
                verdict.quarantined.push(digest);
            }
        }
        verdict
    }

    /// A request like this was answered whole.
    pub fn succeeded(&mut self, digest: RequestDigest, now: MonotonicTime) -> CrashVerdict {
        self.successes.note(digest, now);
        let mut verdict = CrashVerdict::default();
        let was_quarantined = self.log.quarantine(digest, now).is_some();
        if self.log.clear(digest, now) {
            self.fresh.insert(digest);
            verdict.has_news = true;
            verdict.lifted.extend(was_quarantined.then_some(digest));
        }
        verdict
    }

    /// Takes what another daemon tells.
    pub fn take(&mut self, records: &[CrashRecord], now: MonotonicTime) -> CrashVerdict {
        let mut verdict = CrashVerdict::default();
        for record in records {
            let digest = record.digest;
            let before = self.log.quarantine(digest, now);
            if !self.log.take(record, now) {
                continue;
            }
            if record.cleared.is_none() && self.successes.knows(digest, now) {
                // Here it was answered whole of late, which the others do not know.
                verdict.has_news |= self.log.clear(digest, now);
                self.fresh.insert(digest);
            }
            let after = self.log.quarantine(digest, now);
            if after > before {
                verdict.quarantined.push(digest);
            } else if after.is_none() && before.is_some() {
                verdict.lifted.push(digest);
            }
        }
        verdict
    }

    /// Time for which a request like this is still not sent on, if it is quarantined.
    #[must_use]
    pub fn quarantine(&self, digest: RequestDigest, now: MonotonicTime) -> Option<Duration> {
        self.log.quarantine(digest, now)
    }

    /// Number of upstreams that ended under a request like this.
    #[must_use]
    pub fn ends(&self, digest: RequestDigest) -> usize {
        self.log.ends(digest)
    }

    /// Requests that are quarantined.
    #[must_use]
    pub fn quarantined(&self, now: MonotonicTime) -> Vec<RequestDigest> {
        self.log.quarantined(now)
    }

    /// See [`CrashLog::summary`].
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.log.summary()
    }

    /// Takes out what others have not been told.
    pub fn take_fresh(&mut self, now: MonotonicTime) -> Vec<CrashRecord> {
        let fresh = std::mem::take(&mut self.fresh);
        fresh.into_iter().filter_map(|digest| self.log.record(digest, now)).collect()
    }

    /// All that is known, for a daemon that knows something else.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        self.log.records(now)
    }

    /// Forgets what is too old to count. Returns whether there was anything.
    pub fn forget(&mut self, now: MonotonicTime) -> bool {
        let is_less = self.log.forget(now);
        let log = &self.log;
        self.own_ends.retain(|(digest, _), _| log.ends(*digest) > 0);
        is_less
    }

    /// Number of this end of `upstream`, or `None` if it is one that was seen before.
    ///
    /// Guards against a pool of two declared upstreams, which a request could crash in turn for good:
    /// their names stay, so that there never were three ends. Only what this daemon saw end twice
    /// counts twice, as the ages that others tell don't tell two ends apart.
    fn name_end(
        &mut self,
        digest: RequestDigest,
        upstream: &str,
        now: MonotonicTime,
    ) -> Option<u64> {
        if self.lives_have_names {
            return Some(UpstreamEnd::hash_of(upstream));
        }
        let seen = self.own_ends.entry((digest, upstream.to_owned()));
        let (last, times) = seen.or_insert((now, 0));
        if *times > 0 && now.since(*last) < SAME_END {
            return None;
        }
        (*last, *times) = (now, *times + 1);
        Some(match *times {
            1 => UpstreamEnd::hash_of(upstream),
            times => UpstreamEnd::hash_of(&format!("{upstream} {times} {}", self.own_vm)),
        })
    }
}
