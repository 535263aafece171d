//! Network links of this daemon to the upstreams: tests, announcements to peers, and the effects of
//! failed links.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::core_state::CoreState;
use super::{Command, DaemonCore, StateChange, TimerKey};
use crate::batching::PoolSection;
use crate::identity::MonotonicTime;
use crate::membership::MemberLinks;
use crate::pipeline::ShardAction;
use crate::reachability::{LinkChange, LinkResult, LinkTarget, TransitGoal};
use crate::routing::AttemptReport;
use crate::sync::lock;

/// Time between two rounds of tests of a pool with failed links.
const LINK_TEST_INTERVAL: Duration = Duration::from_millis(500);
/// Number of links in a round of tests.
const LINK_TEST_SIZE: usize = 4;

impl DaemonCore {
    /// Whether a link has failed. Successful connections need to be reported only in this case.
    #[must_use]
    pub fn has_failed_links(&self) -> bool {
        self.state.has_failed_links.load(Ordering::Relaxed)
    }

    /// Other upstreams by which a failed link is told from a failed upstream, chosen at random: some
    /// of the pool of `upstream`, and one of each other pool.
    #[must_use]
    pub fn control_targets(&self, upstream: &str) -> (Vec<LinkTarget>, Vec<LinkTarget>) {
        let Some(pool) = self.state.pool_of(upstream) else { return Default::default() };
        let same_pool = self.state.link_targets(&pool, LINK_TEST_SIZE, |name| name != upstream);
        let snapshot = self.state.fleet_snapshot();
        let stages = snapshot.declarations.iter().flat_map(|declarations| declarations.stages());
        let others = stages.map(|(stage, _)| stage).filter(|stage| *stage != pool);
        let others = others.flat_map(|stage| self.state.link_targets(stage, 1, |_| true));
        (same_pool, others.collect())
    }

    /// VM of another daemon that is asked whether it can connect to `upstream`. Counts as a request
    /// in transit until [`DaemonCore::finish_transit`].
    #[must_use]
    pub fn choose_probe_peer(&self, upstream: &str, now: MonotonicTime) -> Option<String> {
        let pool = self.state.pool_of(upstream)?;
        let router = self.state.router();
        let goal = TransitGoal { pool: &pool, zone: router.upstream_zone(upstream), tried: &[] };
        lock(&self.state.fleet).choose_transit(goal, now)
    }
}

impl CoreState {
    /// Records the result of a new connection to `upstream`, for a request or a test.
    pub(super) fn record_link(
        &self,
        upstream: &str,
        result: LinkResult,
        is_test: bool,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pool_of(upstream) else { return };
        let size = self.pool_size(&pool);
        if self.has_failed_links.load(Ordering::Relaxed) {
            self.drop_unlisted_links();
        }
        let (change, needs_round, has_failed) = {
            let mut links = lock(&self.links);
            let change = if is_test {
                links.record_test(&pool, upstream, result, size, now)
            } else {
                links.record(&pool, upstream, result, size, now)
            };
            let needs_round = result == LinkResult::Failed && links.needs_round(&pool, now);
            (change, needs_round, !links.is_empty())
        };
        let had_failed = self.has_failed_links.swap(has_failed, Ordering::Relaxed);
        if has_failed && !had_failed {
            out.push(Command::SetTimer { timer: TimerKey::LinkTest, at: now + LINK_TEST_INTERVAL });
        }
        if needs_round {
            self.start_round(&pool, now, actions, out);
        }
        if let Some(change) = change {
            self.apply_link_change(&pool, change, now, actions, out);
        }
    }

    fn apply_link_change(
        &self,
        pool: &str,
        change: LinkChange,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let pool_name = pool.to_owned();
        out.push(Command::LogStateChange(match change {
            LinkChange::Impaired(reach) => StateChange::LinksImpaired { pool: pool_name, reach },
            LinkChange::Restored(time) => {
                let impaired_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                StateChange::LinksRestored { pool: pool_name, impaired_ms }
            }
        }));
        // What was learned of the upstreams in the meantime says something of the links.
        self.router().forget_failures(pool);
        lock(&self.dispatcher).forget_failures(pool, now);
        self.announce_links(now, actions, out);
    }

