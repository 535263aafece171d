use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::brittle_notice::BrittleNotice;
use super::{AttemptQueue, AttemptReport, ColdLimits, SlotRequest, UpstreamState, UpstreamSummary};
use crate::configuration::{
    ColdRules, EngineRules, RegionMap, RoutingPolicy, StagePlan, UpstreamRules,
};
use crate::identity::{CallId, MonotonicTime, SoftwareVersion};
use crate::membership::{LeavingUpstream, VmList};
use crate::rate_limiting::{RateLimiter, RateUse};
use crate::retry::RetryLimits;
use crate::sync::lock;

/// Number of different offsets that daemons draw from when they choose among the engines of a
/// prompt prefix. Larger than the number of engines of any prefix.
const REPLICA_OFFSETS: usize = 1 << 16;

/// Timeout for opening a connection, counted from the choice of the upstream. Nothing of the
/// attempt may be written after it. It is far above the few milliseconds between zones, and short
/// enough to try another upstream: a lost SYN packet is sent again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of retries under the baseline policy, which has no retry budget.
const BASELINE_RETRIES: usize = 3;

/// Chooses upstreams for attempts. Each pool and each upstream has its own lock.
#[derive(Debug)]
pub struct UpstreamRouter {
    pub(super) zone: String,
    pub(super) random: Mutex<SmallRng>,
    pub(super) policy: RoutingPolicy,
    /// Number of daemons that send work to the same upstreams, including this one.
    pub(super) daemons: AtomicUsize,
    /// Random offset at which this daemon starts among the engines of a prompt prefix, so that
    /// daemons start with different engines.
    pub(super) replica_offset: usize,
    pub(super) retries: RetryLimits,
    pub(super) cold_limits: ColdLimits,
    pub(super) regions: RegionMap,
    /// Request rates that upstreams have announced, and this daemon's share of these rates and of
    /// the cold-start limits.
    pub(super) limiter: Arc<RateLimiter>,
    pub(super) round_robin_index: AtomicUsize,
    /// Whether the choice of upstreams is suspended for all pools, because the list of upstreams
    /// may be outdated.
    pub(super) is_suspended: AtomicBool,
    /// Whether a list of published upstreams was known when this router was built.
    pub(super) has_known_list: bool,
    pub(super) upstreams: Vec<RoutedUpstream>,
    pub(super) positions: HashMap<String, usize>,
    pub(super) pools: HashMap<String, RoutedPool>,
}

#[derive(Debug)]
pub(super) struct RoutedUpstream {
    pub(super) rules: UpstreamRules,
    pub(super) state: Arc<Mutex<UpstreamState>>,
    pub(super) pools: Vec<String>,
}

#[derive(Debug)]
pub(super) struct RoutedPool {
    pub(super) same_zone: Vec<usize>,
    pub(super) other_zones: Vec<usize>,
    pub(super) engine: Option<EngineRules>,
    /// Duration and request rate of a cold start. `None` if upstreams of this pool have full
    /// capacity from the start.
    pub(super) cold: Option<ColdRules>,
    /// Number of connections that one upstream accepts from all daemons together. `None` if it is
    /// not declared.
    pub(super) connections: Option<u32>,
    /// Whether the upstreams fail if they have to reject many requests.
    pub(super) brittle: Arc<Mutex<BrittleNotice>>,
    pub(super) queue: Arc<Mutex<AttemptQueue>>,
}

/// The upstream that was chosen for an attempt, with the data for calling it.
#[derive(Clone, Debug)]
pub struct SlotGrant {
    /// The attempt.
    pub request: SlotRequest,
    /// Name of the upstream.
    pub upstream: String,
    /// Expected identity of the process. An answer from another process is rejected.
    pub process: String,
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Shortest recent answer time of the upstream. Zero if it is unknown or not tracked.
    pub min_answer_time: Duration,
    /// Maximum number of idle connections that this daemon may keep open to the upstream.
    pub max_idle_connections: usize,
    /// Version of the upstream's software. `None` if it is not known.
    pub software_version: Option<SoftwareVersion>,
}

