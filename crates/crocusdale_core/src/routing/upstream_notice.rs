use std::time::Duration;

/// What an upstream says of itself in an answer, whatever it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time for which it wants nothing more from this daemon, if it turned a request away.
    pub stay_away: Option<Duration>,
}

impl UpstreamNotice {
    /// Whether it says anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
