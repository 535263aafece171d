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
/// Weight of the average over all engines, in requests of this daemon: with few requests at an engine,
/// their number says little of what the other daemons have there.
const PRIOR_WEIGHT: f64 = 4.0;
/// Part of an engine's free slots that one subject may fill, as arrivals are uneven.
const SUBJECT_SHARE: f64 = 0.5;

/// What all daemons together are guessed to have at the engines of a pool.
#[derive(Clone, Copy, Debug)]
struct FleetGuess {
    /// Other daemons that give the engines work.
    others: f64,
    /// This daemon's requests at one engine, on average.
    own_mean: f64,
    /// Tokens that one of its requests holds, on average.
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

    /// Requests of the other daemons at an engine with `own` of this one.
    ///
    /// What this daemon has at an engine is a small sample of what all have there. Taken for the
    /// others' too, one request of a daemon among eighty would stand for eighty and fill every
    /// engine; so the average over all engines weighs in, the more the smaller the sample is.
    fn others_at(&self, own: u64) -> f64 {
        let mean = self.own_mean;
        let each = mean * (PRIOR_WEIGHT + own as f64) / (PRIOR_WEIGHT + mean);
        self.others * each
    }

    /// Engines over which a subject spreads that gets `part` of the requests.
    fn copies(&self, part: f64, slots: u32, engines: usize) -> usize {
        let at_each = (self.others + 1.0) * self.own_mean;
        let about_it = at_each * engines as f64 * part;
        let free = f64::from(slots) - at_each * (1.0 - part);
        let copies = (about_it / (free.max(1.0) * SUBJECT_SHARE)).ceil();
        (copies as usize).clamp(1, engines)
    }
}

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
    /// The engine of the highest rank for the prompt's subject whose load is bounded; where all are
    /// beyond the bound, the one with the least work before the request.
    ///
    /// Requests with the same subject find the same engine wherever they come in, without a word
    /// between daemons, so that what they share is read once. A subject that gets much of the
    /// traffic has several engines, and each daemon begins with another of them: a daemon of a large
    /// fleet has too few of its requests to see that an engine is full of them.
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
