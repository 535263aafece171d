use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::identity::MonotonicTime;
use crate::membership::PoolReach;

/// Number of upstreams whose links must be known before a pool can count as impaired. In a smaller
/// pool, the links to all upstreams.
const MIN_KNOWN_LINKS: usize = 5;
/// Part of the links in a round of tests, or of all known links, one in this many, that may fail if an
/// impaired pool is to count as sound again.
const FAILED_TESTS_DIVISOR: usize = 4;
/// Time after which the result of a connection no longer counts.
const LINK_TTL: Duration = Duration::from_secs(3);
/// Time for which an upstream that other daemons can't connect to either counts as failed itself.
const UPSTREAM_DOWN_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two rounds of tests of a pool that is not impaired.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// An upstream to which a test connection is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkTarget {
    /// Name of the upstream.
    pub upstream: String,
    /// Address on which the upstream accepts connections.
    pub address: SocketAddr,
}

/// Change of the reach of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The links to most upstreams of the pool, or to all of them, have failed.
    Impaired(PoolReach),
    /// The links to most upstreams of the pool work again, after this time.
    Restored(Duration),
}

/// Way to send a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPath {
    /// Over the own link.
    Direct,
    /// By way of another daemon, because the own link has failed, or because those to most upstreams
    /// of the pool have.
    Transit,
}

/// Tracks to which upstreams this daemon can open connections.
///
/// Only new connections count. An answer on a kept connection doesn't prove that new connections
/// can be opened, and a kept connection that breaks doesn't prove that they can't.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    /// Pools with a failed link, and their state.
    pools: HashMap<String, PoolLinks>,
}

#[derive(Debug, Default)]
struct PoolLinks {
    links: BTreeMap<String, UpstreamLink>,
    /// State of the pool while it is impaired.
    impairment: Option<Impairment>,
    /// Tests of the last round.
    round: TestRound,
    last_round: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamLink {
    is_open: bool,
    /// Time of the last new connection, or of the last failure to open one.
    known_at: MonotonicTime,
    /// Time until which the upstream counts as failed itself. `None` if other daemons may be able
    /// to connect to it.
    down_until: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct Impairment {
    since: MonotonicTime,
    reach: PoolReach,
}

#[derive(Clone, Copy, Debug, Default)]
struct TestRound {
    size: usize,
    ended: usize,
    failed: usize,
}

impl TestRound {
    fn has_passed(self) -> bool {
        self.size > 0 && self.ended == self.size && self.failed * FAILED_TESTS_DIVISOR <= self.size
    }

    /// Whether the results are those of a failed link. Failed attempts alone don't tell: they meet
    /// the failed upstreams of a pool more often than the others.
    fn admits_impairment(self) -> bool {
        self.size == 0 || (self.ended >= self.size && self.failed * 2 > self.size)
    }
}

/// Result of a new connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LinkResult {
    /// The connection was opened.
    Open,
    /// The connection could not be opened.
    Failed,
}

impl LinkMonitor {
    /// Records the result of a new connection to `upstream`, one of the `size` upstreams of `pool`.
    /// Returns the change of the pool's reach, if there is one.
    pub fn record(
        &mut self,
        pool: &str,
        upstream: &str,
        result: LinkResult,
        size: usize,
        now: MonotonicTime,
    ) -> Option<LinkChange> {
        if result == LinkResult::Open && !self.pools.contains_key(pool) {
            return None;
        }
        let links = self.pools.entry(pool.to_owned()).or_default();
        links.record_link(upstream, result, now);
        let change = links.update_impairment(size, now);
        if links.is_sound() {
            self.pools.remove(pool);
        }
        change
    }

    /// Records the result of a test in the current round of tests, like [`Self::record`].
    pub fn record_test(
        &mut self,
        pool: &str,
        upstream: &str,
        result: LinkResult,
        size: usize,
        now: MonotonicTime,
    ) -> Option<LinkChange> {
        if let Some(links) = self.pools.get_mut(pool) {
            links.round.ended += 1;
            links.round.failed += usize::from(result == LinkResult::Failed);
        }
        self.record(pool, upstream, result, size, now)
    }

    /// Records that another daemon, whose links to `pool` work, can't connect to `upstream` either.
    pub fn record_down(&mut self, pool: &str, upstream: &str, now: MonotonicTime) {
        let links = self.pools.get_mut(pool).map(|links| &mut links.links);
        if let Some(link) = links.and_then(|links| links.get_mut(upstream)) {
            link.down_until = Some(now + UPSTREAM_DOWN_TIME);
        }
    }

    /// Way to send a request to `upstream`, an upstream of `pool`.
    #[must_use]
    pub fn path(&self, pool: &str, upstream: &str, now: MonotonicTime) -> LinkPath {
        let Some(links) = self.pools.get(pool) else { return LinkPath::Direct };
        match links.links.get(upstream) {
            Some(link) if link.is_open => LinkPath::Direct,
            Some(link) if link.down_until.is_some_and(|until| now < until) => LinkPath::Direct,
            Some(_) => LinkPath::Transit,
            None if links.impairment.is_some() => LinkPath::Transit,
            None => LinkPath::Direct,
        }
    }

