use super::OutcomeKind;

/// What is known of the attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunEvidence {
    /// Attempts of which at least a byte may have been written.
    pub sent: u32,
    /// Attempts that certainly ran: they were answered, if only with an error.
    pub ran: u32,
}

impl RunEvidence {
    /// What may be said of a request that gets no answer.
    ///
    /// "Unknown" is said only where neither "not run" nor "it ran" can be proved. For a request
    /// that must not be repeated, one attempt without a reply is enough for "unknown": whether
    /// that attempt ran is what the caller has to know.
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