impl UpstreamRouter {
    /// A router without upstreams, for a daemon in the availability zone `zone`.
    #[must_use]
    pub fn new(zone: &str, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let replica_offset = random.random_range(0..REPLICA_OFFSETS);
        Self {
            zone: zone.to_owned(),
            random: Mutex::new(random),
            replica_offset,
            policy: RoutingPolicy::default(),
            daemons: AtomicUsize::new(1),
            retries: RetryLimits::default(),
            cold_limits: ColdLimits::default(),
            regions: RegionMap::default(),
            limiter: Arc::default(),
            round_robin_index: AtomicUsize::new(0),
            is_suspended: AtomicBool::new(false),
            has_known_list: false,
            upstreams: Vec::new(),
            positions: HashMap::new(),
            pools: HashMap::new(),
        }
    }

    /// Sets the retry limits for all daemons together.
    #[must_use]
    pub fn retries(mut self, limits: RetryLimits) -> Self {
        self.retries = limits;
        self
    }

    /// Sets the regions of the availability zones.
    #[must_use]
    pub fn regions(mut self, regions: RegionMap) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the limiter with the request rates that upstreams have announced.
    #[must_use]
    pub fn limiter(mut self, limiter: Arc<RateLimiter>) -> Self {
        self.limiter = limiter;
        self
    }

    /// Sets the tolerance for the load on cold upstreams.
    #[must_use]
    pub fn cold_limits(mut self, limits: ColdLimits) -> Self {
        self.cold_limits = limits;
        self
    }

    /// Sets the number of daemons that send work to the same upstreams, including this one.
    pub fn set_daemons(&self, daemons: usize) {
        let daemons = daemons.max(1);
        if self.daemons.swap(daemons, Ordering::Relaxed) != daemons {
            for routed in self.pools.values() {
                lock(&routed.queue).retry_budget.set_daemons(daemons);
            }
        }
    }

