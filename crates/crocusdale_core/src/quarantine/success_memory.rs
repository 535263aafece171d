use std::collections::HashSet;
use std::time::Duration;

use crate::identity::{MonotonicTime, RequestDigest};

/// Time for which a whole answer to a request proves that it crashes nothing.
///
/// Long enough to span the loss of all upstreams of a pool at one moment, with requests on each of them
/// that many callers send alike; short against the life of a quarantine, as a request that was harmless
/// may crash the next release of its upstreams.
pub(super) const CLEARED_LIFE: Duration = Duration::from_secs(10);
/// Requests of one generation: some ten seconds at a few hundred requests a second.
const GENERATION_LIMIT: usize = 4_096;

/// Requests that were answered whole of late, in two generations.
#[derive(Debug, Default)]
pub struct SuccessMemory {
    newer: HashSet<RequestDigest>,
    older: HashSet<RequestDigest>,
    since: MonotonicTime,
}

impl SuccessMemory {
    /// Takes note of a whole answer.
    pub fn note(&mut self, digest: RequestDigest, now: MonotonicTime) {
        self.turn(now);
        if self.newer.len() >= GENERATION_LIMIT {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
        self.newer.insert(digest);
    }

    /// Whether a request like this was answered whole within [`CLEARED_LIFE`], or somewhat longer ago.
    #[must_use]
    pub fn knows(&mut self, digest: RequestDigest, now: MonotonicTime) -> bool {
        self.turn(now);
        self.newer.contains(&digest) || self.older.contains(&digest)
    }

    fn turn(&mut self, now: MonotonicTime) {
        let age = now.since(self.since);
        if age < CLEARED_LIFE {
            return;
        }
        let newer = std::mem::take(&mut self.newer);
        self.older = if age < CLEARED_LIFE * 2 { newer } else { HashSet::new() };
        self.since = now;
    }
}
