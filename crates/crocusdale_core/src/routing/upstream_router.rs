use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::{AttemptReport, SlotRequest, StagePool, UpstreamState, UpstreamSummary};
use crate::configuration::{Declarations, RoutingPolicy, UpstreamRules};
use crate::identity::MonotonicTime;
use crate::membership::{LeavingUpstream, VmRoster};
use crate::sync::lock;

/// Upstreams that are looked at in each zone before the whole pool is.
const SAMPLES: usize = 2;

/// Retries that the baseline makes, whatever fails.
const BLIND_RETRIES: usize = 3;

/// Chooses upstreams for attempts; each pool and each upstream has its own lock.
#[derive(Debug)]
pub struct UpstreamRouter {
    zone: String,
    random: Mutex<SmallRng>,
    policy: RoutingPolicy,
    turn: AtomicUsize,
    upstreams: Vec<RoutedUpstream>,
    positions: HashMap<String, usize>,
    pools: HashMap<String, RoutedPool>,
}

#[derive(Debug)]
struct RoutedUpstream {
    rules: UpstreamRules,
    state: Arc<Mutex<UpstreamState>>,
    pools: Vec<String>,
}

#[derive(Debug)]
struct RoutedPool {
    near: Vec<usize>,
    far: Vec<usize>,
    pool: Arc<Mutex<StagePool>>,
}

/// An upstream that an attempt may use.
#[derive(Clone, Debug)]
pub struct SlotGrant {
    /// The attempt.
    pub request: SlotRequest,
    /// Name of the upstream.
    pub upstream: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Shortest time in which it has answered of late.
    pub fastest: Duration,
}

