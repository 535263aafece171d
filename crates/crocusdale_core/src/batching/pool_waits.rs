use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// How long new pieces would wait in each batched pool, by the last word of its dispatcher.
///
/// Dispatchers say it with each answer, so that the news is as fresh as the use of the pool.
#[derive(Debug, Default)]
pub struct PoolWaits {
    waits: HashMap<String, (Duration, MonotonicTime)>,
}

impl PoolWaits {
    /// Takes the word of the dispatcher of `pool`.
    pub fn note(&mut self, pool: &str, wait: Duration, now: MonotonicTime) {
        match self.waits.get_mut(pool) {
            Some(known) => *known = (wait, now),
            None => {
                self.waits.insert(pool.to_owned(), (wait, now));
            }
        }
    }

    /// How long new pieces would wait in `pool`. A queue of which nothing was heard since gets
    /// shorter by the time that has passed.
    #[must_use]
    pub fn wait(&self, pool: &str, now: MonotonicTime) -> Duration {
        let known = self.waits.get(pool);
        known.map_or(Duration::ZERO, |(wait, at)| wait.saturating_sub(now.since(*at)))
    }
}
