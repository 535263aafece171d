//! Pools whose upstreams fail if they have to reject many requests for lack of capacity.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::UpstreamRouter;
use super::upstream_router::RoutedPool;
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Part of the rejections per second that an upstream bears, one in this many, which all daemons
/// together may cause.
const REJECTION_DIVISOR: f64 = 2.0;
/// Share of the slots that daemons without slots of their own use on average. The rest absorbs
/// requests that they send at the same time.
const USED_SLOT_SHARE: f64 = 0.8;
/// Time in which an upstream answers a request if no answer was measured.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Bounds of the time for which a daemon sends nothing to a brittle upstream that has rejected one of
/// its requests.
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));

/// Time for which one of `daemons` daemons sends nothing to an upstream that has rejected one of its
/// requests, so that all of them together cause half of the `max_rejections` per second that the
/// upstream bears.
#[must_use]
pub fn brittle_backoff(daemons: usize, max_rejections: u32) -> Duration {
    let seconds = daemons as f64 * REJECTION_DIVISOR / f64::from(max_rejections.max(1));
    Duration::from_secs_f64(seconds).clamp(BACKOFF_BOUNDS.0, BACKOFF_BOUNDS.1)
}

impl UpstreamRouter {
    /// Records that `upstream` announced at `now` that it fails if it has to reject more than
    /// `max_rejections` requests in a second. Counts for all upstreams of its pools.
    pub fn record_brittle(&self, upstream: &str, max_rejections: u32, now: MonotonicTime) {
        let Some(upstream) = self.upstream(upstream) else { return };
        for routed in upstream.pools.iter().filter_map(|stage| self.pools.get(stage)) {
            lock(&routed.brittle).announce(max_rejections, now);
        }
    }

    /// Whether this daemon may send one more request to the pool. While its upstreams are brittle, a
    /// daemon has no more requests in flight than its share of all their slots. If there are fewer
    /// slots than daemons, it sends one request at a time, and no more of them than its share of what
    /// the slots can process.
    ///
    /// Guards against bursts in which every daemon fills every upstream, so that each upstream has to
    /// reject many requests at once.
    pub(super) fn has_brittle_capacity(&self, routed: &RoutedPool, now: MonotonicTime) -> bool {
        let notice = *lock(&routed.brittle);
        if notice.max_rejections(now).is_none() {
            return true;
        }
        let positions = routed.same_zone.iter().chain(&routed.other_zones);
        let (mut slots, mut in_flight) = (0, 0);
        for position in positions {
            let upstream = &self.upstreams[*position];
            slots += upstream.rules.concurrency as usize;
            in_flight += lock(&upstream.state).in_flight() as usize;
        }
        let daemons = self.daemons.load(Ordering::Relaxed).max(1);
        if daemons <= slots {
            return in_flight < slots / daemons;
        }
        let answer_time = lock(&routed.queue).answer_time().unwrap_or(DEFAULT_ANSWER_TIME);
        let used_slots = slots.max(1) as f64 * USED_SLOT_SHARE;
        let interval = answer_time.mul_f64(daemons as f64 / used_slots);
        in_flight == 0 && notice.last_send.is_none_or(|last| now.since(last) >= interval)
    }

    /// Records that this daemon sends a request to the pool.
    pub(super) fn record_brittle_send(routed: &RoutedPool, now: MonotonicTime) {
        lock(&routed.brittle).last_send = Some(now);
    }

    /// Time for which an upstream of the pool that has rejected a request gets no other one from this
    /// daemon. `None` if the pool is not brittle.
    pub(super) fn rejection_backoff(
        &self,
        routed: &RoutedPool,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let max_rejections = lock(&routed.brittle).max_rejections(now)?;
        Some(brittle_backoff(self.daemons.load(Ordering::Relaxed), max_rejections))
    }
}
