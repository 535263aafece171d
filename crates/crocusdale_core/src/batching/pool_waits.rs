use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Wait of a pool below which late requests may begin: less than half a call.
const ROOM_WAIT: Duration = Duration::from_millis(120);

/// Wait of late pieces above which a pool is overloaded: longer than a call and its fellow pieces.
const OVERLOAD_WAIT: Duration = Duration::from_millis(500);

/// How long new pieces would wait for their call in a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolWait {
    /// Those of a request that can still be in time.
    pub in_time: Duration,
    /// Those of a request that can only be late, by its priority level; less urgent levels than the
    /// last one wait as long as that.
    pub late: Vec<Duration>,
    /// For how long the pool has had no room for late requests. A burst is taken to last for as long again.
    pub overloaded: Duration,
    /// Time of a call that is as full as calls were of late, zero if none is known.
    pub call: Duration,
}

impl PoolWait {
    /// How long pieces of a late request of `level` would wait.
    #[must_use]
    pub fn late_for(&self, level: u8) -> Duration {
        let known = self.late.get(usize::from(level)).or(self.late.last());
        known.copied().unwrap_or_default().max(self.in_time)
    }

    /// Whether late requests may begin: those in time hardly feel them.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_time <= ROOM_WAIT
    }

    /// Whether late requests wait for long.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        !self.has_room() || self.late_for(u8::MAX) > OVERLOAD_WAIT
    }

    /// When a caller that is refused now should find room: once all that waits is made, and the overload is
    /// over.
    ///
    /// Guards against callers that come back in vain.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.late_for(u8::MAX).max(self.overloaded)
    }

    /// The wait when `age` has passed without news.
    #[must_use]
    pub fn after(&self, age: Duration) -> Self {
        let left = |wait: &Duration| wait.saturating_sub(age);
        let late = self.late.iter().map(left).collect();
        Self { in_time: left(&self.in_time), late, ..self.clone() }
    }
}

/// How long new pieces would wait in each batched pool, by the last word of its dispatcher.
///
/// Dispatchers tell it with each answer, so that it is as recent as the last use of the pool.
#[derive(Debug, Default)]
pub struct PoolWaits {
    waits: HashMap<String, (PoolWait, MonotonicTime)>,
}

impl PoolWaits {
    /// Takes the word of the dispatcher of `pool`.
    pub fn note(&mut self, pool: &str, wait: PoolWait, now: MonotonicTime) {
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
    pub fn wait(&self, pool: &str, now: MonotonicTime) -> PoolWait {
        let known = self.waits.get(pool);
        known.map_or(PoolWait::default(), |(wait, at)| wait.after(now.since(*at)))
    }
}
