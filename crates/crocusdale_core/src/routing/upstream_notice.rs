use std::time::Duration;

use crate::rate_limiting::RateNotice;

/// What an upstream says of itself in an answer, whatever it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time for which it wants nothing more from this daemon, if it turned a request away.
    pub stay_away: Option<Duration>,
    /// Time for which it stays cold at most, if it has started of late.
    pub cold: Option<Duration>,
    /// Requests that it takes from all daemons together.
    pub rate: RateNotice,
}

impl UpstreamNotice {
    /// Whether it says anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
