use std::time::Duration;

/// What callers may send and how long they may take, as the operator declares it. A process that is
/// set to take more goes on taking it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time for which a caller may leave a connection idle and use it again.
    pub idle_time: Duration,
}
