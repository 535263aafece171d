use std::time::Duration;

use crate::identity::{RequestDigest, stable_hash};

/// Report about one request, which one daemon sends to another: the upstreams that crashed under
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Digest that the request shares with its retries.
    pub digest: RequestDigest,
    /// Upstreams that crashed while they ran the request.
    pub crashes: Vec<UpstreamCrash>,
    /// Time since the last known complete answer to the request, or `None` if there was none.
    pub cleared: Option<Duration>,
}

/// The crash of one upstream under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// Hash of the upstream's name. Each process of a published upstream has a unique name.
    pub upstream: u64,
    /// Time since the crash.
    pub age: Duration,
}

impl UpstreamCrash {
    /// Identifier under which the upstream with the name `name` appears in crash records.
    #[must_use]
    pub fn hash_of(name: &str) -> u64 {
        stable_hash(&[name])
    }
}
