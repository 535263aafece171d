//! Chooses the model engine for a request.

use std::sync::atomic::Ordering;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::EngineRules;
use crate::identity::{MonotonicTime, stable_hash};
use crate::pipeline::EngineDemand;
use crate::sync::lock;

/// Prompt tokens by which this daemon's backlog at an engine may exceed the smallest backlog in the
/// pool. Above this, the engine with the next rank is used. The value equals about two large
/// prompts that are still to be processed.
const MAX_EXTRA_BACKLOG_TOKENS: u64 = 20_000;
/// Weight of the pool-wide average in an estimate for one engine, in requests of this daemon. With
/// few requests at an engine, their number says little about the load from other daemons.
const MEAN_WEIGHT_REQUESTS: f64 = 4.0;
/// Fraction of an engine's free slots that requests with one prompt prefix may fill. The rest
/// absorbs uneven arrivals.
const PREFIX_SLOT_FRACTION: f64 = 0.5;

/// Estimated load that all daemons together put on the engines of a pool.
#[derive(Clone, Copy, Debug)]
struct FleetLoad {
    /// Number of other daemons that send work to the engines.
    other_daemons: f64,
    /// Average number of this daemon's requests in flight at one engine.
    mean_in_flight: f64,
    /// Average number of tokens that one request of this daemon holds in engine memory.
    mean_tokens: f64,
}

impl FleetLoad {
    fn new(daemons: usize, candidates: &[EngineCandidate]) -> Self {
        let engines = candidates.len().max(1) as f64;
        let own: u64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
        let held: u64 = candidates.iter().map(|candidate| candidate.held_tokens).sum();
        Self {
            other_daemons: daemons.saturating_sub(1) as f64,
            mean_in_flight: own as f64 / engines,
            mean_tokens: held as f64 / own.max(1) as f64,
        }
    }

    /// Estimated number of requests from other daemons at an engine with `own` requests of this
    /// daemon.
    ///
    /// This daemon's requests at an engine are a small sample of the total. Extrapolated alone, one
    /// request of one daemon among eighty would count as eighty requests, and every engine would
    /// seem full. The estimate therefore includes the average over all engines, with more weight
    /// the smaller the sample is.
    fn other_requests_at(&self, own: u64) -> f64 {
        let mean_requests = self.mean_in_flight;
        let per_daemon = mean_requests * (MEAN_WEIGHT_REQUESTS + own as f64)
            / (MEAN_WEIGHT_REQUESTS + mean_requests);
        self.other_daemons * per_daemon
    }

    /// Number of engines over which to spread the requests with one prompt prefix, which make up
    /// the fraction `traffic_share` of all requests. Between 1 and `engines`.
    fn replica_count(&self, traffic_share: f64, slots: u32, engines: usize) -> usize {
        let requests_per_engine = (self.other_daemons + 1.0) * self.mean_in_flight;
        let prefix_requests = requests_per_engine * engines as f64 * traffic_share;
        let free_slots = f64::from(slots) - requests_per_engine * (1.0 - traffic_share);
        let replicas = (prefix_requests / (free_slots.max(1.0) * PREFIX_SLOT_FRACTION)).ceil();
        (replicas as usize).clamp(1, engines)
    }
}

/// An engine that may be chosen for a request.
#[derive(Clone, Copy, Debug)]
struct EngineCandidate {
    position: usize,
    /// Rendezvous hash of the engine and the request's shared prompt prefix. The highest rank is
    /// preferred.
    rank: u64,
    /// Work of this daemon that is queued at the engine, in prompt tokens.
    backlog_tokens: u64,
    /// Prompt tokens of the request that the engine's cache is not expected to hold.
    uncached_tokens: u64,
    /// Tokens that requests of this daemon hold in the engine's memory.
    held_tokens: u64,
    /// Requests of this daemon in flight at the engine.
    in_flight: u64,
}

