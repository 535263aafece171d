use std::time::Duration;

use super::RequestRate;

/// Gossip message about the request rate that an upstream accepts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// Name of the upstream, which is unique to this run of its process.
    pub upstream: String,
    /// Version of the record, which a daemon increases with each new rate that it receives from the
    /// upstream.
    pub version: u64,
    /// Request rate, or `None` if the upstream no longer announces a limit.
    pub rate: Option<RequestRate>,
    /// Time since the sender last knew the rate to be valid.
    pub age: Duration,
}
