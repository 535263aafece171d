use std::ops::Add;
use std::time::Duration;

use serde::Serialize;

/// Time of one process, counted from a start of its own; never compared between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct MonotonicTime(Duration);

impl MonotonicTime {
    /// Time `since_start` after the start of the process.
    #[must_use]
    pub const fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Time `millis` milliseconds after the start of the process.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time since the start of the process.
    #[must_use]
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to `self`, zero if `earlier` is later.
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
