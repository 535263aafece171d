//! Engines that a placement coordinator chooses for requests, and those that it may choose from.

use super::upstream_router::RoutedPool;
use super::{SlotGrant, SlotRequest, UpstreamRouter};
use crate::batching::PoolSection;
use crate::configuration::EngineRules;
use crate::identity::{MonotonicTime, stable_hash};
use crate::placement::EngineInfo;
use crate::sync::lock;

impl UpstreamRouter {
    /// Number of engines in the pool of `stage`, if a placement coordinator chooses among them:
    /// each engine has fewer slots than the fleet has daemons, so that a daemon knows less than one
    /// request in that many of the engine's requests.
    #[must_use]
    pub fn placed_engine_count(&self, stage: &str) -> Option<usize> {
        let routed = self.pools.get(stage)?;
        let is_placed = (routed.engine?.slots as usize) < self.daemon_count();
        is_placed.then_some(routed.same_zone.len() + routed.other_zones.len())
    }

    /// Rules and engines of a section of an engine pool, for its placement coordinator. `None` if
    /// the pool has no engines.
    ///
    /// Cold and rate-limited engines are left out: each daemon may only use its own share of them.
    #[must_use]
    pub fn section_engines(
        &self,
        section: &PoolSection,
        now: MonotonicTime,
    ) -> Option<(EngineRules, Vec<EngineInfo>)> {
        let routed = self.pools.get(&section.pool)?;
        let rules = routed.engine?;
        let positions = routed.same_zone.iter().chain(&routed.other_zones).copied();
        let engines = positions.filter_map(|position| {
            let upstream = &self.upstreams[position];
            let name = &upstream.rules.name;
            let is_usable =
                section.contains_hash(stable_hash(&[name])) && !self.limiter.is_limited(name) && {
                    let state = lock(&upstream.state);
                    !state.is_leaving()
                        && routed.cold.is_none_or(|cold| !state.may_be_cold(cold.duration, now))
                };
            is_usable.then(|| EngineInfo {
                name: name.clone(),
                zone: upstream.rules.zone.clone(),
                region: self.region_of(position).map(str::to_owned),
                software_version: upstream.rules.software_version.clone(),
            })
        });
        Some((rules, engines.collect()))
    }

    /// Assigns the engine `upstream`, which a placement coordinator has chosen.
    ///
    /// # Errors
    ///
    /// Returns the request if this router does not know the upstream or does not allow it.
    pub fn acquire_at(
        &self,
        request: SlotRequest,
        upstream: &str,
        now: MonotonicTime,
    ) -> Result<SlotGrant, Box<SlotRequest>> {
        let Some(routed) = self.pools.get(&request.stage) else { return Err(Box::new(request)) };
        let is_in_pool =
            |position: &usize| self.upstreams[*position].pools.contains(&request.stage);
        let position = self.positions.get(upstream).copied().filter(is_in_pool);
        let usable = position.filter(|position| {
            self.has_brittle_capacity(routed, now)
                && self.cost_if_usable(routed, *position, &request, true, now).is_some()
        });
        let Some(position) = usable else { return Err(Box::new(request)) };
        Self::record_first_attempt(routed, &request, now);
        Ok(self.grant(position, request, now))
    }

    /// Records the first attempt of a request for the retry budget and the traffic of its prompt
    /// prefix.
    pub(super) fn record_first_attempt(
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) {
        if !request.failed_upstreams.is_empty() {
            return;
        }
        let mut queue = lock(&routed.queue);
        queue.retry_budget.record_first_attempt(now);
        // The subject is the last segment of the prompt prefix that other requests may share.
        if let Some(prefix) = request.demand.as_ref().and_then(|demand| demand.last_shared_part()) {
            queue.prefixes.record(prefix.id, now);
        }
    }
}
