//! Tests of this daemon's network links to the upstreams.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::core_state::CoreState;
use super::{Command, DaemonCore, StateChange, TimerKey};
use crate::identity::MonotonicTime;
use crate::reachability::{LinkChange, LinkTarget};
use crate::sync::lock;

/// Time between two tests of an unreachable pool.
pub(super) const LINK_TEST_INTERVAL: Duration = Duration::from_millis(500);
/// Number of upstreams of a pool that are tested at once.
const LINK_TEST_SIZE: usize = 2;

impl DaemonCore {
    /// Whether a connection to an upstream has failed and none to its pool was opened since.
    /// Successful connections need to be reported only in this case.
    #[must_use]
    pub fn has_failed_links(&self) -> bool {
        self.state.has_failed_links.load(Ordering::Relaxed)
    }

    /// Pool of `upstream`. `None` if the upstream is not listed any more.
    #[must_use]
    pub fn pool_of(&self, upstream: &str) -> Option<String> {
        self.state.pool_of(upstream)
    }

    /// Upstreams of `pool` to connect to after a connection to `upstream`, one of them, has failed.
    /// Empty if it is known whether the upstream or the link has failed.
    #[must_use]
    pub fn link_tests(&self, pool: &str, upstream: &str) -> Vec<LinkTarget> {
        if !lock(&self.state.links).is_undecided(pool) {
            return Vec::new();
        }
        self.state.link_targets(pool, Some(upstream))
    }
}

impl CoreState {
    /// Records whether a new connection to `upstream` could be opened.
    pub(super) fn record_link(
        &self,
        upstream: &str,
        is_open: bool,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pool_of(upstream) else { return };
        let size = self.pool_size(&pool);
        let mut links = lock(&self.links);
        let change = links.record(&pool, upstream, is_open, size, now);
        self.has_failed_links.store(!links.is_empty(), Ordering::Relaxed);
        let is_first_loss =
            matches!(change, Some(LinkChange::Lost(_))) && links.unreachable_pools().len() == 1;
        drop(links);
        match change {
            None => {}
            Some(LinkChange::Lost(upstreams)) => {
                out.push(Command::LogStateChange(StateChange::PoolUnreachable { pool, upstreams }));
            }
            Some(LinkChange::Restored(time)) => {
                let lost_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                out.push(Command::LogStateChange(StateChange::PoolReachable { pool, lost_ms }));
            }
        }
        if is_first_loss {
            out.push(Command::SetTimer { timer: TimerKey::LinkTest, at: now + LINK_TEST_INTERVAL });
        }
    }

    /// Tests the links to all unreachable pools, and schedules the next tests.
    pub(super) fn test_links(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let pools: Vec<String> =
            lock(&self.links).unreachable_pools().into_iter().map(str::to_owned).collect();
        if pools.is_empty() {
            return;
        }
        for pool in pools {
            out.push(Command::TestLinks(self.link_targets(&pool, None)));
        }
        out.push(Command::SetTimer { timer: TimerKey::LinkTest, at: now + LINK_TEST_INTERVAL });
    }

    /// Pool of `upstream`. `None` if the upstream is not listed any more.
    pub(super) fn pool_of(&self, upstream: &str) -> Option<String> {
        let routed = self.router().pool_of(upstream).map(str::to_owned);
        routed.or_else(|| lock(&self.dispatcher).pool_of(upstream).map(str::to_owned))
    }

    fn pool_size(&self, pool: &str) -> usize {
        let routed = self.router().pool_size(pool);
        routed.unwrap_or_else(|| lock(&self.dispatcher).pool_size(pool))
    }

    /// Randomly chosen upstreams of `pool`, without `excluded`.
    fn link_targets(&self, pool: &str, excluded: Option<&str>) -> Vec<LinkTarget> {
        let mut random = lock(&self.link_random);
        let routed = self.router().sample_pool(pool, excluded, LINK_TEST_SIZE, &mut *random);
        routed.unwrap_or_else(|| {
            let dispatcher = lock(&self.dispatcher);
            dispatcher.sample_pool(pool, excluded, LINK_TEST_SIZE, &mut *random)
        })
    }
}
