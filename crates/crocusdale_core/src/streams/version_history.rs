use std::collections::HashMap;
use std::time::Duration;

use super::MAX_RECORD_TIME;
use crate::identity::{MonotonicTime, SoftwareVersion};

/// Interval at which the list of upstreams is recorded. No stream begins and breaks off at a version
/// that is listed for a shorter time.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// Software versions that the upstreams of each pool have had of late.
///
/// The list of upstreams tells only which versions there are. A stream may have begun at one that has
/// left since, also while no daemon was there to see it.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Time for which all versions are known, as of a point in time. `None` before the first list.
    known: Option<(Duration, MonotonicTime)>,
    pools: HashMap<String, Vec<RecentVersion>>,
    recorded_at: Option<MonotonicTime>,
}

/// Version that an upstream of a pool has, or has had. Unknown versions are recorded too.
#[derive(Debug)]
struct RecentVersion {
    version: Option<SoftwareVersion>,
    /// Time since the version has left, as of a point in time. `None` if it is in the list.
    left: Option<(Duration, MonotonicTime)>,
}

/// What a daemon tells another one that has just started about the versions of late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionReport {
    /// Time for which all versions are known.
    pub known_for: Duration,
    /// The versions.
    pub versions: Vec<ReportedVersion>,
}

/// Version of a [`VersionReport`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// Name of the pool.
    pub pool: String,
    /// The version, or `None` if it is not known.
    pub version: Option<SoftwareVersion>,
    /// Time since the version has left. Zero if it is in the list.
    pub left_for: Duration,
}

impl VersionHistory {
    /// Whether the list is to be recorded again.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        self.recorded_at.is_none_or(|recorded_at| now.since(recorded_at) >= RECORD_INTERVAL)
    }

    /// Records the pool and version of each upstream in the list at `now`.
    pub fn record_list<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, Option<&'a SoftwareVersion>)>,
        now: MonotonicTime,
    ) {
        self.recorded_at = Some(now);
        self.known.get_or_insert((Duration::ZERO, now));
        for recent in self.pools.values_mut().flatten() {
            recent.left.get_or_insert((Duration::ZERO, now));
        }
        for (pool, version) in listed {
            self.record_version(pool, version, None);
        }
        self.pools.retain(|_, versions| {
            versions.retain(|recent| recent.left_for(now) < MAX_RECORD_TIME);
            !versions.is_empty()
        });
    }

    /// Records what another daemon knows, as of `now`.
    pub fn merge(&mut self, report: VersionReport, now: MonotonicTime) {
        if report.known_for > self.known_for(now).unwrap_or_default() {
            self.known = Some((report.known_for, now));
        }
        for ReportedVersion { pool, version, left_for } in report.versions {
            self.record_version(&pool, version.as_ref(), Some((left_for, now)));
        }
    }

    /// What a daemon that has just started may lack. `None` before the first list.
    #[must_use]
    pub fn report(&self, now: MonotonicTime) -> Option<VersionReport> {
        let known_for = self.known_for(now)?;
        let versions = self.pools.iter().flat_map(|(pool, versions)| {
            versions.iter().map(|recent| ReportedVersion {
                pool: pool.clone(),
                version: recent.version.clone(),
                left_for: recent.left_for(now),
            })
        });
        Some(VersionReport { known_for, versions: versions.collect() })
    }

    /// The only version that upstreams of `pool` have had within the time `span` before `now`. `None`
    /// if there were several, or if not all of them are known.
    #[must_use]
    pub fn sole_version(
        &self,
        pool: &str,
        span: Duration,
        now: MonotonicTime,
    ) -> Option<&SoftwareVersion> {
        self.known_for(now).filter(|known_for| *known_for >= span)?;
        let recent = self.pools.get(pool)?.iter().filter(|recent| recent.left_for(now) <= span);
        let mut versions = recent.map(|recent| recent.version.as_ref());
        let version = versions.next()?;
        versions.all(|other| other == version).then_some(version)?
    }

    fn known_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.known.map(|(known_for, at)| known_for + now.since(at))
    }

    /// Records a version that has left as in `left`, unless it is known to be there longer.
    fn record_version(
        &mut self,
        pool: &str,
        version: Option<&SoftwareVersion>,
        left: Option<(Duration, MonotonicTime)>,
    ) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.to_owned(), Vec::new());
        }
        let Some(versions) = self.pools.get_mut(pool) else { return };
        let known = versions.iter_mut().find(|recent| recent.version.as_ref() == version);
        let Some(known) = known else {
            versions.push(RecentVersion { version: version.cloned(), left });
            return;
        };
        known.left = known.left.zip(left).map(|(known_left, left)| {
            let since_left = |(time, at): (Duration, MonotonicTime)| time + left.1.since(at);
            if since_left(known_left) < left.0 { known_left } else { left }
        });
    }
}

impl RecentVersion {
    fn left_for(&self, now: MonotonicTime) -> Duration {
        self.left.map_or(Duration::ZERO, |(left_for, at)| left_for + now.since(at))
    }
}
