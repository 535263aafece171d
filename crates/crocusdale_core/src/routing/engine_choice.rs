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
const BACKLOG_BOUND: u64 = 20_000;
/// Weight of the pool-wide average in an estimate for one engine, in requests of this daemon. With
/// few requests at an engine, their number says little about the load from other daemons.
const PRIOR_WEIGHT: f64 = 4.0;
/// Fraction of an engine's free slots that requests with one prompt prefix may fill. The rest
/// absorbs uneven arrivals.
const SUBJECT_SHARE: f64 = 0.5;

/// Estimated load that all daemons together put on the engines of a pool.
#[derive(Clone, Copy, Debug)]
struct FleetGuess {
    /// Number of other daemons that send work to the engines.
    others: f64,
    /// Average number of this daemon's requests in flight at one engine.
    own_mean: f64,
    /// Average number of tokens that one request of this daemon holds in engine memory.
    tokens: f64,
}

impl FleetGuess {
    fn new(daemons: usize, candidates: &[EngineCandidate]) -> Self {
        let engines = candidates.len().max(1) as f64;
        let own: u64 = candidates.iter().map(|each| each.in_flight).sum();
        let held: u64 = candidates.iter().map(|each| each.held).sum();
        Self {
            others: daemons.saturating_sub(1) as f64,
            own_mean: own as f64 / engines,
            tokens: held as f64 / own.max(1) as f64,
        }
    }

    /// Estimated number of requests from other daemons at an engine with `own` requests of this
    /// daemon.
    ///
    /// This daemon's requests at an engine are a small sample of the total. Extrapolated alone, one
    /// request of one daemon among eighty would count as eighty requests, and every engine would
    /// seem full. The estimate therefore includes the average over all engines, with more weight
    /// the smaller the sample is.
    fn others_at(&self, own: u64) -> f64 {
        let mean = self.own_mean;
        let each = mean * (PRIOR_WEIGHT + own as f64) / (PRIOR_WEIGHT + mean);
        self.others * each
    }

    /// Number of engines over which to spread the requests with one prompt prefix, which make up
    /// the fraction `traffic_share` of all requests. Between 1 and `engines`.
    fn copies(&self, part: f64, slots: u32, engines: usize) -> usize {
        let at_each = (self.others + 1.0) * self.own_mean;
        let about_it = at_each * engines as f64 * part;
        let free = f64::from(slots) - at_each * (1.0 - part);
        let copies = (about_it / (free.max(1.0) * SUBJECT_SHARE)).ceil();
        (copies as usize).clamp(1, engines)
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
    backlog: u64,
    /// Prompt tokens of the request that the engine's cache is not expected to hold.
    unread: u64,
    /// Tokens that requests of this daemon hold in the engine's memory.
    held: u64,
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
        candidates.sort_unstable_by_key(|each| std::cmp::Reverse(each.rank));
        let least = candidates.iter().map(|each| each.backlog).min()?;
        let guess = FleetGuess::new(self.daemons.load(Ordering::Relaxed), &candidates);
        let part =
            demand.subject().map_or(0.0, |subject| lock(&routed.pool).subjects.part_of(subject.id));
        let copies = guess.copies(part, rules.slots, candidates.len());
        candidates[..copies].rotate_left(self.spread % copies);
        let new_tokens = (demand.prompt_tokens + demand.output_tokens) as f64;
        let is_bounded = |each: &&EngineCandidate| {
            let others = guess.others_at(each.in_flight);
            let running = each.in_flight as f64 + others;
            let held = each.held as f64 + others * guess.tokens;
            each.backlog <= least + BACKLOG_BOUND
                && running + 1.0 <= f64::from(rules.slots)
                && held + new_tokens <= rules.token_memory as f64
        };
        let ranked = candidates.iter().find(is_bounded);
        let cheapest = || candidates.iter().min_by_key(|each| each.unread + each.backlog);
        ranked.or_else(cheapest).map(|each| each.position)
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
        let subject = demand.subject().map(|part| part.id.to_string()).unwrap_or_default();
        let candidate = |position: usize| {
            let upstream = &self.upstreams[position];
            let state = lock(&upstream.state);
            let engine = state.engine.as_ref()?;
            Some(EngineCandidate {
                position,
                rank: stable_hash(&[&subject, &upstream.rules.name]),
                backlog: engine.backlog(),
                unread: engine.unread_of(demand, now),
                held: engine.held_tokens(),
                in_flight: u64::from(state.in_flight()),
            })
        };
        let all: Vec<usize> = routed.near.iter().chain(&routed.far).copied().collect();
        let usable = |healthy| {
            let positions = all.iter().copied();
            let open = move |position: &usize| {
                self.cost_if_usable(routed, *position, request, healthy, now).is_some()
            };
            positions.filter(open).filter_map(candidate).collect::<Vec<_>>()
        };
        let healthy = usable(true);
        if healthy.is_empty() { usable(false) } else { healthy }
    }
}
