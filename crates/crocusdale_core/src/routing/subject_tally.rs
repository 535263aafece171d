use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Length of one period of counting. Two of them hold some tens of requests of one daemon of a large
/// fleet, enough to tell a part of a tenth of all, and pass soon after a subject has cooled down.
const PERIOD: Duration = Duration::from_secs(5);
/// Requests about one subject below which nothing is said of its part: one or two of some tens come
/// together by chance.
const LEAST_COUNT: u32 = 4;

/// How often each subject was asked for of late, at one daemon.
#[derive(Debug, Default)]
pub struct SubjectTally {
    now: Counts,
    before: Counts,
    since: Option<MonotonicTime>,
}

#[derive(Debug, Default)]
struct Counts {
    all: u32,
    subjects: HashMap<u64, u32>,
}

impl SubjectTally {
    /// Counts a request about `subject`.
    pub fn count(&mut self, subject: u64, now: MonotonicTime) {
        let age = self.since.map_or(PERIOD, |since| now.since(since));
        if age >= PERIOD {
            let last = std::mem::take(&mut self.now);
            self.before = if age < PERIOD * 2 { last } else { Counts::default() };
            self.since = Some(now);
        }
        self.now.all += 1;
        *self.now.subjects.entry(subject).or_default() += 1;
    }

    /// Part of the requests that are about `subject`, from 0 to 1; 0 for one that is not seen to get
    /// more than others.
    #[must_use]
    pub fn part_of(&self, subject: u64) -> f64 {
        let count_in = |counts: &Counts| counts.subjects.get(&subject).copied().unwrap_or_default();
        let count = count_in(&self.now) + count_in(&self.before);
        if count < LEAST_COUNT {
            return 0.0;
        }
        f64::from(count) / f64::from(self.now.all + self.before.all)
    }
}
