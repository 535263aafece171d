use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::{AttemptReport, ColdLimits, SlotRequest, StagePool, UpstreamState, UpstreamSummary};
use crate::configuration::{
    ColdRules, EngineRules, RegionMap, RoutingPolicy, StagePlan, UpstreamRules,
};
use crate::identity::{CallId, MonotonicTime};
use crate::membership::{LeavingUpstream, VmRoster};
use crate::rate_limiting::{RateLimiter, RateUse};
use crate::retry::RetryLimits;
use crate::sync::lock;

/// Different beginnings among engines that daemons may have: more than any subject has engines.
const SPREADS: usize = 1 << 16;

/// Time from the choice of an upstream in which a connection to it is opened, after which nothing of
/// the attempt may be written any more. Far above the few milliseconds between zones, and short enough
/// for another upstream to be tried; an opening packet that was lost is sent again only after a second.
pub const CONNECT_PATIENCE: Duration = Duration::from_millis(300);
/// Retries that the baseline makes, whatever fails.
const BLIND_RETRIES: usize = 3;

/// Chooses upstreams for attempts; each pool and each upstream has its own lock.
#[derive(Debug)]
pub struct UpstreamRouter {
    pub(super) zone: String,
    pub(super) random: Mutex<SmallRng>,
    pub(super) policy: RoutingPolicy,
    /// Daemons that give the same upstreams work, this one among them.
    pub(super) daemons: AtomicUsize,
    /// Sets this daemon apart from the others where each should begin with another engine.
    pub(super) spread: usize,
    pub(super) retries: RetryLimits,
    pub(super) cold_limits: ColdLimits,
    pub(super) regions: RegionMap,
    /// Upstreams that have named a rate, and this daemon's share of what they and cold ones take.
    pub(super) limiter: Arc<RateLimiter>,
    pub(super) turn: AtomicUsize,
    /// Whether no upstream may be chosen, because it is not known which ones stay.
    pub(super) held: AtomicBool,
    /// Whether a list of published upstreams was known when this router was made.
    pub(super) has_list: bool,
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
    pub(super) near: Vec<usize>,
    pub(super) far: Vec<usize>,
    pub(super) engine: Option<EngineRules>,
    /// How its upstreams start, if they are cold at first.
    pub(super) cold: Option<ColdRules>,
    /// Connections that one upstream takes from all daemons, if it is declared.
    pub(super) connections: Option<u32>,
    pub(super) pool: Arc<Mutex<StagePool>>,
}

/// An upstream that an attempt may use.
#[derive(Clone, Debug)]
pub struct SlotGrant {
    /// The attempt.
    pub request: SlotRequest,
    /// Name of the upstream.
    pub upstream: String,
    /// Identity that its process answers to.
    pub process: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Shortest time in which it has answered of late.
    pub fastest: Duration,
    /// Idle connections that this daemon may keep to it.
    pub kept_connections: usize,
}

impl UpstreamRouter {
    /// A router without upstreams, for a daemon in `zone`.
    #[must_use]
    pub fn new(zone: &str, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let spread = random.random_range(0..SPREADS);
        Self {
            zone: zone.to_owned(),
            random: Mutex::new(random),
            spread,
            policy: RoutingPolicy::default(),
            daemons: AtomicUsize::new(1),
            retries: RetryLimits::default(),
            cold_limits: ColdLimits::default(),
            regions: RegionMap::default(),
            limiter: Arc::default(),
            turn: AtomicUsize::new(0),
            held: AtomicBool::new(false),
            has_list: false,
            upstreams: Vec::new(),
            positions: HashMap::new(),
            pools: HashMap::new(),
        }
    }

    /// Sets how many retries the daemons may make together.
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

    /// Sets what knows the upstreams that have named a rate.
    #[must_use]
    pub fn limiter(mut self, limiter: Arc<RateLimiter>) -> Self {
        self.limiter = limiter;
        self
    }

    /// Sets how far cold upstreams may be pressed.
    #[must_use]
    pub fn cold_limits(mut self, limits: ColdLimits) -> Self {
        self.cold_limits = limits;
        self
    }

    /// Sets how many daemons give the same upstreams work, this one among them.
    pub fn set_daemons(&self, daemons: usize) {
        let daemons = daemons.max(1);
        if self.daemons.swap(daemons, Ordering::Relaxed) != daemons {
            for routed in self.pools.values() {
                lock(&routed.pool).budget.share(daemons);
            }
        }
    }

