use std::time::Duration;

/// Time after which callers abandon a stream whose first event has not arrived, although their
/// deadline may be later. It is the longest of three times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonRules {
    /// Shortest time that callers wait for the first event.
    pub min_time: Duration,
    /// Number of latency objectives that callers wait.
    pub objectives: u32,
    /// Number of gap targets that callers wait. A gap target is the longest pause between events
    /// for which an answer is on time.
    pub gaps: u32,
}

impl AbandonRules {
    /// Time that the caller of a stream with the given latency objective and gap target waits for
    /// the first event.
    #[must_use]
    pub fn first_event_timeout(&self, objective: Duration, gap_target: Duration) -> Duration {
        self.min_time.max(objective * self.objectives).max(gap_target * self.gaps)
    }
}
