use super::RequestRate;

/// Content of an answer's header about the upstream's request rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateNotice {
    /// The answer has no such header: the upstream has no limit.
    #[default]
    Unlimited,
    /// The upstream accepts this request rate.
    Limited(RequestRate),
    /// The header is malformed or the answer came from another process. The known limit stays
    /// valid.
    Unreadable,
}
