use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use nix::time::{ClockId, clock_gettime};

/// Time since the start of the process, the time for which its VM was suspended included.
///
/// Guards against a suspension that nobody notices: the steady clock stands still meanwhile, so a
/// daemon that wakes up would take its lists, deadlines and peers for as fresh as before. By this
/// clock the time jumps, and what is due fires with the next timer or order.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Duration,
}

impl MonotonicClock {
    /// Starts at zero.
    ///
    /// # Panics
    ///
    /// Panics if the kernel has no such clock; Linux has had one since version 2.6.39.
    #[must_use]
    pub fn start() -> Self {
        Self { started: since_boot() }
    }

    /// Time now.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_start(since_boot().saturating_sub(self.started))
    }

    /// Time from now until `at`.
    #[must_use]
    pub fn until(&self, at: MonotonicTime) -> Duration {
        at.since(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a clock since the boot");
    Duration::from(time)
}
