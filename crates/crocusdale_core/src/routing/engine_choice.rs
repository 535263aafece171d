//! Which model engine gets a request.

use std::sync::atomic::Ordering;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::EngineRules;
use crate::identity::{MonotonicTime, stable_hash};
use crate::pipeline::EngineDemand;
use crate::sync::lock;

/// Backlog of this daemon at one engine beyond the least one, in prompt tokens, above which the next
/// engine in rank is taken: about two large prompts that are still to be read.
const BACKLOG_BOUND: u64 = 20_000;

/// An engine that could take a request.
#[derive(Clone, Copy, Debug)]
struct EngineCandidate {
    position: usize,
    /// Rank for the subject of the request.
    rank: u64,
    /// Work of this daemon before the request, in prompt tokens.
    backlog: u64,
    /// Tokens of the request that would have to be read.
    unread: u64,
    /// Tokens of this daemon's requests in its memory.
    held: u64,
    /// Requests of this daemon there.
    in_flight: u64,
}

impl UpstreamRouter {
    /// The engine of the highest rank for the prompt's subject whose backlog is bounded; where
    /// all are beyond the bound, the one with the least work before the request.
    ///
    /// Requests with the same subject find the same engine wherever they come in, without a word
    /// between daemons, so that what they share is read once. The bound keeps a subject that gets
    /// much of the traffic from holding up all others there.
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
        let share = self.daemons.load(Ordering::Relaxed) as u64;
        let new_tokens = demand.prompt_tokens + demand.output_tokens;
        let is_bounded = |each: &&EngineCandidate| {
            let crowded = (each.in_flight + 1) * share > u64::from(rules.slots);
            let overfull = each.held * share + new_tokens > rules.token_memory;
            each.backlog <= least + BACKLOG_BOUND && !crowded && !overfull
        };
        let ranked = candidates.iter().find(is_bounded);
        let cheapest = || candidates.iter().min_by_key(|each| each.unread + each.backlog);
        ranked.or_else(cheapest).map(|each| each.position)
    }

    /// Zone of the engine to which a request with `demand` would go now.
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
        let usable = |ejected_at| {
            let positions = all.iter().copied();
            let open = move |position: &usize| {
                self.cost_if_usable(*position, request, ejected_at).is_some()
            };
            positions.filter(open).filter_map(candidate).collect::<Vec<_>>()
        };
        let healthy = usable(Some(now));
        if healthy.is_empty() { usable(None) } else { healthy }
    }
}
