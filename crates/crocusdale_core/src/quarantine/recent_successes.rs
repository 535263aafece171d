use std::collections::HashSet;
use std::hash::Hash;
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

/// Recently completed requests, by their digest, or the prompt parts of such requests. They are kept
/// in two generations, so that old ones are dropped in bulk.
#[derive(Debug)]
pub struct RecentSuccesses<K = RequestDigest> {
    current: HashSet<K>,
    previous: HashSet<K>,
    generation_start: MonotonicTime,
    max_generation_size: usize,
    /// Time for which a generation is filled.
    period: Duration,
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self::new(MAX_GENERATION_SIZE, CLEARANCE_TIME)
    }
}

impl<K: Copy + Eq + Hash> RecentSuccesses<K> {
    /// Creates an empty set, whose generations hold up to `max_generation_size` and last for `period`.
    #[must_use]
    pub fn new(max_generation_size: usize, period: Duration) -> Self {
        Self {
            current: HashSet::new(),
            previous: HashSet::new(),
            generation_start: MonotonicTime::default(),
            max_generation_size,
            period,
        }
    }

    /// Records a complete answer to a request with `subject`.
    pub fn record(&mut self, subject: K, now: MonotonicTime) {
        self.rotate(now);
        if self.current.len() >= self.max_generation_size {
            self.previous = std::mem::take(&mut self.current);
            self.generation_start = now;
        }
        self.current.insert(subject);
    }

    /// Whether a request with `subject` was completely answered within the last period. Answers
    /// that are up to two periods old may count too.
    #[must_use]
    pub fn contains(&mut self, subject: K, now: MonotonicTime) -> bool {
        self.rotate(now);
        self.current.contains(&subject) || self.previous.contains(&subject)
    }

    fn rotate(&mut self, now: MonotonicTime) {
        let age = now.since(self.generation_start);
        if age < self.period {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < self.period * 2 { current } else { HashSet::new() };
        self.generation_start = now;
    }
}
