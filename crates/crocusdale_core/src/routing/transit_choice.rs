//! Upstreams behind failed links, and those that this daemon sends requests to on behalf of other
//! daemons.

use super::UpstreamRouter;
use crate::identity::MonotonicTime;
use crate::rate_limiting::RateUse;
use crate::reachability::{TransitGrant, TransitRefusal};
use crate::sync::lock;

impl UpstreamRouter {
    /// Availability zone of the upstream `name`. `None` if it is unknown.
    #[must_use]
    pub fn upstream_zone(&self, name: &str) -> Option<&str> {
        self.upstream(name).map(|upstream| upstream.rules.zone.as_str())
    }

    /// Whether the upstream `name` gets no new work because it is leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.upstream(name).is_some_and(|upstream| lock(&upstream.state).is_leaving())
    }

    /// Forgets the failed attempts at all upstreams of `pool`.
    pub fn forget_failures(&self, pool: &str) {
        let Some(routed) = self.pools.get(pool) else { return };
        for position in routed.same_zone.iter().chain(&routed.other_zones) {
            lock(&self.upstreams[*position].state).forget_failures();
        }
    }

    /// Address of the upstream `name` for a request of another daemon, which counts against this
    /// daemon's share of the upstream's limits. Returns `None` if the upstream is not in `pool`.
    ///
    /// # Errors
    ///
    /// Returns why the upstream must not get a request of this daemon now.
    pub fn grant_transit(
        &self,
        pool: &str,
        name: &str,
        now: MonotonicTime,
    ) -> Result<Option<TransitGrant>, TransitRefusal> {
        let Some(position) = self.positions.get(name).copied() else { return Ok(None) };
        let upstream = &self.upstreams[position];
        let Some(routed) =
            self.pools.get(pool).filter(|_| upstream.pools.iter().any(|own| own == pool))
        else {
            return Ok(None);
        };
        if !self.is_within_cold_limit(routed, position, now)
            || !self.has_brittle_capacity(routed, now)
            || !self.limiter.allows(name, RateUse::Shared, now)
        {
            return Err(TransitRefusal::OverLimit);
        }
        let mut state = lock(&upstream.state);
        if state.is_leaving() {
            return Err(TransitRefusal::Leaving);
        }
        if !state.backoff_left(now).is_zero() {
            return Err(TransitRefusal::OverLimit);
        }
        Self::record_send(routed, &mut state, now);
        drop(state);
        self.limiter.take_token(name);
        Ok(Some(TransitGrant {
            address: upstream.rules.address,
            max_idle_connections: self.max_idle_connections(pool),
        }))
    }
}