    /// Whether the links to most upstreams of `pool` have failed.
    #[must_use]
    pub fn is_impaired(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|links| links.impairment.is_some())
    }

    /// Impaired pools with their reach, in ascending order of their names.
    #[must_use]
    pub fn impaired_pools(&self) -> BTreeMap<String, PoolReach> {
        let impaired = self.pools.iter().filter_map(|(pool, links)| {
            links.impairment.map(|impairment| (pool.clone(), impairment.reach))
        });
        impaired.collect()
    }

    /// Whether no link has failed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Whether the links of `pool` should be tested now, after one of them has failed. Impaired
    /// pools are tested at regular times instead.
    #[must_use]
    pub fn needs_round(&self, pool: &str, now: MonotonicTime) -> bool {
        self.pools.get(pool).is_some_and(|links| {
            links.impairment.is_none()
                && links.last_round.is_none_or(|last| now.since(last) >= MIN_ROUND_INTERVAL)
        })
    }

    /// Whether the link to any upstream of `pool` works, as far as is known.
    #[must_use]
    pub fn has_open(&self, pool: &str) -> bool {
        self.pools.get(pool).is_none_or(|links| {
            links.impairment.is_none_or(|impairment| impairment.reach == PoolReach::Partial)
        })
    }

    /// Names of the pools with failed links.
    #[must_use]
    pub fn failed_pools(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Names of the upstreams of `pool` that a round of tests leaves out: those to which the links
    /// are known to work, if the pool is impaired. In other pools, a round is a sample of all links.
    #[must_use]
    pub fn untested_upstreams(&self, pool: &str) -> HashSet<String> {
        let impaired = self.pools.get(pool).filter(|links| links.impairment.is_some());
        let links = impaired.into_iter().flat_map(|links| &links.links);
        links.filter(|(_, link)| link.is_open).map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Names of all upstreams with a known link.
    #[must_use]
    pub fn upstreams(&self) -> Vec<String> {
        self.pools.values().flat_map(|links| links.links.keys().cloned()).collect()
    }

    /// Records that the links to `size` upstreams of `pool` are being tested. The pool is sound if
    /// there are none to test.
    pub fn start_round(
        &mut self,
        pool: &str,
        size: usize,
        now: MonotonicTime,
    ) -> Option<LinkChange> {
        if size == 0 {
            let impairment = self.pools.remove(pool)?.impairment?;
            return Some(LinkChange::Restored(now.since(impairment.since)));
        }
        let links = self.pools.get_mut(pool)?;
        links.last_round = Some(now);
        links.round = TestRound { size, ..TestRound::default() };
        None
    }

    /// Drops the links to `upstreams`, which are not listed any more.
    pub fn remove(&mut self, upstreams: &[String]) {
        if upstreams.is_empty() {
            return;
        }
        for links in self.pools.values_mut() {
            links.links.retain(|upstream, _| !upstreams.contains(upstream));
        }
        self.pools.retain(|_, links| !links.is_sound());
    }
}

impl PoolLinks {
    fn record_link(&mut self, upstream: &str, result: LinkResult, now: MonotonicTime) {
        if self.impairment.is_none() {
            self.links.retain(|_, link| now.since(link.known_at) < LINK_TTL);
        }
        let is_open = result == LinkResult::Open;
        let known = self.links.get(upstream);
        let down_until = known.and_then(|link| link.down_until).filter(|_| !is_open);
        let link = UpstreamLink { is_open, known_at: now, down_until };
        self.links.insert(upstream.to_owned(), link);
    }

    fn update_impairment(&mut self, size: usize, now: MonotonicTime) -> Option<LinkChange> {
        let failed = self.failed_count();
        let reach = if failed == self.links.len() { PoolReach::None } else { PoolReach::Partial };
        match &mut self.impairment {
            None => {
                let known = self.links.len();
                // Links that are all known need no sample.
                let is_sampled = known >= size || self.round.admits_impairment();
                let is_impaired =
                    known >= MIN_KNOWN_LINKS.min(size) && failed * 2 > known && is_sampled;
                is_impaired.then(|| {
                    self.impairment = Some(Impairment { since: now, reach });
                    LinkChange::Impaired(reach)
                })
            }
            Some(Impairment { since, .. }) if self.round.has_passed() => {
                let time = now.since(*since);
                self.impairment = None;
                self.links.clear();
                Some(LinkChange::Restored(time))
            }
            // Links that work are not tested again: a round may consist of failed upstreams alone.
            Some(Impairment { since, .. }) if failed * FAILED_TESTS_DIVISOR <= self.links.len() => {
                let time = now.since(*since);
                self.impairment = None;
                Some(LinkChange::Restored(time))
            }
            Some(impairment) => {
                let has_changed = impairment.reach != reach;
                impairment.reach = reach;
                has_changed.then_some(LinkChange::Impaired(reach))
            }
        }
    }

    fn failed_count(&self) -> usize {
        self.links.values().filter(|link| !link.is_open).count()
    }

    /// Whether no link is known to have failed.
    fn is_sound(&self) -> bool {
        self.impairment.is_none() && self.failed_count() == 0
    }
}
