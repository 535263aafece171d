//! Chooses the upstream of a pool for a request.

use std::sync::atomic::Ordering;

use rand::Rng as _;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::RoutingPolicy;
use crate::identity::MonotonicTime;
use crate::rate_limiting::RateUse;
use crate::sync::lock;

/// Number of upstreams that are sampled at random before a whole list is searched.
const SAMPLE_SIZE: usize = 2;

impl UpstreamRouter {
    /// Chooses the cheapest usable upstream. Samples the daemon's own availability zone, searches
    /// all of that zone, and then does the same for the other zones. If every upstream of the pool
    /// is ejected, leaving or backing off, chooses an ejected one, so that ejections alone never
    /// block a whole pool.
    pub(super) fn choose(
        &self,
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<usize> {
        if self.policy == RoutingPolicy::Baseline {
            return self.next_round_robin(routed, request, now);
        }
        if let (Some(rules), Some(demand)) = (&routed.engine, &request.demand) {
            return self.choose_engine(routed, rules, demand, request, now);
        }
        let healthy = |position: usize| self.cost_if_usable(routed, position, request, true, now);
        let any_state =
            |position: usize| self.cost_if_usable(routed, position, request, false, now);
        self.cheapest_of(&self.sample(&routed.same_zone), healthy)
            .or_else(|| self.cheapest_of(&routed.same_zone, healthy))
            .or_else(|| self.cheapest_of(&self.sample(&routed.other_zones), healthy))
            .or_else(|| self.cheapest_of(&routed.other_zones, healthy))
            .or_else(|| {
                let positions: Vec<usize> =
                    routed.same_zone.iter().chain(&routed.other_zones).copied().collect();
                let is_exhausted = positions.iter().all(|position| {
                    lock(&self.upstreams[*position].state).is_ejected(now)
                        || lock(&self.upstreams[*position].state).is_leaving()
                        || !lock(&self.upstreams[*position].state).backoff_left(now).is_zero()
                });
                if is_exhausted { self.cheapest_of(&positions, any_state) } else { None }
            })
    }

    /// Round-robin choice, used by the baseline policy. Skips upstreams that are leaving, that
    /// asked to back off, that are over their request rate or that are in a region or of a version
    /// that the request doesn't allow. Ignores failures and load.
    fn next_round_robin(
        &self,
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> Option<usize> {
        let positions: Vec<usize> =
            routed.same_zone.iter().chain(&routed.other_zones).copied().collect();
        let start = self.round_robin_index.fetch_add(1, Ordering::Relaxed);
        let mut from_start =
            positions.iter().cycle().skip(start % positions.len().max(1)).take(positions.len());
        let is_usable = |position: &&usize| {
            let state = lock(&self.upstreams[**position].state);
            let is_region_allowed = request.allowed_regions.allows(self.region_of(**position));
            let is_version_allowed = self.allows_version(request, **position);
            let is_within_quota =
                self.limiter.allows(&self.upstreams[**position].rules.name, RateUse::Shared, now);
            is_region_allowed
                && is_version_allowed
                && is_within_quota
                && !state.is_leaving()
                && state.backoff_left(now).is_zero()
        };
        from_start.find(is_usable).copied()
    }

    fn sample(&self, positions: &[usize]) -> Vec<usize> {
        if positions.is_empty() {
            return Vec::new();
        }
        let mut random = lock(&self.random);
        (0..SAMPLE_SIZE).map(|_| positions[random.random_range(0..positions.len())]).collect()
    }

    fn cheapest_of(
        &self,
        positions: &[usize],
        cost: impl Fn(usize) -> Option<f64>,
    ) -> Option<usize> {
        let usable = positions.iter().filter_map(|position| Some((cost(*position)?, *position)));
        usable.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, position)| position)
    }

    /// Cost of the upstream at `position`, or `None` if it can't be chosen. With `require_healthy`,
    /// an ejected upstream or one that recently declined an attempt can't be chosen either.
    pub(super) fn cost_if_usable(
        &self,
        routed: &RoutedPool,
        position: usize,
        request: &SlotRequest,
        require_healthy: bool,
        now: MonotonicTime,
    ) -> Option<f64> {
        let upstream = &self.upstreams[position];
        if request.failed_upstreams.contains(&upstream.rules.name) {
            return None;
        }
        if !request.allowed_regions.allows(self.region_of(position))
            || !self.allows_version(request, position)
        {
            return None;
        }
        if !self.is_within_cold_limit(routed, position, now)
            || !self.is_within_rate(routed, position, now)
        {
            return None;
        }
        let state = lock(&upstream.state);
        // The few upstreams of a stream's version would reject it over and over while it could wait.
        let is_unhealthy = if require_healthy {
            state.is_ejected(now) || state.is_full(now)
        } else {
            request.allowed_version.is_restricted() && state.is_full(now)
        };
        let is_accepting = !state.is_leaving() && state.backoff_left(now).is_zero();
        (is_accepting && !is_unhealthy && state.has_free_slot()).then(|| state.cost(now))
    }
}
