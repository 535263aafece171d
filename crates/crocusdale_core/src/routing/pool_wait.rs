//! When the upstreams of a pool want the next request.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::HomeRegions;
use crate::identity::MonotonicTime;
use crate::rate_limiting::{RateUse, TokenWait};
use crate::sync::lock;

/// Time before its deadline at which a request must have its place: the pause between two looks at waiting
/// work, and a short answer.
const PLACE_MARGIN: Duration = Duration::from_millis(250);

/// When a pool can take requests of this daemon.
#[derive(Clone, Debug)]
pub(super) enum PoolOpening {
    /// Once an upstream has room, for which no time is known.
    Open,
    /// At these times: each upstream has turned the daemon away, or names a rate.
    Scheduled(TokenSchedule),
    /// Not for this daemon, as others have all places. Of these, the next comes in this time.
    Elsewhere(Duration),
    /// Never: there is no upstream.
    Never,
}

/// Times at which upstreams take one more request of this daemon, from now on.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenSchedule {
    /// Next time of each upstream, with the time between two.
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
    /// Time until a request gets a place before which `waiting` others do, or when a caller should come
    /// back, if that can be told.
    fn wait(self, waiting: usize) -> Option<Duration> {
        match self {
            Self::Open | Self::Never => None,
            Self::Scheduled(mut schedule) => schedule.nth(waiting),
            Self::Elsewhere(wait) => Some(wait),
        }
    }
}

impl UpstreamRouter {
    /// Whether the upstream at `position` may get a request that has not waited.
    ///
    /// Guards against requests that wait until their deadline while later ones take each place: those that
    /// wait get it first.
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

    /// Time after which an upstream wants requests like this again, if none does now.
    #[must_use]
    pub fn away_for(&self, request: &SlotRequest, now: MonotonicTime) -> Option<Duration> {
        let routed = self.pools.get(&request.stage)?;
        let opening = self.opening(routed, &request.homes, &request.tried, now);
        opening.wait(lock(&routed.pool).waiting()).filter(|wait| !wait.is_zero())
    }

    /// Whether any upstream of the pool could serve `request` before its deadline.
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

    /// Time after which a request for `stage` that has not begun should come back, if the rates that the
    /// upstreams of its pool name leave it no place before `deadline`.
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

    /// Takes out attempts that wait and can't have a place before their deadline, each with the time after
    /// which there is one: rates have fallen, or more urgent attempts have come.
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
                // Once it wants requests again, it takes all that wait.
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
