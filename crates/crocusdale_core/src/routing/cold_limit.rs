//! Limits how many requests an upstream gets during its cold start.

use std::time::Duration;

use super::upstream_router::RoutedPool;
use super::{CONNECT_TIMEOUT, UpstreamRouter, UpstreamState};
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Length of the sliding window in which a daemon sends no more than its share of one second's
/// requests. A request is written up to [`CONNECT_TIMEOUT`] after its upstream was chosen. The
/// window is longer than a second by that time, so that requests in different windows are written
/// more than a second apart.
pub const SEND_WINDOW: Duration = Duration::from_millis(1_000 + CONNECT_TIMEOUT.as_millis() as u64);

/// Tolerance for the load on a cold upstream, above the rate that its pool declares for cold
/// starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests per second, as a multiple of the declared rate.
    pub overshoot: f64,
    /// Requests per second that are allowed on top of the multiple.
    pub slack: f64,
}

impl Default for ColdLimits {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

impl ColdLimits {
    /// Number of requests that all daemons together may send to a cold upstream in one second, if
    /// its pool declares `requests_per_s`. At least 1.
    #[must_use]
    pub fn requests(self, requests_per_s: f64) -> u32 {
        // At 0 the upstream would never get a request.
        (requests_per_s * self.overshoot + self.slack).floor().max(1.0) as u32
    }
}

impl UpstreamRouter {
    /// Whether this daemon may send one more request to the upstream at `position` now.
    ///
    /// Guards against overloading an upstream that has just started. It has the least load, so that
    /// every daemon would choose it at the same time, and it would crash. An upstream that is cold,
    /// or may be, gets no more than the sum of the daemons' shares.
    pub(super) fn is_within_cold_limit(
        &self,
        routed: &RoutedPool,
        position: usize,
        now: MonotonicTime,
    ) -> bool {
        let Some(cold) = routed.cold else { return true };
        let state = lock(&self.upstreams[position].state);
        if !state.may_be_cold(cold.duration, now) {
            return true;
        }
        let limit = self.cold_limits.requests(cold.requests_per_s);
        let share = self.limiter.share_of(state.hash(), limit);
        state.recent_send_count(now, SEND_WINDOW) < share as usize
    }

    /// Records a request to an upstream, if its pool has cold starts.
    pub(super) fn record_send(routed: &RoutedPool, state: &mut UpstreamState, now: MonotonicTime) {
        if routed.cold.is_some() {
            state.record_send(now, SEND_WINDOW);
        }
    }
}
