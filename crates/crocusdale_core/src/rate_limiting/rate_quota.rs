use std::time::Duration;

use super::{RateShare, RequestRate};
use crate::routing::CONNECT_TIMEOUT;

/// Length of the sliding windows in which the requests to a rate-limited upstream are bounded.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Bound for the requests in a window, as a multiple of what the rate allows.
const LIMIT_MULTIPLE: f64 = 1.5;
/// Requests per window that are allowed on top of the multiple.
pub const LIMIT_SLACK: f64 = 5.0;
/// Lowest rate at which an upstream is called, in requests per second. An upstream with a rate of
/// zero still gets probe requests, to detect when its limit ends.
const MIN_PROBE_RATE_PER_S: f64 = 0.1;

/// Which daemons send requests to a rate-limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateUse {
    /// All daemons, each with its share of the rate.
    Shared,
    /// Only the dispatcher of the upstream's pool, with the whole rate.
    Sole,
}

/// Share of an upstream's request rate that one daemon may use.
///
/// The number of requests in a window is at most the sum of all bucket depths, plus the tokens that
/// all daemons gain during the window and the delay of a write. The depths use the margin between
/// the rate and the bound, so that the full rate stays available.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateQuota {
    /// Depth of the token bucket: number of requests that may be sent at once.
    pub depth: u32,
    /// Fill rate of the token bucket, in tokens per second.
    pub per_second: f64,
}

impl RateQuota {
    /// Quota at an upstream that accepts `rate` and whose name has the hash `hash`. `None` if this
    /// daemon has no share.
    #[must_use]
    pub fn new(rate: RequestRate, hash: u64, share: &RateShare, rate_use: RateUse) -> Option<Self> {
        let per_second = rate.per_second().max(MIN_PROBE_RATE_PER_S);
        if rate_use == RateUse::Sole {
            return Some(Self { depth: 1, per_second });
        }
        let burst = fleet_burst(rate.per_second());
        let depth = share.request_share(hash, burst);
        let sharing_daemons = share.daemons().min(burst as usize) as f64;
        (depth > 0).then_some(Self { depth, per_second: per_second / sharing_daemons })
    }
}

/// Number of requests that all daemons together may send at once.
fn fleet_burst(per_second: f64) -> u32 {
    let window = LIMIT_WINDOW.as_secs_f64();
    let sustained = (window + CONNECT_TIMEOUT.as_secs_f64()) * per_second;
    let bound = window * per_second * LIMIT_MULTIPLE + LIMIT_SLACK;
    (bound - sustained).floor() as u32
}

/// Interval between two requests to an upstream that accepts `rate`, from all daemons together.
pub(super) fn fleet_interval(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.per_second().max(MIN_PROBE_RATE_PER_S))
}
