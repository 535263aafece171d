use std::time::{Duration, Instant};

use crocusdale_core::identity::MonotonicTime;

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time now.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_start(self.started.elapsed())
    }

    /// Time from now until `at`.
    #[must_use]
    pub fn until(&self, at: MonotonicTime) -> Duration {
        at.since(self.now())
    }
}
