//! Estimates when the upstreams of a pool accept the next request.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::upstream_router::RoutedPool;
use super::{SlotRequest, UpstreamRouter};
use crate::configuration::{AllowedRegions, UpstreamRules};
use crate::identity::MonotonicTime;
use crate::rate_limiting::{RateUse, TokenWait};
use crate::streams::AllowedVersion;
use crate::sync::lock;

/// Time before its deadline at which a request must reach an upstream. Covers the interval between
/// two checks of the queue and a short answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// When the upstreams of a pool accept requests of this daemon.
#[derive(Clone, Debug)]
pub(super) enum PoolAvailability {
    /// An upstream accepts requests as soon as a slot is free. The time of that is unknown.
    Available,
    /// At the times of the schedule. Every upstream limits its request rate or has asked this
    /// daemon to back off.
    Scheduled(TokenSchedule),
    /// Not at all: other daemons hold all shares of the upstreams' request rates. The duration is
    /// the shortest interval between two requests of all daemons to one of the upstreams.
    NoShare(Duration),
    /// Never: no upstream can be used.
    NoUpstream,
}

/// Ascending times from now at which the pool's upstreams accept one more request of this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenSchedule {
    /// For each upstream, its next time and the interval between two requests. The earliest comes
    /// first.
    next_times: BinaryHeap<Reverse<(Duration, Duration)>>,
}

impl TokenSchedule {
    fn add(&mut self, first: Duration, interval: Duration) {
        self.next_times.push(Reverse((first, interval)));
    }
}

impl Iterator for TokenSchedule {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let mut earliest = self.next_times.peek_mut()?;
        let Reverse((time, interval)) = *earliest;
        *earliest = Reverse((time + interval, interval));
        Some(time)
    }
}

/// Upstreams that may run a request.
#[derive(Clone, Copy, Debug)]
struct UpstreamFilter<'a> {
    allowed_regions: &'a AllowedRegions,
    allowed_version: &'a AllowedVersion,
    failed_upstreams: &'a [String],
}

impl<'a> UpstreamFilter<'a> {
    fn in_regions(allowed_regions: &'a AllowedRegions) -> Self {
        Self { allowed_regions, allowed_version: &AllowedVersion::Any, failed_upstreams: &[] }
    }

    fn allows(&self, upstream: &UpstreamRules, region: Option<&str>) -> bool {
        !self.failed_upstreams.contains(&upstream.name)
            && self.allowed_regions.allows(region)
            && self.allowed_version.allows(upstream.software_version.as_ref())
    }
}

impl<'a> From<&'a SlotRequest> for UpstreamFilter<'a> {
    fn from(request: &'a SlotRequest) -> Self {
        Self {
            allowed_regions: &request.allowed_regions,
            allowed_version: &request.allowed_version,
            failed_upstreams: &request.failed_upstreams,
        }
    }
}

impl PoolAvailability {
    /// Time until an upstream accepts a request behind `queued` others, or the time after which a
    /// caller should retry. `None` if the time is unknown.
    fn wait_behind(self, queued: usize) -> Option<Duration> {
        match self {
            Self::Available | Self::NoUpstream => None,
            Self::Scheduled(mut schedule) => schedule.nth(queued),
            Self::NoShare(wait) => Some(wait),
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
            TokenWait::For { wait, .. } => {
                wait.is_zero() && lock(&routed.queue).waiting_count() == 0
            }
            TokenWait::NoShare { .. } => false,
        }
    }

    /// Time after which a request like this may be retried. `None` if an upstream accepts it now or
    /// if the time is unknown.
    #[must_use]
    pub fn retry_delay(&self, request: &SlotRequest, now: MonotonicTime) -> Option<Duration> {
        let routed = self.pools.get(&request.stage)?;
        let availability = self.availability(routed, &UpstreamFilter::from(request), now);
        availability.wait_behind(lock(&routed.queue).waiting_count()).filter(|wait| !wait.is_zero())
    }

