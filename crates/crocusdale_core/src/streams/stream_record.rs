use std::time::Duration;

use super::{StreamKey, StreamOrigin};

/// Longest time for which the beginning of a stream is remembered. The caller comes back within the
/// deadline of its first attempt, but may state any deadline.
pub const MAX_RECORD_TIME: Duration = Duration::from_secs(600);

/// What daemons tell each other about the beginning of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Identity of the stream.
    pub key: StreamKey,
    /// Where its first event came from.
    pub origin: StreamOrigin,
    /// Time for which the caller may still come back, at most [`MAX_RECORD_TIME`].
    pub time_left: Duration,
}
