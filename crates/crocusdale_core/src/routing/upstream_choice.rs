//! Which upstream of a pool a request goes to.

use std::sync::atomic::Ordering;

use rand::Rng as _;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::RoutingPolicy;
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Upstreams that are looked at in each zone before the whole pool is.
const SAMPLES: usize = 2;

impl UpstreamRouter {
    /// Looks at a few of the own zone, then of the others, then at all; when every one that could
    /// serve is ejected, takes an ejected one, so that ejection never closes a pool.
    pub(super) fn choose(
        &self,
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<usize> {
        if self.policy == RoutingPolicy::Baseline {
            return self.next_in_turn(routed);
        }
        if let (Some(rules), Some(demand)) = (&routed.engine, &request.demand) {
            return self.choose_engine(routed, rules, demand, request, now);
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

    pub(super) fn cost_if_usable(
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
        let full = ejected_at.is_some_and(|now| state.is_full(now));
        (!state.is_leaving() && !ejected && !full && state.has_room()).then(|| state.cost())
    }

    /// Whether any upstream of the pool could ever serve `request`.
    pub(super) fn has_hope(&self, routed: &RoutedPool, request: &SlotRequest) -> bool {
        routed.near.iter().chain(&routed.far).any(|position| {
            let upstream = &self.upstreams[*position];
            !request.tried.contains(&upstream.rules.name) && !lock(&upstream.state).is_leaving()
        })
    }
}
