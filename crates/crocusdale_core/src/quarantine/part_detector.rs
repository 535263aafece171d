use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::crash_log::{QUARANTINE_CRASHES, QUARANTINE_DURATION};
use super::{CrashLog, PartRecord, RecentSuccesses, UpstreamCrash};
use crate::identity::{MonotonicTime, PartId};

/// Time within which crashes count as one for a part. Engines that end at the same moment have a
/// common cause, such as the loss of a rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(200);
/// Time for which a complete answer clears a part ahead. It must be short: a part that has been sound
/// may begin to crash engines, for example at a new software version.
const CLEAR_AHEAD: Duration = Duration::from_secs(1);
/// Number of crashes after which a part is quarantined that was answered within [`TRUST_PERIOD`]. Its
/// engines are more likely to have crashed by chance, and a quarantine would refuse many requests.
const TRUSTED_CRASHES: usize = 5;
/// Number of crashes after which a part without an answer is quarantined, also if all were at the
/// same moment. It may crash all engines of a pool before one is back, which looks like the loss of
/// a rack; but a part that runs on so many engines would have been answered.
const COINCIDENT_CRASHES: usize = 5;
/// Time for which a complete answer makes a part trusted. As crashes count for no longer, a part does
/// not lose its trust while they do.
const TRUST_PERIOD: Duration = QUARANTINE_DURATION;
/// Maximum number of parts with crashes. One engine crashes under 128 requests with a few parts each.
const MAX_LOGGED_PARTS: usize = 2_048;
/// Maximum number of crashes that are kept for one part. Two parts are told apart by them, so that
/// there must be more than crash until all daemons know of a quarantine.
const MAX_CRASHES_PER_PART: usize = 32;
/// Number of parts in one generation of recent successes: more than a minute at a hundred requests per
/// second with two parts each, all different.
const MAX_SUCCESSES: usize = 16_384;

/// Decides which prompt parts crash the engines that answer on them.
///
/// Every part of every request that an engine ran when it crashed is suspected. A complete answer to
/// a request with the part clears it. A request is only refused if it has a part with enough crashes,
/// and also all other parts to which each of these crashes can be put down: a part that was only
/// there when another one crashed its engines stays harmless on its own.
#[derive(Debug)]
pub struct PartDetector {
    log: CrashLog<PartId>,
    successes: RecentSuccesses<PartId>,
    /// Parts that this daemon has seen answered within [`TRUST_PERIOD`].
    trusted: RecentSuccesses<PartId>,
    /// Parts of the requests that broke off at an upstream which is being probed, and the time of the
    /// first of them, by the name of the upstream.
    suspects: HashMap<String, (MonotonicTime, BTreeSet<PartId>)>,
    /// Parts whose latest records have not been sent to other daemons.
    unsent: BTreeSet<PartId>,
    /// Quarantined parts, each with the parts that a request must have too to be refused.
    quarantined: BTreeMap<PartId, Vec<PartId>>,
}

/// Changes that result from new evidence about parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartVerdict {
    /// Parts that were quarantined, or whose quarantine now applies to more requests.
    pub quarantined: Vec<PartId>,
    /// Parts whose quarantine has been lifted.
    pub lifted: Vec<PartId>,
    /// Whether there are records that other daemons must receive.
    pub has_news: bool,
}

impl Default for PartDetector {
    fn default() -> Self {
        Self {
            log: CrashLog::new(MAX_LOGGED_PARTS, MAX_CRASHES_PER_PART, CLEAR_AHEAD),
            successes: RecentSuccesses::new(MAX_SUCCESSES, CLEAR_AHEAD),
            trusted: RecentSuccesses::new(MAX_SUCCESSES, TRUST_PERIOD),
            suspects: HashMap::new(),
            unsent: BTreeSet::new(),
            quarantined: BTreeMap::new(),
        }
    }
}

impl PartDetector {
    /// Records that `upstream` may have crashed while it ran a request with `parts`, until
    /// [`Self::finish_probe`].
    pub fn suspect(&mut self, parts: &[PartId], upstream: &str, now: MonotonicTime) {
        if parts.is_empty() {
            return;
        }
        let suspects = self.suspects.entry(upstream.to_owned());
        suspects.or_insert_with(|| (now, BTreeSet::new())).1.extend(parts);
    }

    /// Ends the probe of `upstream`. If the upstream has crashed, the crash is counted for all parts
    /// that [`Self::suspect`] has recorded for it.
    pub fn finish_probe(
        &mut self,
        upstream: &str,
        has_crashed: bool,
        now: MonotonicTime,
    ) -> PartVerdict {
        let Some((broken_at, parts)) = self.suspects.remove(upstream) else {
            return PartVerdict::default();
        };
        let crash = UpstreamCrash::hash_of(upstream);
        let mut has_news = false;
        for part in parts.into_iter().filter(|_| has_crashed) {
            if !self.successes.contains(part, now) && self.log.record_crash(part, crash, broken_at)
            {
                self.unsent.insert(part);
                has_news = true;
            }
        }
        self.update(has_news, now)
    }

