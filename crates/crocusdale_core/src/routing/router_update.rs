//! Builds a router for changed declarations or a changed list of upstreams.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rand::Rng as _;

use super::upstream_router::{RoutedPool, RoutedUpstream};
use super::{AttemptQueue, EngineLoad, UpstreamDirectory, UpstreamRouter, UpstreamState};
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
        router.replica_offset = self.replica_offset;
        router.policy = declarations.deployment().policy;
        router.daemons = AtomicUsize::new(self.daemons.load(Ordering::Relaxed));
        router.is_suspended = AtomicBool::new(self.is_suspended());
        router.has_known_list = directory.is_known();
        for rules in declarations.upstreams() {
            router.add_upstream(rules, self.current_state(rules));
        }
        for (stage, rules) in declarations.stages() {
            let mut pool = rules.pool.clone();
            for rules in published_rules(stage, rules, directory) {
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
        let is_in_same_zone =
            |position: &usize| router.upstreams[*position].rules.zone == self.zone;
        let (same_zone, other_zones) = pool.iter().copied().partition(is_in_same_zone);
        let new_queue = || {
            let mut queue = AttemptQueue::default();
            queue.retry_budget = self.retries.budget(self.daemons.load(Ordering::Relaxed));
            Arc::new(Mutex::new(queue))
        };
        let current_queue = self.pools.get(stage).map(|routed| Arc::clone(&routed.queue));
        let queue = current_queue.unwrap_or_else(new_queue);
        router.pools.insert(
            stage.to_owned(),
            RoutedPool {
                same_zone,
                other_zones,
                engine,
                cold: rules.cold,
                connections: rules.connections,
                queue,
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
        let current_state = self.current_state(rules);
        let is_recently_added = self.has_known_list && current_state.is_none();
        let new_state = || Arc::new(Mutex::new(UpstreamState::new(&rules.name, rules.concurrency)));
        let state = current_state.unwrap_or_else(new_state);
        {
            let mut locked = lock(&state);
            locked.set_cold_until(directory.cold_until(&rules.name));
            if is_recently_added {
                locked.set_possible_start(now);
            }
        }
        state
    }

    fn add_upstream(&mut self, rules: &UpstreamRules, state: Option<Arc<Mutex<UpstreamState>>>) {
        let new_state = || Arc::new(Mutex::new(UpstreamState::new(&rules.name, rules.concurrency)));
        let state = state.unwrap_or_else(new_state);
        lock(&state).set_limit(rules.concurrency);
        self.positions.insert(rules.name.clone(), self.upstreams.len());
        self.upstreams.push(RoutedUpstream { rules: rules.clone(), state, pools: Vec::new() });
    }

    fn current_state(&self, rules: &UpstreamRules) -> Option<Arc<Mutex<UpstreamState>>> {
        let current = self.upstream(&rules.name)?;
        // Another address means another process, for which the recorded state isn't valid.
        (current.rules.address == rules.address).then(|| Arc::clone(&current.state))
    }
}

/// Rules for those published upstreams of the pool `stage` that may get new work. Attempts that run
/// at the other upstreams continue.
fn published_rules<'a>(
    stage: &'a str,
    rules: &'a StageRules,
    directory: &'a UpstreamDirectory,
) -> impl Iterator<Item = UpstreamRules> + 'a {
    let kind = match rules.kind {
        PoolKind::Plain => UpstreamKind::PlainService,
        PoolKind::Batch(_) => UpstreamKind::StagePool,
        PoolKind::Engine(_) => UpstreamKind::ModelEngine,
    };
    let available = directory.available_entries().filter(move |entry| entry.pool == stage);
    available.map(move |entry| UpstreamRules {
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