    /// Outcome of an attempt at `upstream` for the router. While most links to the pool have failed,
    /// a failed attempt proves nothing about the upstream.
    pub(super) fn exclude_link_failure(
        &self,
        report: AttemptReport,
        upstream: &str,
    ) -> AttemptReport {
        let is_excluded = report == AttemptReport::Failed
            && self.has_failed_links.load(Ordering::Relaxed)
            && self.pool_of(upstream).is_some_and(|pool| lock(&self.links).is_impaired(&pool));
        if is_excluded { AttemptReport::Cancelled } else { report }
    }

    /// Records that other daemons can't connect to `upstream` either.
    pub(super) fn record_down(&self, upstream: &str, now: MonotonicTime) {
        if let Some(pool) = self.pool_of(upstream) {
            lock(&self.links).record_down(&pool, upstream, now);
        }
    }

    /// Tests links of all pools with failed ones, and schedules the next tests.
    pub(super) fn test_links(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        self.drop_unlisted_links();
        let pools = lock(&self.links).failed_pools();
        self.has_failed_links.store(!pools.is_empty(), Ordering::Relaxed);
        if pools.is_empty() {
            return;
        }
        for pool in pools {
            self.start_round(&pool, now, actions, out);
        }
        out.push(Command::SetTimer { timer: TimerKey::LinkTest, at: now + LINK_TEST_INTERVAL });
    }

    /// Drops the links to upstreams that are not listed any more.
    fn drop_unlisted_links(&self) {
        let known = lock(&self.links).upstreams();
        let is_unlisted = |upstream: &String| self.pool_of(upstream).is_none();
        let unlisted: Vec<String> = known.into_iter().filter(is_unlisted).collect();
        lock(&self.links).remove(&unlisted);
    }

    /// Drops the waits that dispatchers reported which can't connect to their pool any more, if the
    /// links of a member have changed.
    ///
    /// Guards against requests that are refused for the last report of a dispatcher that is not
    /// used any more, and so never reports a shorter wait.
    pub(super) fn drop_waits_of_cut_off(&self) {
        if !lock(&self.fleet).take_links_change() {
            return;
        }
        let mut reports = lock(&self.pool_waits).reports();
        {
            let fleet = lock(&self.fleet);
            reports.retain(|(section, vm)| {
                let pool = PoolSection::from_name(section).pool;
                fleet.view.links(vm).is_some_and(|links| !links.reaches(&pool))
            });
        }
        lock(&self.pool_waits).remove_reports(&reports);
    }

    /// Pool of `upstream`. `None` if the upstream is not listed any more.
    pub(super) fn pool_of(&self, upstream: &str) -> Option<String> {
        let routed = self.router().pool_of(upstream).map(str::to_owned);
        routed.or_else(|| lock(&self.dispatcher).pool_of(upstream).map(str::to_owned))
    }

    /// Starts a round of tests of links to `pool`.
    fn start_round(
        &self,
        pool: &str,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let untested = lock(&self.links).untested_upstreams(pool);
        let targets = self.link_targets(pool, LINK_TEST_SIZE, |name| !untested.contains(name));
        let change = lock(&self.links).start_round(pool, targets.len(), now);
        if !targets.is_empty() {
            out.push(Command::TestLinks(targets));
        }
        if let Some(change) = change {
            self.apply_link_change(pool, change, now, actions, out);
        }
    }

    /// Tells peers which pools this daemon reaches, and hands the pools that others dispatch now
    /// over to them.
    fn announce_links(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let links = MemberLinks::new(lock(&self.links).impaired_pools());
        lock(&self.fleet).announce_links(links, now, out);
        self.drop_waits_of_cut_off();
        self.hand_over_pools(now, actions, out);
    }

    fn pool_size(&self, pool: &str) -> usize {
        let routed = self.router().pool_size(pool);
        routed.unwrap_or_else(|| lock(&self.dispatcher).pool_size(pool))
    }

    /// Up to `count` randomly chosen upstreams of `pool` whose names `is_wanted` accepts.
    fn link_targets(
        &self,
        pool: &str,
        count: usize,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Vec<LinkTarget> {
        let mut random = SmallRng::from_rng(&mut *lock(&self.link_random));
        let routed = self.router().sample_pool(pool, &is_wanted, count, &mut random);
        routed.unwrap_or_else(|| {
            let dispatcher = lock(&self.dispatcher);
            dispatcher.sample_pool(pool, &is_wanted, count, &mut random)
        })
    }
}