    /// Sets whether no upstream may be chosen; returns whether that is new.
    pub fn hold(&self, held: bool) -> bool {
        self.held.swap(held, Ordering::Relaxed) != held
    }

    /// Whether no upstream may be chosen.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes what the VM list says of leaving VMs.
    pub fn take_roster(&self, roster: &VmRoster) {
        for upstream in &self.upstreams {
            lock(&upstream.state).set_listed_leaving(roster.is_leaving(&upstream.rules.vm));
        }
    }

    /// Takes the news that an upstream is leaving. Returns whether it was new.
    pub fn take_leaving(&self, leaving: &LeavingUpstream) -> bool {
        let upstream = self.upstream(&leaving.upstream);
        upstream.is_some_and(|upstream| lock(&upstream.state).leave(&leaving.life))
    }

    /// `upstream` wants nothing from this daemon until `until`.
    pub fn stay_away(&self, upstream: &str, until: MonotonicTime) {
        if let Some(upstream) = self.upstream(upstream) {
            lock(&upstream.state).stay_away(until);
        }
    }

    /// Takes the news that the process `life` answers behind `upstream`, and stays.
    pub fn greet(&self, upstream: &str, life: &str) {
        if let Some(upstream) = self.upstream(upstream) {
            lock(&upstream.state).greet(life);
        }
    }

    /// Whether a first attempt may become another one at the same stage.
    #[must_use]
    pub fn allow_retry(&self, request: &SlotRequest, now: MonotonicTime) -> bool {
        if self.policy == RoutingPolicy::Baseline {
            return request.tried.len() <= BLIND_RETRIES;
        }
        self.pools.get(&request.stage).is_some_and(|routed| lock(&routed.pool).budget.spend(now))
    }

    /// Time that a new request would need for the stages of `steps`, the waits for their upstreams
    /// included, as far as it was learned.
    #[must_use]
    pub fn estimate(&self, plan: &StagePlan, level: u8) -> Duration {
        if self.policy == RoutingPolicy::Baseline {
            return Duration::ZERO;
        }
        plan.longest_way(|step, _| {
            let routed = self.pools.get(&step.stage).filter(|routed| routed.engine.is_none());
            routed.map_or(Duration::ZERO, |routed| lock(&routed.pool).expected_time(level))
        })
    }

    /// Finds an upstream for `request`, or lets it wait for one.
    ///
    /// # Errors
    ///
    /// Returns the request if its pool is gone, empty or its queue full, or if no upstream of it wants
    /// anything before the request's deadline.
    pub fn acquire(
        &self,
        request: SlotRequest,
        now: MonotonicTime,
    ) -> Result<Option<SlotGrant>, SlotRequest> {
        let Some(routed) = self.pools.get(&request.stage) else { return Err(request) };
        if request.tried.is_empty() {
            let mut pool = lock(&routed.pool);
            pool.budget.earn(now);
            if let Some(subject) = request.demand.as_ref().and_then(|demand| demand.subject()) {
                pool.subjects.count(subject.id, now);
            }
        }
        if let Some(position) = self.choose(routed, &request, now) {
            return Ok(Some(self.grant(position, request, now)));
        }
        if !self.is_servable(routed, &request, now) {
            return Err(request);
        }
        if lock(&routed.pool).wait(request.clone()) { Ok(None) } else { Err(request) }
    }

