use std::ops::Add;
use std::time::Duration;

use serde::Serialize;

/// Time on the monotonic clock of one process, as the time since its start. Times of different
/// processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct MonotonicTime(Duration);

impl MonotonicTime {
    /// Point in time that is `since_start` after the start of the process.
    #[must_use]
    pub const fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Point in time that is `millis` milliseconds after the start of the process.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Duration from the start of the process to this point in time.
    #[must_use]
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Duration from `earlier` to `self`. Zero if `earlier` is in fact later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}
