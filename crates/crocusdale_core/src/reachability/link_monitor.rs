use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Number of upstreams of a pool that must fail, without a success in between, before the pool
/// counts as unreachable. In a smaller pool, all upstreams must fail.
const UNREACHABLE_FAILURES: usize = 3;
/// Time after which a failed connection no longer counts, so that single failures far apart don't
/// add up.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// An upstream to which a test connection is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkTarget {
    /// Name of the upstream.
    pub upstream: String,
    /// Address on which the upstream accepts connections.
    pub address: SocketAddr,
}

/// Change of whether a pool is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The pool became unreachable: this many upstreams in a row could not be connected to.
    Lost(usize),
    /// The pool became reachable again, after this time.
    Restored(Duration),
}

/// Tracks for each pool whether this daemon can open connections to its upstreams.
///
/// Only new connections count. An answer on a kept connection doesn't prove that new connections
/// can be opened, and a kept connection that breaks doesn't prove that they can't.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    pools: HashMap<String, PoolLinks>,
}

#[derive(Debug, Default)]
struct PoolLinks {
    /// Upstreams that could not be connected to since the last success, with the time of that.
    failures: BTreeMap<String, MonotonicTime>,
    /// Time at which the pool became unreachable. `None` while it is reachable.
    unreachable_since: Option<MonotonicTime>,
}

impl LinkMonitor {
    /// Records whether a connection to `upstream`, one of the `size` upstreams of `pool`, could be
    /// opened. Returns the change of the pool's state, if there is one.
    pub fn record(
        &mut self,
        pool: &str,
        upstream: &str,
        is_open: bool,
        size: usize,
        now: MonotonicTime,
    ) -> Option<LinkChange> {
        if is_open {
            let since = self.pools.remove(pool)?.unreachable_since?;
            return Some(LinkChange::Restored(now.since(since)));
        }
        let links = self.pools.entry(pool.to_owned()).or_default();
        links.failures.retain(|_, failed_at| now.since(*failed_at) < FAILURE_TTL);
        links.failures.insert(upstream.to_owned(), now);
        let failures = links.failures.len();
        if links.unreachable_since.is_some() || failures < UNREACHABLE_FAILURES.min(size) {
            return None;
        }
        links.unreachable_since = Some(now);
        Some(LinkChange::Lost(failures))
    }

    /// Whether the daemon can't connect to any upstream of `pool`, as far as it knows.
    #[must_use]
    pub fn is_unreachable(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|links| links.unreachable_since.is_some())
    }

    /// Whether a connection to `pool` has failed that is not yet known to be the fault of the
    /// upstream or of the link.
    #[must_use]
    pub fn is_undecided(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|links| links.unreachable_since.is_none())
    }

    /// Names of the unreachable pools, in ascending order.
    #[must_use]
    pub fn unreachable_pools(&self) -> Vec<&str> {
        let unreachable = self.pools.iter().filter(|(_, links)| links.unreachable_since.is_some());
        let mut names: Vec<&str> = unreachable.map(|(pool, _)| pool.as_str()).collect();
        names.sort_unstable();
        names
    }

    /// Whether no connection has failed since the last success in its pool.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Drops the state of pools that `is_known` rejects, which no longer exist. Returns whether one
    /// of them was unreachable.
    pub fn retain_pools(&mut self, is_known: impl Fn(&str) -> bool) -> bool {
        let before = self.unreachable_pools().len();
        self.pools.retain(|pool, _| is_known(pool));
        self.unreachable_pools().len() < before
    }
}
