use super::OutcomeKind;

/// Number of attempts of one request that ran or may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts of which at least one byte may have been written to an upstream.
    pub possibly_sent: u32,
    /// Attempts that certainly ran, because the upstream answered them, even if only with an error.
    pub executed: u32,
}

impl AttemptCounts {
    /// Outcome of a request that gets no answer.
    ///
    /// The outcome is "unknown" only if neither "refused" (not run) nor "failed" (ran) can be
    /// proved. If the request is not `repeatable`, one attempt without a reply is enough for
    /// "unknown", because the caller has to know whether exactly that attempt ran.
    #[must_use]
    pub fn outcome_kind(self, repeatable: bool) -> OutcomeKind {
        debug_assert!(self.executed <= self.possibly_sent);
        if self.possibly_sent == 0 {
            OutcomeKind::Refused
        } else if self.executed == 0 || (!repeatable && self.executed < self.possibly_sent) {
            OutcomeKind::Unknown
        } else {
            OutcomeKind::Failed
        }
    }
}
