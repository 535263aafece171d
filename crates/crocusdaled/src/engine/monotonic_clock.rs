use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use nix::time::{ClockId, clock_gettime};

/// Clock of the time since the process started, including time for which the VM was suspended.
///
/// Guards against an unnoticed suspension. `CLOCK_MONOTONIC` stops while a VM is suspended, so a
/// resumed daemon would treat its VM list, deadlines and peers as fresh as before. This clock
/// jumps ahead instead, and overdue timers fire with the next timer that is due or set.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started_after_boot: Duration,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    ///
    /// # Panics
    ///
    /// Panics if the kernel lacks `CLOCK_BOOTTIME`, which Linux has had since version 2.6.39.
    #[must_use]
    pub fn start() -> Self {
        Self { started_after_boot: time_since_boot() }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_start(time_since_boot().saturating_sub(self.started_after_boot))
    }

    /// Time from now until `at`, or zero if `at` has passed.
    #[must_use]
    pub fn time_until(&self, at: MonotonicTime) -> Duration {
        at.since(self.now())
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("CLOCK_BOOTTIME must be readable; accepted: Linux 2.6.39 or later");
    Duration::from(time)
}