impl UpstreamRouter {
    /// A router without upstreams, for a daemon in `zone`.
    #[must_use]
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            policy: RoutingPolicy::default(),
            turn: AtomicUsize::new(0),
            upstreams: Vec::new(),
            positions: HashMap::new(),
            pools: HashMap::new(),
        }
    }

    /// A router for `declarations` that keeps what `self` knows of upstreams and pools that stay.
    #[must_use]
    pub fn reconfigured(&self, declarations: &Declarations) -> Self {
        let seed = lock(&self.random).random();
        let mut router = Self::new(&self.zone, seed);
        router.policy = declarations.deployment().policy;
        for rules in declarations.upstreams() {
            router.add_upstream(rules, self.known_state(rules));
        }
        for (stage, rules) in declarations.stages() {
            let pool =
                self.pools.get(stage).map(|known| Arc::clone(&known.pool)).unwrap_or_default();
            for position in &rules.pool {
                router.upstreams[*position].pools.push(stage.to_owned());
            }
            let is_near = |position: &usize| router.upstreams[*position].rules.zone == self.zone;
            let (near, far) = rules.pool.iter().copied().partition(is_near);
            router.pools.insert(stage.to_owned(), RoutedPool { near, far, pool });
        }
        router
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

    /// Takes the news that the process `life` answers behind `upstream`, and stays.
    pub fn greet(&self, upstream: &str, life: &str) {
        if let Some(upstream) = self.upstream(upstream) {
            lock(&upstream.state).greet(life);
        }
    }

    /// Whether a first attempt may become another one at the same stage.
    #[must_use]
    pub fn allow_retry(&self, request: &SlotRequest) -> bool {
        if self.policy == RoutingPolicy::Baseline {
            return request.tried.len() <= BLIND_RETRIES;
        }
        self.pools.get(&request.stage).is_some_and(|routed| lock(&routed.pool).budget.spend())
    }

    /// Time that a new request would need for the stages of `steps`, the waits for their upstreams
    /// included, as far as it was learned.
    #[must_use]
    pub fn estimate(&self, steps: &[Vec<String>], level: u8) -> Duration {
        if self.policy == RoutingPolicy::Baseline {
            return Duration::ZERO;
        }
        let pool_time = |stage: &String| {
            let routed = self.pools.get(stage);
            routed.map_or(Duration::ZERO, |routed| lock(&routed.pool).expected_time(level))
        };
        let step_time = |step: &Vec<String>| step.iter().map(pool_time).max().unwrap_or_default();
        steps.iter().map(step_time).sum()
    }

    /// Finds an upstream for `request`, or lets it wait for one.
    ///
    /// # Errors
    ///
    /// Returns the request if its pool is gone, empty or its queue full.
    pub fn acquire(
        &self,
        request: SlotRequest,
        now: MonotonicTime,
    ) -> Result<Option<SlotGrant>, SlotRequest> {
        let Some(routed) = self.pools.get(&request.stage) else { return Err(request) };
        if request.tried.is_empty() {
            lock(&routed.pool).budget.earn();
        }
        if let Some(position) = self.choose(routed, &request, now) {
            return Ok(Some(self.grant(position, request)));
        }
        if !self.has_hope(routed, &request) {
            return Err(request);
        }
        if lock(&routed.pool).wait(request.clone()) { Ok(None) } else { Err(request) }
    }

    /// Takes back the slot of an ended attempt and hands it to the most urgent one that waits.
    pub fn release(
        &self,
        upstream: &str,
        report: AttemptReport,
        now: MonotonicTime,
    ) -> Vec<SlotGrant> {
        let Some(upstream) = self.upstream(upstream) else { return Vec::new() };
        lock(&upstream.state).end(report, now);
        if let AttemptReport::Answered(time) = report {
            for routed in upstream.pools.iter().filter_map(|stage| self.pools.get(stage)) {
                lock(&routed.pool).learn(time, now);
            }
        }
        self.serve_waiting(&upstream.pools, now)
    }

    /// Hands free slots of the pools `stages` to attempts that wait.
    #[must_use]
    pub fn serve_waiting(&self, stages: &[String], now: MonotonicTime) -> Vec<SlotGrant> {
        let mut grants = Vec::new();
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

    fn add_upstream(&mut self, rules: &UpstreamRules, state: Option<Arc<Mutex<UpstreamState>>>) {
        let fresh = || Arc::new(Mutex::new(UpstreamState::new(&rules.name, rules.concurrency)));
        let state = state.unwrap_or_else(fresh);
        lock(&state).set_limit(rules.concurrency);
        self.positions.insert(rules.name.clone(), self.upstreams.len());
        self.upstreams.push(RoutedUpstream { rules: rules.clone(), state, pools: Vec::new() });
    }

    fn known_state(&self, rules: &UpstreamRules) -> Option<Arc<Mutex<UpstreamState>>> {
        let known = self.upstream(&rules.name)?;
        // Under another address stands another process, of which nothing is known.
        (known.rules.address == rules.address).then(|| Arc::clone(&known.state))
    }

    fn upstream(&self, name: &str) -> Option<&RoutedUpstream> {
        self.positions.get(name).map(|position| &self.upstreams[*position])
    }

    /// Looks at a few of the own zone, then of the others, then at all; when every one that could
    /// serve is ejected, takes an ejected one, so that ejection never closes a pool.
    fn choose(
        &self,
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<usize> {
        if self.policy == RoutingPolicy::Baseline {
            return self.next_in_turn(routed);
        }
        let healthy = |position: usize| self.cost_if_usable(position, request, Some(now));
        let any = |position: usize| self.cost_if_usable(position, request, None);
        self.best_of(&self.sample(&routed.near), healthy)
            .or_else(|| self.best_of(&routed.near, healthy))
            .or_else(|| self.best_of(&self.sample(&routed.far), healthy))
            .or_else(|| self.best_of(&routed.far, healthy))
            .or_else(|| {
                let all: Vec<usize> = routed.near.iter().chain(&routed.far).copied().collect();
                let ejected = all.iter().all(|position| {
                    lock(&self.upstreams[*position].state).is_ejected(now)
                        || lock(&self.upstreams[*position].state).is_leaving()
                });
                if ejected { self.best_of(&all, any) } else { None }
            })
    }

    /// The next upstream of the pool that isn't leaving, whatever is known of it.
    fn next_in_turn(&self, routed: &RoutedPool) -> Option<usize> {
        let all: Vec<usize> = routed.near.iter().chain(&routed.far).copied().collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let mut from_turn = all.iter().cycle().skip(turn % all.len().max(1)).take(all.len());
        from_turn.find(|position| !lock(&self.upstreams[**position].state).is_leaving()).copied()
    }

    fn sample(&self, positions: &[usize]) -> Vec<usize> {
        if positions.is_empty() {
            return Vec::new();
        }
        let mut random = lock(&self.random);
        (0..SAMPLES).map(|_| positions[random.random_range(0..positions.len())]).collect()
    }

    fn best_of(&self, positions: &[usize], cost: impl Fn(usize) -> Option<f64>) -> Option<usize> {
        let usable = positions.iter().filter_map(|position| Some((cost(*position)?, *position)));
        usable.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, position)| position)
    }

    fn cost_if_usable(
        &self,
        position: usize,
        request: &SlotRequest,
        ejected_at: Option<MonotonicTime>,
    ) -> Option<f64> {
        let upstream = &self.upstreams[position];
        if request.tried.contains(&upstream.rules.name) {
            return None;
        }
        let state = lock(&upstream.state);
        let ejected = ejected_at.is_some_and(|now| state.is_ejected(now));
        (!state.is_leaving() && !ejected && state.has_room()).then(|| state.cost())
    }

    /// Whether any upstream of the pool could ever serve `request`.
    fn has_hope(&self, routed: &RoutedPool, request: &SlotRequest) -> bool {
        routed.near.iter().chain(&routed.far).any(|position| {
            let upstream = &self.upstreams[*position];
            !request.tried.contains(&upstream.rules.name) && !lock(&upstream.state).is_leaving()
        })
    }

    fn grant(&self, position: usize, request: SlotRequest) -> SlotGrant {
        let upstream = &self.upstreams[position];
        let fastest = {
            let mut state = lock(&upstream.state);
            state.begin();
            match self.policy {
                RoutingPolicy::Adaptive => state.fastest(),
                RoutingPolicy::Baseline => Duration::ZERO,
            }
        };
        SlotGrant {
            fastest,
            request,
            upstream: upstream.rules.name.clone(),
            address: upstream.rules.address,
        }
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
            let usable = {
                let state = lock(&upstream.state);
                state.has_room() && !state.is_leaving() && !state.is_ejected(now)
            };
            let next =
                if usable { lock(&routed.pool).next_for(&upstream.rules.name) } else { None };
            let Some(request) = next else { break };
            grants.push(self.grant(position, request));
        }
    }
}
