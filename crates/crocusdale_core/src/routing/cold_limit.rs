//! How many requests an upstream gets while it is cold.

use std::time::Duration;

use super::upstream_router::RoutedPool;
use super::{CONNECT_PATIENCE, UpstreamRouter, UpstreamState};
use crate::identity::MonotonicTime;
use crate::sync::lock;

/// Time within which a daemon sends no more than its share of a second's requests. A request is written
/// up to [`CONNECT_PATIENCE`] after its upstream was chosen, so that two that are chosen further apart
/// than this are written more than a second apart.
pub const SHARE_WINDOW: Duration =
    Duration::from_millis(1_000 + CONNECT_PATIENCE.as_millis() as u64);

/// How far an upstream may be pressed beyond the rate that it names for its cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests in one second, as a multiple of that rate.
    pub overshoot: f64,
    /// Requests in one second besides.
    pub slack: f64,
}

impl Default for ColdLimits {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

impl ColdLimits {
    /// Requests in one second that an upstream may get from all daemons, if it names `requests_per_s`.
    #[must_use]
    pub fn requests(self, requests_per_s: f64) -> u32 {
        // Never 0: an upstream that gets nothing is of no use to anybody.
        (requests_per_s * self.overshoot + self.slack).floor().max(1.0) as u32
    }
}

impl UpstreamRouter {
    /// Whether this daemon may send one more request to the upstream at `position` now.
    ///
    /// Guards against the crash of an upstream that has just started: it has the least load, so that it
    /// would be the next choice of every daemon at one time. What is cold, or may be, gets no more than the
    /// daemons' shares together.
    pub(super) fn is_within_share(
        &self,
        routed: &RoutedPool,
        position: usize,
        now: MonotonicTime,
    ) -> bool {
        let Some(cold) = routed.cold else { return true };
        let state = lock(&self.upstreams[position].state);
        if !state.may_be_cold(cold.lasts, now) {
            return true;
        }
        let limit = self.cold_limits.requests(cold.requests_per_s);
        let allowed = self.limiter.share_of(state.hash(), limit);
        state.sent_since(now, SHARE_WINDOW) < allowed as usize
    }

    /// Counts a request to an upstream with `state`, if its pool has cold starts.
    pub(super) fn count_send(routed: &RoutedPool, state: &mut UpstreamState, now: MonotonicTime) {
        if routed.cold.is_some() {
            state.note_send(now, SHARE_WINDOW);
        }
    }
}
