//! Builds a router for changed declarations or a changed list of upstreams.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rand::Rng as _;

use super::upstream_router::{RoutedPool, RoutedUpstream};
use super::{EngineLoad, StagePool, UpstreamDirectory, UpstreamRouter, UpstreamState};
use crate::configuration::{
    Declarations, LabelSet, PoolKind, StageRules, UpstreamKind, UpstreamRules,
};
use crate::identity::MonotonicTime;
use crate::sync::lock;

impl UpstreamRouter {
    /// Builds a router for `declarations` and the upstreams of `directory` at `now`. State of
    /// upstreams and pools that remain is carried over from `self`.
    #[must_use]
    pub fn reconfigured(
        &self,
        declarations: &Declarations,
        directory: &UpstreamDirectory,
        now: MonotonicTime,
    ) -> Self {
        let seed = lock(&self.random).random();
        let router = Self::new(&self.zone, seed).retries(self.retries);
        let mut router = router.cold_limits(self.cold_limits).regions(self.regions.clone());
        router = router.limiter(Arc::clone(&self.limiter));
        router.spread = self.spread;
        router.policy = declarations.deployment().policy;
        router.daemons = AtomicUsize::new(self.daemons.load(Ordering::Relaxed));
        router.held = AtomicBool::new(self.is_held());
        router.has_list = directory.is_known();
        for rules in declarations.upstreams() {
            router.add_upstream(rules, self.known_state(rules));
        }
        for (stage, rules) in declarations.stages() {
            let mut pool = rules.pool.clone();
            for rules in published(stage, rules, directory) {
                pool.push(router.upstreams.len());
                let state = self.published_state(&rules, directory, now);
                router.add_upstream(&rules, Some(state));
            }
            self.add_pool(&mut router, stage, rules, &pool);
        }
        router
    }

    fn add_pool(&self, router: &mut Self, stage: &str, rules: &StageRules, pool: &[usize]) {
        let engine = match rules.kind {
            PoolKind::Engine(rules) => Some(rules),
            // The dispatcher of a batched pool forms its calls, so that the pool needs no queue
            // here.
            PoolKind::Batch(_) => return,
            PoolKind::Plain => None,
        };
        for position in pool {
            let upstream = &mut router.upstreams[*position];
            upstream.pools.push(stage.to_owned());
            if engine.is_some() {
                lock(&upstream.state).engine.get_or_insert_with(EngineLoad::default);
            }
        }
        let is_near = |position: &usize| router.upstreams[*position].rules.zone == self.zone;
        let (near, far) = pool.iter().copied().partition(is_near);
        let fresh = || {
            let mut pool = StagePool::default();
            pool.budget = self.retries.budget(self.daemons.load(Ordering::Relaxed));
            Arc::new(Mutex::new(pool))
        };
        let known = self.pools.get(stage).map(|known| Arc::clone(&known.pool));
        let pool = known.unwrap_or_else(fresh);
        router.pools.insert(
            stage.to_owned(),
            RoutedPool {
                near,
                far,
                engine,
                cold: rules.cold,
                connections: rules.connections,
                pool,
            },
        );
    }

    /// State of a published upstream. An upstream that no earlier list contained may have started
    /// recently, and is marked so.
    fn published_state(
        &self,
        rules: &UpstreamRules,
        directory: &UpstreamDirectory,
        now: MonotonicTime,
    ) -> Arc<Mutex<UpstreamState>> {
        let known = self.known_state(rules);
        let is_new = self.has_list && known.is_none();
        let fresh = || Arc::new(Mutex::new(UpstreamState::new(&rules.name, rules.concurrency)));
        let shared = known.unwrap_or_else(fresh);
        {
            let mut state = lock(&shared);
            state.set_cold_until(directory.cold_until(&rules.name));
            if is_new {
                state.set_added(now);
            }
        }
        shared
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
        // Another address means another process, for which the recorded state isn't valid.
        (known.rules.address == rules.address).then(|| Arc::clone(&known.state))
    }
}

/// Rules for those published upstreams of the pool `stage` that may get new work. Attempts that run
/// at the other upstreams continue.
fn published<'a>(
    stage: &'a str,
    rules: &'a StageRules,
    directory: &'a UpstreamDirectory,
) -> impl Iterator<Item = UpstreamRules> + 'a {
    let kind = match rules.kind {
        PoolKind::Plain => UpstreamKind::PlainService,
        PoolKind::Batch(_) => UpstreamKind::StagePool,
        PoolKind::Engine(_) => UpstreamKind::ModelEngine,
    };
    let staying = directory.staying().filter(move |entry| entry.pool == stage);
    staying.map(move |entry| UpstreamRules {
        name: entry.name(),
        process: entry.id.clone(),
        vm: String::new(),
        zone: entry.zone.clone(),
        kind,
        address: entry.address,
        labels: LabelSet::default(),
        concurrency: entry.slots.max(1),
    })
}
