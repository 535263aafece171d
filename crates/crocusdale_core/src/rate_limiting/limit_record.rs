use std::time::Duration;

use super::RequestRate;

/// What a daemon tells others of the rate that an upstream takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// Name of the upstream's life.
    pub upstream: String,
    /// Grows with each change that a daemon hears of the upstream.
    pub version: u64,
    /// The rate, or `None` if the upstream has ceased to name one.
    pub rate: Option<RequestRate>,
    /// Time since the teller knows that.
    pub age: Duration,
}
