use std::ops::{AddAssign, Mul};

/// Number of priority levels whose work is counted apart. Less urgent levels count as the last one.
const LEVEL_COUNT: usize = 8;

/// Work by priority level, in seconds of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LevelWork {
    seconds: [f64; LEVEL_COUNT],
}

impl LevelWork {
    /// Work of one level only.
    #[must_use]
    pub fn of(level: u8, seconds: f64) -> Self {
        let mut work = Self::default();
        work.add(level, seconds);
        work
    }

    /// Adds work of `level`.
    pub fn add(&mut self, level: u8, seconds: f64) {
        self.seconds[index_of(level)] += seconds;
    }

    /// Work of `level` alone.
    #[must_use]
    pub fn at(&self, level: u8) -> f64 {
        self.seconds[index_of(level)]
    }

    /// Work of `level` and of all more urgent levels.
    #[must_use]
    pub fn up_to(&self, level: u8) -> f64 {
        self.seconds[..=index_of(level)].iter().sum()
    }

    /// Work of all levels that are more urgent than `level`.
    #[must_use]
    pub fn below(&self, level: u8) -> f64 {
        self.seconds[..index_of(level)].iter().sum()
    }

    /// Work of all levels.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.seconds.iter().sum()
    }

    /// The levels, each with its work.
    pub fn levels(&self) -> impl Iterator<Item = (u8, f64)> {
        (0..).zip(self.seconds)
    }
}

impl AddAssign for LevelWork {
    fn add_assign(&mut self, other: Self) {
        for (seconds, added) in self.seconds.iter_mut().zip(other.seconds) {
            *seconds += added;
        }
    }
}

impl Mul<f64> for LevelWork {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self { seconds: self.seconds.map(|seconds| seconds * factor) }
    }
}

fn index_of(level: u8) -> usize {
    usize::from(level).min(LEVEL_COUNT - 1)
}