impl UpstreamRouter {
    /// Chooses the engine with the highest rank for the request's prompt prefix that has capacity
    /// for the request. If no engine has capacity, chooses the one with the fewest prompt tokens to
    /// process before and for the request.
    ///
    /// All daemons rank the engines alike without communication, so that requests with the same
    /// prefix reach the same engine, and the prefix is processed once. A prefix with much traffic
    /// is spread over several engines, and each daemon starts with a different one of them.
    /// Otherwise that engine could overflow: a daemon of a large fleet sends too few of the
    /// requests to detect that the engine is full.
    pub(super) fn choose_engine(
        &self,
        routed: &RoutedPool,
        rules: &EngineRules,
        demand: &EngineDemand,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<usize> {
        let mut candidates = self.engine_candidates(routed, demand, request, now);
        candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.rank));
        let min_backlog = candidates.iter().map(|candidate| candidate.backlog_tokens).min()?;
        let fleet_load = FleetLoad::new(self.daemons.load(Ordering::Relaxed), &candidates);
        // The subject is the last segment of the prompt prefix that other requests may share.
        let traffic_share = demand
            .last_shared_part()
            .map_or(0.0, |prefix| lock(&routed.queue).prefixes.traffic_share(prefix.id));
        let replicas = fleet_load.replica_count(traffic_share, rules.slots, candidates.len());
        candidates[..replicas].rotate_left(self.replica_offset % replicas);
        let new_tokens = (demand.prompt_tokens + demand.output_tokens) as f64;
        let has_capacity = |candidate: &&EngineCandidate| {
            let others = fleet_load.other_requests_at(candidate.in_flight);
            let running = candidate.in_flight as f64 + others;
            let held = candidate.held_tokens as f64 + others * fleet_load.mean_tokens;
            candidate.backlog_tokens <= min_backlog + MAX_EXTRA_BACKLOG_TOKENS
                && running + 1.0 <= f64::from(rules.slots)
                && held + new_tokens <= rules.token_memory as f64
        };
        let preferred = candidates.iter().find(has_capacity);
        let cheapest = || {
            candidates
                .iter()
                .min_by_key(|candidate| candidate.uncached_tokens + candidate.backlog_tokens)
        };
        preferred.or_else(cheapest).map(|candidate| candidate.position)
    }

    /// Availability zone of the engine that the request would be sent to now. `None` if its stage
    /// has no model engines or if none can be chosen.
    #[must_use]
    pub fn engine_zone(&self, request: &SlotRequest, now: MonotonicTime) -> Option<&str> {
        let routed = self.pools.get(&request.stage)?;
        let (rules, demand) = (routed.engine.as_ref()?, request.demand.as_ref()?);
        let position = self.choose_engine(routed, rules, demand, request, now)?;
        Some(&self.upstreams[position].rules.zone)
    }

    fn engine_candidates(
        &self,
        routed: &RoutedPool,
        demand: &EngineDemand,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Vec<EngineCandidate> {
        // The subject is the last segment of the prompt prefix that other requests may share.
        let prefix_id =
            demand.last_shared_part().map(|prefix| prefix.id.to_string()).unwrap_or_default();
        let to_candidate = |position: usize| {
            let upstream = &self.upstreams[position];
            let state = lock(&upstream.state);
            let engine = state.engine.as_ref()?;
            Some(EngineCandidate {
                position,
                rank: stable_hash(&[&prefix_id, &upstream.rules.name]),
                backlog_tokens: engine.backlog_tokens(),
                uncached_tokens: engine.uncached_tokens(demand, now),
                held_tokens: engine.held_tokens(),
                in_flight: u64::from(state.in_flight()),
            })
        };
        let usable_candidates = |require_healthy| {
            let positions = routed.same_zone.iter().chain(&routed.other_zones).copied();
            let is_usable = move |position: &usize| {
                self.cost_if_usable(routed, *position, request, require_healthy, now).is_some()
            };
            positions.filter(is_usable).filter_map(to_candidate).collect::<Vec<_>>()
        };
        let healthy = usable_candidates(true);
        if healthy.is_empty() { usable_candidates(false) } else { healthy }
    }
}
