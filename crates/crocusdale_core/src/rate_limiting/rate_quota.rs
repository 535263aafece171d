use std::time::Duration;

use super::{RateShare, RequestRate};
use crate::routing::CONNECT_PATIENCE;

/// Length of the windows in which all requests to a limited upstream are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window, as a multiple of what the rate allows.
const LIMIT_OVERSHOOT: f64 = 1.5;
/// Requests in a window besides.
pub const LIMIT_SLACK: f64 = 5.0;
/// Least rate at which an upstream is called, in requests a second: one that takes nothing must still be
/// asked whether that has ended.
const TRIAL_RATE: f64 = 0.1;

/// Who sends requests to a limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateUse {
    /// Every daemon, its share of them.
    Shared,
    /// The one dispatcher of the upstream's pool.
    Sole,
}

/// Part of an upstream's rate that one daemon may use.
///
/// A window holds no more than the depths of all daemons and what comes in meanwhile, for as long as the
/// window and the delay of a write last. The depths come from what the bound leaves beyond the rate, so
/// that the rate itself is used whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateQuota {
    /// Requests that may be sent at one moment.
    pub depth: u32,
    /// Requests a second.
    pub per_second: f64,
}

impl RateQuota {
    /// Quota at an upstream with `hash` that takes `rate`, if there is any.
    #[must_use]
    pub fn new(rate: RequestRate, hash: u64, share: &RateShare, rate_use: RateUse) -> Option<Self> {
        let per_second = rate.per_second().max(TRIAL_RATE);
        if rate_use == RateUse::Sole {
            return Some(Self { depth: 1, per_second });
        }
        let seats = burst_seats(rate.per_second());
        let depth = share.of(hash, seats);
        let holders = share.daemons().min(seats as usize) as f64;
        (depth > 0).then_some(Self { depth, per_second: per_second / holders })
    }
}

/// Requests that all daemons together may send at one moment.
fn burst_seats(per_second: f64) -> u32 {
    let window = LIMIT_WINDOW.as_secs_f64();
    let steady = (window + CONNECT_PATIENCE.as_secs_f64()) * per_second;
    let allowed = window * per_second * LIMIT_OVERSHOOT + LIMIT_SLACK;
    (allowed - steady).floor() as u32
}

/// Time between two requests at `rate`, as the daemons together send them.
pub(super) fn fleet_interval(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.per_second().max(TRIAL_RATE))
}
