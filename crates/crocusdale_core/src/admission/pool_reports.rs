use std::collections::BTreeMap;
use std::time::Duration;

use super::LevelWork;
use crate::batching::{PoolSection, PoolStatus};
use crate::identity::MonotonicTime;

/// Maximum number of reports kept for one pool. A pool has one dispatcher a section, and briefly
/// two after a change.
const MAX_REPORTS: usize = 256;
/// Time after which a report of a dispatcher no longer tells the capacity, if another dispatcher
/// reports the section.
const FORGET_TIME: Duration = Duration::from_secs(30);

/// Last status of each dispatcher of one batched pool.
#[derive(Debug, Default)]
pub(super) struct PoolReports {
    /// Status and the time of its arrival, by section and by VM of the dispatcher. Two dispatchers
    /// of one section share its upstreams, but not their waiting work.
    reports: BTreeMap<(String, String), (PoolStatus, MonotonicTime)>,
}

/// Work that waits at the dispatchers of a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingWork {
    /// Work of requests that can be on time.
    pub(super) on_time: LevelWork,
    /// Work of late requests.
    pub(super) late: LevelWork,
    /// Part of `late` that was admitted to be on time, as time of one upstream.
    pub(super) overdue: Duration,
    /// Time of the oldest status in these sums.
    pub(super) since: MonotonicTime,
}

impl PoolReports {
    /// Age above which a status no longer tells the waiting work. It is 20 times the interval of
    /// reports.
    pub(super) const MAX_AGE: Duration = Duration::from_secs(1);

    pub(super) fn record(&mut self, status: PoolStatus, now: MonotonicTime) {
        self.reports.retain(|_, (_, at)| now.since(*at) < FORGET_TIME);
        let key = (status.section.clone(), status.sender.clone());
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&key) {
            self.reports.insert(key, (status, now));
        }
    }

    /// Time up to which the waiting work of all sections is known.
    pub(super) fn complete_since(&self, now: MonotonicTime) -> MonotonicTime {
        self.recent(now).map(|(_, at)| at).min().unwrap_or(now)
    }

    pub(super) fn oldest_age(&self, now: MonotonicTime) -> Option<Duration> {
        let recent = self.recent(now).map(|(_, at)| at).min();
        let last = self.reports.values().map(|(_, at)| *at).max();
        recent.or(last).map(|at| now.since(at))
    }

    /// Work that waits at all dispatchers whose status is recent.
    pub(super) fn waiting(&self, now: MonotonicTime) -> WaitingWork {
        let oldest = now.since_start().saturating_sub(Self::MAX_AGE);
        let mut waiting = WaitingWork {
            on_time: LevelWork::default(),
            late: LevelWork::default(),
            overdue: Duration::ZERO,
            since: MonotonicTime::from_start(oldest),
        };
        let mut since = None::<MonotonicTime>;
        for (status, at) in self.recent(now) {
            waiting.on_time += status.on_time;
            waiting.late += status.late;
            waiting.overdue += status.overdue;
            since = Some(since.map_or(at, |since| since.min(at)));
        }
        waiting.since = since.unwrap_or(waiting.since);
        waiting
    }

    /// Last known capacity of the whole pool, in upstreams at their usual pace. Sections that have
    /// not reported count like the others.
    pub(super) fn capacity(&self) -> Option<f64> {
        let latest = self.latest_by_section();
        let known: f64 = latest.values().map(|(status, _)| status.capacity).sum();
        let newest = latest.values().max_by_key(|(_, at)| *at)?;
        let section_count = PoolSection::from_name(&newest.0.section).section_count();
        Some(known * section_count as f64 / latest.len() as f64)
    }

    /// Last known duration of a full call. `None` without any status.
    pub(super) fn call_time(&self) -> Option<Duration> {
        let newest = self.reports.values().max_by_key(|(_, at)| *at);
        newest.map(|(status, _)| status.call_time)
    }

    /// Last status of each section of the pool's newest division into sections.
    fn latest_by_section(&self) -> BTreeMap<&str, (&PoolStatus, MonotonicTime)> {
        let newest = self.reports.values().max_by_key(|(_, at)| *at);
        let section_count = |name: &str| PoolSection::from_name(name).section_count();
        let count = newest.map(|(status, _)| section_count(&status.section));
        let mut latest = BTreeMap::new();
        for ((section, _), (status, at)) in &self.reports {
            let entry = latest.entry(section.as_str()).or_insert((status, *at));
            if *at > entry.1 {
                *entry = (status, *at);
            }
        }
        latest.retain(|section, _| Some(section_count(section)) == count);
        latest
    }

    fn recent(&self, now: MonotonicTime) -> impl Iterator<Item = (&PoolStatus, MonotonicTime)> {
        let reports = self.reports.values().map(|(status, at)| (status, *at));
        reports.filter(move |(_, at)| now.since(*at) <= Self::MAX_AGE)
    }
}