    /// Records a complete answer to a request with `parts`, which clears them.
    pub fn record_success(&mut self, parts: &[PartId], now: MonotonicTime) -> PartVerdict {
        let mut has_news = false;
        for part in parts {
            self.successes.record(*part, now);
            self.trusted.record(*part, now);
            if self.log.clear(*part, now) {
                self.unsent.insert(*part);
                has_news = true;
            }
        }
        self.update(has_news, now)
    }

    /// Merges the records of another daemon.
    pub fn merge(&mut self, records: &[PartRecord], now: MonotonicTime) -> PartVerdict {
        let (mut is_changed, mut has_news) = (false, false);
        for record in records {
            let part = record.subject;
            if !self.log.merge(record, now) {
                continue;
            }
            is_changed = true;
            if record.cleared.is_none() && self.successes.contains(part, now) {
                // This daemon has recently seen a complete answer, which the sender has not.
                has_news |= self.log.clear(part, now);
                self.unsent.insert(part);
            }
        }
        let verdict = self.update(is_changed, now);
        PartVerdict { has_news, ..verdict }
    }

    /// Remaining time for which a request with `parts` is refused. `None` if it may be dispatched.
    #[must_use]
    pub fn quarantine_left(&self, parts: &[PartId], now: MonotonicTime) -> Option<Duration> {
        if self.quarantined.is_empty() {
            return None;
        }
        let applies = |part: &&PartId| {
            let companions = self.quarantined.get(*part);
            companions.is_some_and(|others| others.iter().all(|other| parts.contains(other)))
        };
        let blamed = parts.iter().filter(applies);
        blamed.filter_map(|part| self.log.quarantine_left(*part, now)).max()
    }

    /// Number of upstreams that crashed under requests with `part`.
    #[must_use]
    pub fn crash_count(&self, part: PartId) -> usize {
        self.log.crash_count(part)
    }

    /// Parts that a request must have too to be refused for `part`.
    #[must_use]
    pub fn companions(&self, part: PartId) -> Vec<PartId> {
        self.quarantined.get(&part).cloned().unwrap_or_default()
    }

    /// All quarantined parts.
    #[must_use]
    pub fn quarantined(&self) -> Vec<PartId> {
        self.quarantined.keys().copied().collect()
    }

    /// Order-independent hash of all records. See [`CrashLog::summary`].
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.log.summary()
    }

    /// Returns the records that other daemons have not received, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonotonicTime) -> Vec<PartRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.into_iter().filter_map(|part| self.log.record(part, now)).collect()
    }

    /// All records, for a daemon whose summary differs.
    #[must_use]
    pub fn records(&self, now: MonotonicTime) -> Vec<PartRecord> {
        self.log.records(now)
    }

    /// Removes expired records. Returns the lifted quarantines, and whether any record was removed.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> (PartVerdict, bool) {
        let has_removed = self.log.remove_expired(now);
        let is_changed = has_removed || !self.quarantined.is_empty();
        (PartVerdict { has_news: false, ..self.update(is_changed, now) }, has_removed)
    }

    /// Parts with enough crashes since their last answer.
    fn suspected_parts(&mut self, now: MonotonicTime) -> BTreeSet<PartId> {
        let log = &self.log;
        let with_crashes = |count, window| log.subjects_with(count, window, now);
        let mut suspected = BTreeSet::from_iter(with_crashes(COINCIDENT_CRASHES, Duration::ZERO));
        suspected.extend(with_crashes(QUARANTINE_CRASHES, COMMON_CAUSE_WINDOW));
        suspected.retain(|part| !self.trusted.contains(*part, now));
        suspected.extend(with_crashes(TRUSTED_CRASHES, COMMON_CAUSE_WINDOW));
        suspected
    }

    /// Determines the quarantined parts and their companions again.
    fn update(&mut self, is_changed: bool, now: MonotonicTime) -> PartVerdict {
        if !is_changed {
            return PartVerdict::default();
        }
        let suspected = self.suspected_parts(now);
        let companions = |part: &PartId| {
            let others = suspected.iter().filter(|other| *other != part);
            others.filter(|other| self.log.shares_crashes(*part, **other)).copied().collect()
        };
        let quarantined: BTreeMap<PartId, Vec<PartId>> =
            suspected.iter().map(|part| (*part, companions(part))).collect();
        let is_wider = |(part, others): &(&PartId, &Vec<PartId>)| {
            let before = self.quarantined.get(part);
            before.is_none_or(|before| before.iter().any(|other| !others.contains(other)))
        };
        let verdict = PartVerdict {
            quarantined: quarantined.iter().filter(is_wider).map(|(part, _)| *part).collect(),
            lifted: self
                .quarantined
                .keys()
                .filter(|part| !quarantined.contains_key(part))
                .copied()
                .collect(),
            has_news: true,
        };
        self.quarantined = quarantined;
        verdict
    }
}
