use std::collections::HashSet;
use std::time::Duration;

use crate::identity::{MonotonicTime, RequestDigest};

/// Time for which a complete answer to a request counts as evidence that it crashes nothing.
///
/// It must outlast the simultaneous loss of all upstreams of a pool, with the same request of many
/// callers running on each. It must be short compared with a quarantine, because a harmless request
/// may crash the next release of its upstreams.
pub(super) const CLEARANCE_TIME: Duration = Duration::from_secs(10);
/// Number of requests in one generation: about ten seconds at a few hundred requests per second.
const MAX_GENERATION_SIZE: usize = 4_096;

/// Digests of recently completed requests. They are kept in two generations, so that old ones are
/// dropped in bulk.
#[derive(Debug, Default)]
pub struct RecentSuccesses {
    current: HashSet<RequestDigest>,
    previous: HashSet<RequestDigest>,
    generation_start: MonotonicTime,
}

impl RecentSuccesses {
    /// Records a complete answer to a request with `digest`.
    pub fn record(&mut self, digest: RequestDigest, now: MonotonicTime) {
        self.rotate(now);
        if self.current.len() >= MAX_GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
            self.generation_start = now;
        }
        self.current.insert(digest);
    }

    /// Whether a request with `digest` was completely answered within the last 10 seconds. Answers
    /// that are up to 20 seconds old may count too.
    #[must_use]
    pub fn contains(&mut self, digest: RequestDigest, now: MonotonicTime) -> bool {
        self.rotate(now);
        self.current.contains(&digest) || self.previous.contains(&digest)
    }

    fn rotate(&mut self, now: MonotonicTime) {
        let age = now.since(self.generation_start);
        if age < CLEARANCE_TIME {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < CLEARANCE_TIME * 2 { current } else { HashSet::new() };
        self.generation_start = now;
    }
}
