use std::time::Duration;

use super::LoadNotice;
use crate::rate_limiting::RateNotice;

/// Status that an upstream reports about itself in the headers of an answer, with any status code.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Time for which this daemon must send the upstream no requests, as the upstream asked when it
    /// rejected a request. `None` if the answer doesn't ask for that.
    pub backoff: Option<Duration>,
    /// Longest remaining time of the upstream's cold start. `None` if it reports no cold start.
    pub cold_remaining: Option<Duration>,
    /// Request rate that the upstream accepts from all daemons together.
    pub rate: RateNotice,
    /// Load of the upstream.
    pub load: LoadNotice,
    /// Number of requests that the upstream bears to reject in a second for lack of capacity. It
    /// fails if it has to reject more. `None` if it reports no such limit.
    pub max_rejections: Option<u32>,
}

impl UpstreamNotice {
    /// Whether the notice reports nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
