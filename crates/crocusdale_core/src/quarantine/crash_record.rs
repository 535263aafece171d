use std::time::Duration;

use crate::identity::{RequestDigest, stable_hash};

/// What one daemon tells another of the upstreams that ended under one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Upstreams that ended while they ran it.
    pub ends: Vec<UpstreamEnd>,
    /// Time since the request is known to have been answered whole, if it was.
    pub cleared: Option<Duration>,
}

/// The end of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// Hash of the upstream's name; lives of a published upstream have names of their own.
    pub upstream: u64,
    /// Time since its end.
    pub age: Duration,
}

impl UpstreamEnd {
    /// Number by which the upstream `name` is known in records.
    #[must_use]
    pub fn hash_of(name: &str) -> u64 {
        stable_hash(&[name])
    }
}
