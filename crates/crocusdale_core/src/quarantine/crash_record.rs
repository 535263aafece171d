use std::time::Duration;

use crate::identity::{PartId, RequestDigest, stable_hash};

/// Report about one request, by the digest that it shares with its retries, which one daemon sends to
/// another: the upstreams that crashed under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord<K = RequestDigest> {
    /// What the crashed upstreams were running.
    pub subject: K,
    /// Upstreams that crashed while they ran it.
    pub crashes: Vec<UpstreamCrash>,
    /// Time since the last known complete answer to such a request, or `None` if there was none.
    pub cleared: Option<Duration>,
}

/// Report about one prompt part: the upstreams that crashed under requests with it.
pub type PartRecord = CrashRecord<PartId>;

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