    /// Whether any upstream of the pool is expected to accept `request` before its deadline.
    pub(super) fn is_servable(
        &self,
        routed: &RoutedPool,
        request: &SlotRequest,
        now: MonotonicTime,
    ) -> bool {
        let availability = self.availability(routed, &UpstreamFilter::from(request), now);
        match availability {
            PoolAvailability::Available => true,
            PoolAvailability::NoShare(_) | PoolAvailability::NoUpstream => false,
            scheduled @ PoolAvailability::Scheduled(_) => {
                let wait = scheduled.wait_behind(lock(&routed.queue).waiting_count());
                wait.is_some_and(|wait| now + wait + DEADLINE_MARGIN < request.deadline)
            }
        }
    }

    /// Time after which a new request for `stage` should be retried, if the request rates of the
    /// pool's upstreams don't allow it before `deadline`. `None` if the request can be admitted.
    #[must_use]
    pub fn admission_delay(
        &self,
        stage: &str,
        allowed_regions: &AllowedRegions,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if !self.limiter.has_limits() {
            return None;
        }
        let routed = self.pools.get(stage)?;
        let filter = UpstreamFilter::in_regions(allowed_regions);
        let availability = self.availability(routed, &filter, now);
        let has_no_share = matches!(availability, PoolAvailability::NoShare(_));
        let wait = availability.wait_behind(lock(&routed.queue).waiting_count())?;
        (has_no_share || now + wait + DEADLINE_MARGIN >= deadline).then_some(wait)
    }

    /// Removes queued attempts that can't be sent before their deadline, each with the time after
    /// which to retry it. This happens when upstreams lower their request rates or when more urgent
    /// attempts arrive.
    #[must_use]
    pub fn take_unservable(&self, now: MonotonicTime) -> Vec<(SlotRequest, Duration)> {
        let (mut taken, all_regions) = (Vec::new(), AllowedRegions::default());
        if !self.limiter.has_limits() {
            return taken;
        }
        for routed in self.pools.values().filter(|routed| lock(&routed.queue).waiting_count() > 0) {
            let filter = UpstreamFilter::in_regions(&all_regions);
            let availability = self.availability(routed, &filter, now);
            let slots: Box<dyn Iterator<Item = Option<Duration>>> = match availability {
                PoolAvailability::Available | PoolAvailability::NoUpstream => continue,
                PoolAvailability::Scheduled(schedule) => Box::new(schedule.map(Some)),
                PoolAvailability::NoShare(_) => Box::new(std::iter::repeat(None)),
            };
            let unservable = lock(&routed.queue).take_unservable(slots, now + DEADLINE_MARGIN);
            let with_retry_after = |request: SlotRequest| {
                let retry_after = self.retry_delay(&request, now).unwrap_or_default();
                (request, retry_after)
            };
            taken.extend(unservable.into_iter().map(with_retry_after));
        }
        taken
    }

    fn availability(
        &self,
        routed: &RoutedPool,
        filter: &UpstreamFilter<'_>,
        now: MonotonicTime,
    ) -> PoolAvailability {
        let (mut schedule, mut no_share) = (TokenSchedule::default(), None::<Duration>);
        for position in routed.same_zone.iter().chain(&routed.other_zones).copied() {
            let upstream = &self.upstreams[position];
            let name = &upstream.rules.name;
            if !filter.allows(&upstream.rules, self.region_of(position)) {
                continue;
            }
            let backoff = {
                let state = lock(&upstream.state);
                if state.is_leaving() {
                    continue;
                }
                state.backoff_left(now)
            };
            match self.limiter.wait(name, RateUse::Shared, now) {
                TokenWait::Unlimited if backoff.is_zero() => return PoolAvailability::Available,
                // After its backoff, an upstream without a rate limit accepts all queued requests
                // at once.
                TokenWait::Unlimited => schedule.add(backoff, Duration::ZERO),
                TokenWait::For { wait, interval } => schedule.add(backoff.max(wait), interval),
                TokenWait::NoShare { interval } => {
                    let next_interval = backoff.max(interval);
                    no_share = Some(
                        no_share.map_or(next_interval, |shortest| shortest.min(next_interval)),
                    );
                }
            }
        }
        match no_share {
            _ if !schedule.next_times.is_empty() => PoolAvailability::Scheduled(schedule),
            Some(wait) => PoolAvailability::NoShare(wait),
            None => PoolAvailability::NoUpstream,
        }
    }
}