    /// Number of daemons that send work to the same upstreams, including this one.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.daemons.load(Ordering::Relaxed)
    }

    /// Suspends or resumes the choice of upstreams for all pools. While it is suspended, queued
    /// attempts stay in their queues. Returns whether the state has changed.
    pub fn set_suspended(&self, is_suspended: bool) -> bool {
        self.is_suspended.swap(is_suspended, Ordering::Relaxed) != is_suspended
    }

    /// Whether the choice of upstreams is suspended for all pools.
    #[must_use]
    pub fn is_suspended(&self) -> bool {
        self.is_suspended.load(Ordering::Relaxed)
    }

    /// Marks upstreams on VMs that the VM list shows as leaving.
    pub fn apply_roster(&self, roster: &VmList) {
        // Published upstreams have no VM in the list.
        let declared = self.upstreams.iter().filter(|upstream| !upstream.rules.vm.is_empty());
        for upstream in declared {
            lock(&upstream.state).set_listed_leaving(roster.is_leaving(&upstream.rules.vm));
        }
    }

    /// Records that the process of an upstream is about to shut down, so that it gets no new work.
    /// Returns `false` if this router had recorded it before, or doesn't know the upstream.
    pub fn record_leaving(&self, leaving: &LeavingUpstream) -> bool {
        let upstream = self.upstream(&leaving.upstream);
        upstream.is_some_and(|upstream| lock(&upstream.state).record_leaving(&leaving.process))
    }

    /// Whether a list of published upstreams was known when this router was built.
    pub(crate) fn has_known_list(&self) -> bool {
        self.has_known_list
    }

    /// Excludes `upstream` from new requests of this daemon until `until`, as the upstream asked.
    pub fn back_off(&self, upstream: &str, until: MonotonicTime) {
        if let Some(upstream) = self.upstream(upstream) {
            lock(&upstream.state).back_off(until);
        }
    }

    /// Records that `upstream` reported `pace`, in percent of the usual time, at `now`.
    pub fn record_pace(&self, upstream: &str, pace: u32, now: MonotonicTime) {
        if let Some(upstream) = self.upstream(upstream) {
            lock(&upstream.state).record_pace(pace, now);
        }
    }

    /// Records that the process `process` serves `upstream` and is not leaving.
    pub fn confirm_running(&self, upstream: &str, process: &str) {
        if let Some(upstream) = self.upstream(upstream) {
            lock(&upstream.state).confirm_running(process);
        }
    }

    /// Takes one retry from the retry budget of the request's pool. Returns `false` if the budget
    /// is exhausted. The baseline policy allows a fixed number of retries instead.
    #[must_use]
    pub fn take_retry(&self, request: &SlotRequest, now: MonotonicTime) -> bool {
        if self.policy == RoutingPolicy::Baseline {
            return request.failed_upstreams.len() <= BASELINE_RETRIES;
        }
        self.pools
            .get(&request.stage)
            .is_some_and(|routed| lock(&routed.queue).retry_budget.take_retry(now))
    }

    /// Expected time that a new request with priority `level` needs for the stages of `plan`,
    /// including the waits in their queues. Stages without measured answers count as zero.
    #[must_use]
    pub fn estimate(&self, plan: &StagePlan, level: u8) -> Duration {
        if self.policy == RoutingPolicy::Baseline {
            return Duration::ZERO;
        }
        plan.critical_path_time(|step, _| {
            let routed = self.pools.get(&step.stage).filter(|routed| routed.engine.is_none());
            routed.map_or(Duration::ZERO, |routed| lock(&routed.queue).expected_duration(level))
        })
    }

    /// Chooses an upstream for `request`, or queues the request if all upstreams are busy, which
    /// returns `Ok(None)`.
    ///
    /// # Errors
    ///
    /// Returns the request if its pool doesn't exist or is empty, if the queue is full, or if no
    /// upstream of the pool accepts requests before the request's deadline.
    pub fn acquire(
        &self,
        request: SlotRequest,
        now: MonotonicTime,
    ) -> Result<Option<SlotGrant>, Box<SlotRequest>> {
        let Some(routed) = self.pools.get(&request.stage) else { return Err(Box::new(request)) };
        Self::record_first_attempt(routed, &request, now);
        let request = self.with_retriable_upstreams(routed, request);
        let has_capacity = self.has_brittle_capacity(routed, now);
        let chosen = has_capacity.then(|| self.choose(routed, &request, now)).flatten();
        if let Some(position) = chosen {
            return Ok(Some(self.grant(position, request, now)));
        }
        if !self.is_servable(routed, &request, now) {
            return Err(Box::new(request));
        }
        if lock(&routed.queue).push(request.clone()) { Ok(None) } else { Err(Box::new(request)) }
    }

    /// Releases the slot of an ended attempt, and assigns free slots to the most urgent queued
    /// attempts.
    pub fn release(
        &self,
        upstream: &str,
        call: CallId,
        report: AttemptReport,
        now: MonotonicTime,
    ) -> Vec<SlotGrant> {
        let Some(upstream) = self.upstream(upstream) else { return Vec::new() };
        {
            let mut state = lock(&upstream.state);
            state.end_attempt(report, now);
            if let Some(engine) = &mut state.engine {
                engine.end_request(call);
            }
        }
        if report == AttemptReport::Declined {
            let routed = upstream.pools.iter().filter_map(|stage| self.pools.get(stage));
            if let Some(backoff) = routed.filter_map(|pool| self.rejection_backoff(pool, now)).max()
            {
                lock(&upstream.state).back_off(now + backoff);
            }
        }
        if let AttemptReport::Answered(time) = report {
            for routed in upstream.pools.iter().filter_map(|stage| self.pools.get(stage)) {
                lock(&routed.queue).record_answer(time, now);
            }
        }
        self.serve_waiting(&upstream.pools, now)
    }

    /// Records the first event of the answer to `call`.
    pub fn record_first_event(&self, upstream: &str, call: CallId) {
        if let Some(upstream) = self.upstream(upstream)
            && let Some(engine) = &mut lock(&upstream.state).engine
        {
            engine.finish_prefill(call);
        }
    }

    /// Assigns free slots in the pools of `stages` to queued attempts.
    #[must_use]
    pub fn serve_waiting(&self, stages: &[String], now: MonotonicTime) -> Vec<SlotGrant> {
        let mut grants = Vec::new();
        if self.is_suspended() {
            return grants;
        }
        for routed in stages.iter().filter_map(|stage| self.pools.get(stage)) {
            for position in routed.same_zone.iter().chain(&routed.other_zones).copied() {
                if lock(&routed.queue).waiting_count() == 0 {
                    break;
                }
                self.assign_slots_of(position, routed, now, &mut grants);
            }
        }
        grants
    }

    /// Assigns free slots in all pools to queued attempts.
    #[must_use]
    pub fn serve_all_waiting(&self, now: MonotonicTime) -> Vec<SlotGrant> {
        let stages: Vec<String> = self.pools.keys().cloned().collect();
        self.serve_waiting(&stages, now)
    }

    /// Removes the queued attempts of the request's call from the queue of its stage.
    pub fn remove_waiting(&self, request: &SlotRequest) {
        if let Some(routed) = self.pools.get(&request.stage) {
            lock(&routed.queue).remove_call(request.call, request.level, request.deadline);
        }
    }

    /// Summaries of all upstreams for the state dump.
    #[must_use]
    pub fn summaries(&self, now: MonotonicTime) -> Vec<UpstreamSummary> {
        self.upstreams.iter().map(|upstream| lock(&upstream.state).summary(now)).collect()
    }

    /// Number of queued attempts by stage, in ascending order of stage names.
    #[must_use]
    pub fn waiting_counts(&self) -> Vec<(String, usize)> {
        let pools = self.pools.iter();
        let mut waiting: Vec<_> = pools
            .map(|(stage, routed)| (stage.clone(), lock(&routed.queue).waiting_count()))
            .collect();
        waiting.sort();
        waiting
    }

    pub(super) fn upstream(&self, name: &str) -> Option<&RoutedUpstream> {
        self.positions.get(name).map(|position| &self.upstreams[*position])
    }

    /// Region of the upstream at `position`. `None` if its availability zone has no configured
    /// region.
    pub(super) fn region_of(&self, position: usize) -> Option<&str> {
        self.regions.region(&self.upstreams[position].rules.zone)
    }

    pub(super) fn grant(
        &self,
        position: usize,
        request: SlotRequest,
        now: MonotonicTime,
    ) -> SlotGrant {
        let upstream = &self.upstreams[position];
        let min_answer_time = {
            let mut state = lock(&upstream.state);
            state.start_attempt();
            if let Some(routed) = self.pools.get(&request.stage) {
                Self::record_send(routed, &mut state, now);
                Self::record_brittle_send(routed, now);
            }
            match (&mut state.engine, &request.demand) {
                (Some(engine), Some(demand)) => {
                    engine.start_request(request.call, demand, now);
                    // Engines answer with streams of any length, so that the shortest answer time
                    // is not informative.
                    Duration::ZERO
                }
                _ if self.policy == RoutingPolicy::Adaptive => state.min_answer_time(),
                _ => Duration::ZERO,
            }
        };
        self.limiter.take_token(&upstream.rules.name);
        let max_idle_connections = self.max_idle_connections(&request.stage);
        SlotGrant {
            min_answer_time,
            max_idle_connections,
            request,
            upstream: upstream.rules.name.clone(),
            process: upstream.rules.process.clone(),
            address: upstream.rules.address,
            software_version: upstream.rules.software_version.clone(),
        }
    }

    /// Maximum number of idle connections that this daemon may keep open to each upstream of
    /// `stage`.
    ///
    /// Guards against upstreams whose connection limit is used up by idle connections. Such an
    /// upstream resets the next new connection, and the request on it may not be safe to repeat.
    /// All daemons together keep up to half of the limit idle; the other half remains for
    /// connections in use.
    pub(super) fn max_idle_connections(&self, stage: &str) -> usize {
        let connection_limit = self.pools.get(stage).and_then(|routed| routed.connections);
        let daemons = self.daemons.load(Ordering::Relaxed).max(1);
        connection_limit.map_or(usize::MAX, |connections| connections as usize / 2 / daemons)
    }

    fn assign_slots_of(
        &self,
        position: usize,
        routed: &RoutedPool,
        now: MonotonicTime,
        grants: &mut Vec<SlotGrant>,
    ) {
        let upstream = &self.upstreams[position];
        loop {
            let is_usable = self.has_brittle_capacity(routed, now)
                && self.is_within_cold_limit(routed, position, now)
                && self.limiter.allows(&upstream.rules.name, RateUse::Shared, now)
                && {
                    let state = lock(&upstream.state);
                    state.has_free_slot()
                        && !state.is_leaving()
                        && state.backoff_left(now).is_zero()
                        && !state.is_ejected(now)
                        && !state.is_full(now)
                };
            let region = self.region_of(position);
            let next = if is_usable {
                let version = upstream.rules.software_version.as_ref();
                lock(&routed.queue).pop_for(&upstream.rules.name, region, version)
            } else {
                None
            };
            let Some(request) = next else { break };
            grants.push(self.grant(position, request, now));
        }
    }
}