    /// Takes back the slot of an ended attempt and hands it to the most urgent one that waits.
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
            state.end(report, now);
            if let Some(engine) = &mut state.engine {
                engine.end(call);
            }
        }
        if let AttemptReport::Answered(time) = report {
            for routed in upstream.pools.iter().filter_map(|stage| self.pools.get(stage)) {
                lock(&routed.pool).learn(time, now);
            }
        }
        self.serve_waiting(&upstream.pools, now)
    }

    /// The first event of the answer to `call` came.
    pub fn flowing(&self, upstream: &str, call: CallId) {
        if let Some(upstream) = self.upstream(upstream)
            && let Some(engine) = &mut lock(&upstream.state).engine
        {
            engine.read(call);
        }
    }

    /// Hands free slots of the pools `stages` to attempts that wait.
    #[must_use]
    pub fn serve_waiting(&self, stages: &[String], now: MonotonicTime) -> Vec<SlotGrant> {
        let mut grants = Vec::new();
        if self.is_held() {
            return grants;
        }
        for routed in stages.iter().filter_map(|stage| self.pools.get(stage)) {
            for position in routed.near.iter().chain(&routed.far).copied() {
                if lock(&routed.pool).waiting() == 0 {
                    break;
                }
                self.serve_from(position, routed, now, &mut grants);
            }
        }
        grants
    }

    /// Hands free slots of every pool to attempts that wait.
    #[must_use]
    pub fn serve_all_waiting(&self, now: MonotonicTime) -> Vec<SlotGrant> {
        let stages: Vec<String> = self.pools.keys().cloned().collect();
        self.serve_waiting(&stages, now)
    }

    /// Takes out everything that waits at `stage` for the call of `request`.
    pub fn withdraw(&self, request: &SlotRequest) {
        if let Some(routed) = self.pools.get(&request.stage) {
            lock(&routed.pool).withdraw(request.call, request.level, request.deadline);
        }
    }

    /// What the state dump shows.
    #[must_use]
    pub fn summaries(&self, now: MonotonicTime) -> Vec<UpstreamSummary> {
        self.upstreams.iter().map(|upstream| lock(&upstream.state).summary(now)).collect()
    }

    /// Attempts that wait, by stage.
    #[must_use]
    pub fn waiting(&self) -> Vec<(String, usize)> {
        let pools = self.pools.iter();
        let mut waiting: Vec<_> =
            pools.map(|(stage, routed)| (stage.clone(), lock(&routed.pool).waiting())).collect();
        waiting.sort();
        waiting
    }

    pub(super) fn upstream(&self, name: &str) -> Option<&RoutedUpstream> {
        self.positions.get(name).map(|position| &self.upstreams[*position])
    }

    /// Region of the upstream at `position`, if it is known.
    pub(super) fn region_of(&self, position: usize) -> Option<&str> {
        self.regions.region(&self.upstreams[position].rules.zone)
    }

    fn grant(&self, position: usize, request: SlotRequest, now: MonotonicTime) -> SlotGrant {
        let upstream = &self.upstreams[position];
        let fastest = {
            let mut state = lock(&upstream.state);
            state.begin();
            if let Some(routed) = self.pools.get(&request.stage) {
                Self::count_send(routed, &mut state, now);
            }
            match (&mut state.engine, &request.demand) {
                (Some(engine), Some(demand)) => {
                    engine.begin(request.call, demand, now);
                    // Its answers are streams of any length, so the shortest says nothing.
                    Duration::ZERO
                }
                _ if self.policy == RoutingPolicy::Adaptive => state.fastest(),
                _ => Duration::ZERO,
            }
        };
        self.limiter.spend(&upstream.rules.name);
        let kept_connections = self.kept_connections(&request.stage);
        SlotGrant {
            fastest,
            kept_connections,
            request,
            upstream: upstream.rules.name.clone(),
            process: upstream.rules.process.clone(),
            address: upstream.rules.address,
        }
    }

    /// Idle connections that this daemon may keep to each upstream of `stage`.
    ///
    /// Guards against upstreams that are full of idle connections: they reset the next one that is
    /// opened, with a request on it that nobody may repeat. All daemons keep half of what an upstream
    /// takes; the other half is for connections in use.
    fn kept_connections(&self, stage: &str) -> usize {
        let declared = self.pools.get(stage).and_then(|routed| routed.connections);
        let daemons = self.daemons.load(Ordering::Relaxed).max(1);
        declared.map_or(usize::MAX, |connections| connections as usize / 2 / daemons)
    }

    fn serve_from(
        &self,
        position: usize,
        routed: &RoutedPool,
        now: MonotonicTime,
        grants: &mut Vec<SlotGrant>,
    ) {
        let upstream = &self.upstreams[position];
        loop {
            let usable = self.is_within_share(routed, position, now)
                && self.limiter.allows(&upstream.rules.name, RateUse::Shared, now)
                && {
                    let state = lock(&upstream.state);
                    state.has_room()
                        && !state.is_leaving()
                        && state.away_for(now).is_zero()
                        && !state.is_ejected(now)
                        && !state.is_full(now)
                };
            let region = self.region_of(position);
            let next = if usable {
                lock(&routed.pool).next_for(&upstream.rules.name, region)
            } else {
                None
            };
            let Some(request) = next else { break };
            grants.push(self.grant(position, request, now));
        }
    }
}
