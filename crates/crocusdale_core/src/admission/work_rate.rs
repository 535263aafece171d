use std::time::Duration;

use super::LevelWork;
use crate::identity::MonotonicTime;

/// Exponentially decaying average of the work that arrives in a second, by priority level.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkRate {
    time_constant: Duration,
    /// Decayed sum of the recorded work, as of `updated_at`.
    sum: LevelWork,
    updated_at: Option<MonotonicTime>,
}

impl WorkRate {
    pub(super) fn new(time_constant: Duration) -> Self {
        Self { time_constant, sum: LevelWork::default(), updated_at: None }
    }

    /// Records `seconds` of work of `level`.
    pub(super) fn record(&mut self, level: u8, seconds: f64, now: MonotonicTime) {
        self.sum = self.decayed(now);
        self.sum.add(level, seconds);
        self.updated_at = Some(now);
    }

    /// Work a second. It equals the number of upstreams that the work keeps busy.
    pub(super) fn per_second(&self, now: MonotonicTime) -> LevelWork {
        self.decayed(now) * (1.0 / self.time_constant.as_secs_f64())
    }

    fn decayed(&self, now: MonotonicTime) -> LevelWork {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.sum * (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
