//! Estimates when the upstreams of a pool accept the next request.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::HomeRegions;
use crate::identity::MonotonicTime;
use crate::rate_limiting::{RateUse, TokenWait};
use crate::sync::lock;

/// Time before its deadline at which a request must reach an upstream. Covers the interval between
/// two checks of the queue and a short answer.
const PLACE_MARGIN: Duration = Duration::from_millis(250);

/// When the upstreams of a pool accept requests of this daemon.
#[derive(Clone, Debug)]
pub(super) enum PoolOpening {
    /// An upstream accepts requests as soon as a slot is free. The time of that is unknown.
    Open,
    /// At the times of the schedule. Every upstream limits its request rate or has asked this
    /// daemon to back off.
    Scheduled(TokenSchedule),
    /// Not at all: other daemons hold all shares of the upstreams' request rates. The duration is
    /// the shortest interval between two requests of all daemons to one of the upstreams.
    Elsewhere(Duration),
    /// Never: no upstream can be used.
    Never,
}

/// Ascending times from now at which the pool's upstreams accept one more request of this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenSchedule {
    /// For each upstream, its next time and the interval between two requests. The earliest comes
    /// first.
    next: BinaryHeap<Reverse<(Duration, Duration)>>,
}

impl TokenSchedule {
    fn add(&mut self, first: Duration, interval: Duration) {
        self.next.push(Reverse((first, interval)));
    }
}

impl Iterator for TokenSchedule {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let mut earliest = self.next.peek_mut()?;
        let Reverse((time, interval)) = *earliest;
        *earliest = Reverse((time + interval, interval));
        Some(time)
    }
}

impl PoolOpening {
    /// Time until an upstream accepts a request behind `queued` others, or the time after which a
    /// caller should retry. `None` if the time is unknown.
    fn wait(self, waiting: usize) -> Option<Duration> {
        match self {
            Self::Open | Self::Never => None,
            Self::Scheduled(mut schedule) => schedule.nth(waiting),
            Self::Elsewhere(wait) => Some(wait),
        }
    }
}

impl UpstreamRouter {
    /// Whether the upstream at `position` may get a request that has not been queued.
    ///
    /// Guards against starvation of queued requests: newer requests would take every token of a
    /// rate-limited upstream, and the queued ones would wait until their deadline.
    pub(super) fn is_within_rate(
        &self,
        routed: &RoutedPool,
        position: usize,
        now: MonotonicTime,
    ) -> bool {
        let upstream = &self.upstreams[position].rules.name;
        match self.limiter.wait(upstream, RateUse::Shared, now) {
            TokenWait::Unlimited => true,
            TokenWait::For { wait, .. } => wait.is_zero() && lock(&routed.pool).waiting() == 0,
            TokenWait::NoShare { .. } => false,
        }
    }

    /// Time after which a request like this may be retried. `None` if an upstream accepts it now or
    /// if the time is unknown.
    #[must_use]
    pub fn away_for(&self, request: &SlotRequest, now: MonotonicTime) -> Option<Duration> {
        let routed = self.pools.get(&request.stage)?;
        let opening = self.opening(routed, &request.homes, &request.tried, now);
        opening.wait(lock(&routed.pool).waiting()).filter(|wait| !wait.is_zero())
    }

    /// Whether any upstream of the pool is expected to accept `request` before its deadline.
    pub(super) fn is_servable(
        &self,
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> bool {
        let opening = self.opening(routed, &request.homes, &request.tried, now);
        match opening {
            PoolOpening::Open => true,
            PoolOpening::Elsewhere(_) | PoolOpening::Never => false,
            scheduled @ PoolOpening::Scheduled(_) => {
                let wait = scheduled.wait(lock(&routed.pool).waiting());
                wait.is_some_and(|wait| now + wait + PLACE_MARGIN < request.deadline)
            }
        }
    }

    /// Time after which a new request for `stage` should be retried, if the request rates of the
    /// pool's upstreams don't allow it before `deadline`. `None` if the request can be admitted.
    #[must_use]
    pub fn refused_for(
        &self,
        stage: &str,
        homes: &HomeRegions,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if !self.limiter.has_limits() {
            return None;
        }
        let routed = self.pools.get(stage)?;
        let opening = self.opening(routed, homes, &[], now);
        let is_elsewhere = matches!(opening, PoolOpening::Elsewhere(_));
        let wait = opening.wait(lock(&routed.pool).waiting())?;
        (is_elsewhere || now + wait + PLACE_MARGIN >= deadline).then_some(wait)
    }

    /// Removes queued attempts that can't be sent before their deadline, each with the time after
    /// which to retry it. This happens when upstreams lower their request rates or when more urgent
    /// attempts arrive.
    #[must_use]
    pub fn take_unservable(&self, now: MonotonicTime) -> Vec<(SlotRequest, Duration)> {
        let mut taken = Vec::new();
        if !self.limiter.has_limits() {
            return taken;
        }
        for routed in self.pools.values().filter(|routed| lock(&routed.pool).waiting() > 0) {
            let opening = self.opening(routed, &HomeRegions::default(), &[], now);
            let places: Box<dyn Iterator<Item = Option<Duration>>> = match opening {
                PoolOpening::Open | PoolOpening::Never => continue,
                PoolOpening::Scheduled(schedule) => Box::new(schedule.map(Some)),
                PoolOpening::Elsewhere(_) => Box::new(std::iter::repeat(None)),
            };
            let unservable = lock(&routed.pool).take_unservable(places, now + PLACE_MARGIN);
            let back = |request: SlotRequest| {
                let after = self.away_for(&request, now).unwrap_or_default();
                (request, after)
            };
            taken.extend(unservable.into_iter().map(back));
        }
        taken
    }

    fn opening(
        &self,
        routed: &RoutedPool,
        homes: &HomeRegions,
        tried: &[String],
        now: MonotonicTime,
    ) -> PoolOpening {
        let (mut schedule, mut elsewhere) = (TokenSchedule::default(), None::<Duration>);
        for position in routed.near.iter().chain(&routed.far).copied() {
            let upstream = &self.upstreams[position];
            let name = &upstream.rules.name;
            if tried.contains(name) || !homes.allow(self.region_of(position)) {
                continue;
            }
            let away = {
                let state = lock(&upstream.state);
                if state.is_leaving() {
                    continue;
                }
                state.away_for(now)
            };
            match self.limiter.wait(name, RateUse::Shared, now) {
                TokenWait::Unlimited if away.is_zero() => return PoolOpening::Open,
                // After its backoff, an upstream without a rate limit accepts all queued requests
                // at once.
                TokenWait::Unlimited => schedule.add(away, Duration::ZERO),
                TokenWait::For { wait, interval } => schedule.add(away.max(wait), interval),
                TokenWait::NoShare { interval } => {
                    let next = away.max(interval);
                    elsewhere = Some(elsewhere.map_or(next, |known| known.min(next)));
                }
            }
        }
        match elsewhere {
            _ if !schedule.next.is_empty() => PoolOpening::Scheduled(schedule),
            Some(wait) => PoolOpening::Elsewhere(wait),
            None => PoolOpening::Never,
        }
    }
}
