use super::OutcomeKind;

/// Number of attempts of one request that ran or may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts of which at least one byte may have been written to an upstream.
    pub sent: u32,
    /// Attempts that certainly ran, because the upstream answered them, even if only with an error.
    pub ran: u32,
}

impl AttemptCounts {
    /// Outcome of a request that gets no answer.
    ///
    /// The outcome is "unknown" only if neither "refused" (not run) nor "failed" (ran) can be
    /// proved. If the request is not `repeatable`, one attempt without a reply is enough for
    /// "unknown", because the caller has to know whether exactly that attempt ran.
    #[must_use]
    pub fn verdict(self, repeatable: bool) -> OutcomeKind {
        debug_assert!(self.ran <= self.sent);
        if self.sent == 0 {
            OutcomeKind::Refused
        } else if self.ran == 0 || (!repeatable && self.ran < self.sent) {
            OutcomeKind::Unknown
        } else {
            OutcomeKind::Failed
        }
    }
}
