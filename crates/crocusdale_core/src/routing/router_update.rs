//! Builds a router for changed declarations, and updates it for changed upstreams.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rand::Rng as _;

use super::upstream_router::{RoutedPool, RoutedUpstream};
use super::{
    AttemptQueue, ChangedUpstream, DirectoryEntry, EngineLoad, UpstreamDirectory, UpstreamRouter,
    UpstreamState,
};
use crate::configuration::{
    Declarations, LabelSet, PoolKind, StageRules, UpstreamKind, UpstreamRules,
};
use crate::identity::{MonotonicTime, stable_hash};
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

    /// Applies changes of published upstreams, in time proportional to their number. The router
    /// must have been built for `declarations` and a known list.
    ///
    /// Guards against daemons that spend most of their processor time on changes of the list: in a
    /// fleet of thousands of upstreams, some upstream changes all the time.
    pub fn apply_changes(
        &mut self,
        declarations: &Declarations,
        changes: &[ChangedUpstream],
        now: MonotonicTime,
    ) {
        for change in changes {
            let stage = change.entry.as_ref().and_then(|entry| {
                let rules = declarations.stage(&entry.pool)?;
                Some((entry, rules))
            });
            let current_state = self.remove_upstream(&change.name);
            let Some((entry, stage_rules)) = stage else { continue };
            let rules = upstream_rules(entry, stage_rules);
            let current_state = current_state
                .filter(|(current, _)| current.address == rules.address)
                .map(|(_, state)| state);
            let is_new = current_state.is_none();
            let state = current_state.unwrap_or_else(|| new_state(&rules));
            lock(&state).set_cold_until(change.cold_until);
            if is_new {
                lock(&state).set_possible_start(now);
            }
            let position = self.upstreams.len();
            self.add_upstream(&rules, Some(state));
            self.add_to_pool(&entry.pool, position);
        }
    }

    /// Adds the upstream at `position` to the pool of `stage`, unless the pool is batched.
    fn add_to_pool(&mut self, stage: &str, position: usize) {
        let Some(routed) = self.pools.get_mut(stage) else { return };
        let upstream = &mut self.upstreams[position];
        upstream.pools.push(stage.to_owned());
        if routed.engine.is_some() {
            lock(&upstream.state).engine.get_or_insert_with(EngineLoad::default);
        }
        let is_same_zone = upstream.rules.zone == self.zone;
        let positions = if is_same_zone { &mut routed.same_zone } else { &mut routed.other_zones };
        positions.push(position);
    }

    /// Removes the upstream `name` and returns its rules and state. The last upstream moves to its
    /// position.
    fn remove_upstream(
        &mut self,
        name: &str,
    ) -> Option<(UpstreamRules, Arc<Mutex<UpstreamState>>)> {
        let position = self.positions.remove(name)?;
        let removed = self.upstreams.swap_remove(position);
        for stage in &removed.pools {
            let Some(routed) = self.pools.get_mut(stage) else { continue };
            for positions in [&mut routed.same_zone, &mut routed.other_zones] {
                if let Some(index) = positions.iter().position(|other| *other == position) {
                    positions.swap_remove(index);
                }
            }
        }
        let moved_from = self.upstreams.len();
        if let Some(moved) = self.upstreams.get(position) {
            self.positions.insert(moved.rules.name.clone(), position);
            for stage in &moved.pools {
                let Some(routed) = self.pools.get_mut(stage) else { continue };
                let positions = routed.same_zone.iter_mut().chain(&mut routed.other_zones);
                for moved_position in positions.filter(|other| **other == moved_from) {
                    *moved_position = position;
                }
            }
        }
        Some((removed.rules, removed.state))
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
            let seed = stable_hash(&[stage]) ^ self.replica_offset as u64;
            queue.retry_budget =
                self.retries.budget(self.daemons.load(Ordering::Relaxed)).seed(seed);
            Arc::new(Mutex::new(queue))
        };
        let current_brittle = self.pools.get(stage).map(|routed| Arc::clone(&routed.brittle));
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
                brittle: current_brittle.unwrap_or_default(),
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
        let state = current_state.unwrap_or_else(|| new_state(rules));
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
        let state = state.unwrap_or_else(|| new_state(rules));
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
    let available = directory.available_entries().filter(move |entry| entry.pool == stage);
    available.map(move |entry| upstream_rules(entry, rules))
}

/// Rules for a published upstream of a pool with `stage_rules`.
fn upstream_rules(entry: &DirectoryEntry, stage_rules: &StageRules) -> UpstreamRules {
    let kind = match stage_rules.kind {
        PoolKind::Plain => UpstreamKind::PlainService,
        PoolKind::Batch(_) => UpstreamKind::StagePool,
        PoolKind::Engine(_) => UpstreamKind::ModelEngine,
    };
    UpstreamRules {
        name: entry.name(),
        process: entry.id.clone(),
        vm: String::new(),
        zone: entry.zone.clone(),
        kind,
        address: entry.address,
        labels: LabelSet::default(),
        concurrency: entry.slots.max(1),
        software_version: entry.software_version.clone(),
    }
}

fn new_state(rules: &UpstreamRules) -> Arc<Mutex<UpstreamState>> {
    Arc::new(Mutex::new(UpstreamState::new(&rules.name, rules.concurrency)))
}
