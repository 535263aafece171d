use std::time::Duration;

/// Limits on request size and time that the operator declares for callers. A process whose
/// own settings allow more keeps its higher limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time for which a caller may leave a connection idle before it reuses it.
    pub idle_timeout: Duration,
}
