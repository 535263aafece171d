use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Wait of on-time pieces up to which late requests are admitted: less than half of a call's
/// duration.
const MAX_WAIT_WITH_SPARE_CAPACITY: Duration = Duration::from_millis(120);

/// Wait of late pieces above which a pool is overloaded: longer than a call with other pieces in
/// it.
const MIN_OVERLOAD_WAIT: Duration = Duration::from_millis(500);

/// Expected wait of new pieces in a pool until their call starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolWait {
    /// Wait of pieces whose request can still be on time.
    pub on_time_wait: Duration,
    /// Wait of pieces whose request will be late, by its priority level, starting with the most
    /// urgent level 0. Levels beyond the last entry wait as long as that.
    pub late_waits: Vec<Duration>,
    /// Time for which the pool has been overloaded, or for which the overload is still expected to
    /// last, whichever is longer. A burst is assumed to last as long again as it has lasted.
    pub overload_time: Duration,
    /// Duration of a call with the recent average number of pieces. Zero if unknown.
    pub call_time: Duration,
}

impl PoolWait {
    /// Expected wait of the pieces of a late request with the priority `level`.
    #[must_use]
    pub fn late_wait(&self, level: u8) -> Duration {
        let known = self.late_waits.get(usize::from(level)).or(self.late_waits.last());
        known.copied().unwrap_or_default().max(self.on_time_wait)
    }

    /// Whether there is spare capacity for late requests, so that they hardly delay on-time ones.
    #[must_use]
    pub fn has_spare_capacity(&self) -> bool {
        self.on_time_wait <= MAX_WAIT_WITH_SPARE_CAPACITY
    }

    /// Whether late requests are not admitted, or would wait for a long time.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        !self.has_spare_capacity() || self.late_wait(u8::MAX) > MIN_OVERLOAD_WAIT
    }

    /// Time after which a refused caller should retry: by then, all queued work should be done and
    /// the overload over.
    ///
    /// Guards against callers that retry in vain.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.late_wait(u8::MAX).max(self.overload_time)
    }

    /// Estimate of the current wait, if the estimate in `self` was made `age` ago.
    #[must_use]
    pub fn reduced_by(&self, age: Duration) -> Self {
        let remaining = |wait: &Duration| wait.saturating_sub(age);
        let late_waits = self.late_waits.iter().map(remaining).collect();
        Self { on_time_wait: remaining(&self.on_time_wait), late_waits, ..self.clone() }
    }
}

/// Expected wait of new pieces in each section of the batched pools, as last reported by its
/// dispatcher.
///
/// Dispatchers report it with each answer, so the estimate is as recent as the last use of the
/// section.
#[derive(Debug, Default)]
pub struct PoolWaits {
    waits: HashMap<String, ReportedWait>,
}

#[derive(Debug)]
struct ReportedWait {
    wait: PoolWait,
    reported_at: MonotonicTime,
    /// VM of the dispatcher that reported the wait.
    dispatcher: String,
}

impl PoolWaits {
    /// Stores `wait` as the wait that `dispatcher`, the dispatcher of `pool`, reported at `now`.
    pub fn record(&mut self, pool: &str, wait: PoolWait, dispatcher: &str, now: MonotonicTime) {
        match self.waits.get_mut(pool) {
            Some(known) => {
                (known.wait, known.reported_at) = (wait, now);
                dispatcher.clone_into(&mut known.dispatcher);
            }
            None => {
                let dispatcher = dispatcher.to_owned();
                let reported = ReportedWait { wait, reported_at: now, dispatcher };
                self.waits.insert(pool.to_owned(), reported);
            }
        }
    }

    /// Sections with a known wait, each with the VM of the dispatcher that reported it.
    #[must_use]
    pub fn reports(&self) -> Vec<(String, String)> {
        let waits = self.waits.iter();
        waits.map(|(section, wait)| (section.clone(), wait.dispatcher.clone())).collect()
    }

    /// Drops waits by their section and the VM of the dispatcher that reported them.
    pub fn remove_reports(&mut self, reports: &[(String, String)]) {
        for (section, vm) in reports {
            if self.waits.get(section).is_some_and(|wait| wait.dispatcher == *vm) {
                self.waits.remove(section);
            }
        }
    }

    /// Expected wait of new pieces in `pool`, zero if unknown. The last report is reduced by the
    /// time that has passed since.
    #[must_use]
    pub fn wait(&self, pool: &str, now: MonotonicTime) -> PoolWait {
        let known = self.waits.get(pool);
        known.map_or(PoolWait::default(), |known| {
            known.wait.reduced_by(now.since(known.reported_at))
        })
    }
}
