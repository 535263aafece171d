use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Length of one counting period. Two periods cover some tens of requests at one daemon of a large
/// fleet, enough to detect a share of a tenth of the traffic. They are short enough for the share
/// to drop soon after the traffic does.
const PERIOD: Duration = Duration::from_secs(5);
/// Number of requests for a prefix below which its traffic share counts as zero: one or two among
/// some tens occur by chance.
const LEAST_COUNT: u32 = 4;

/// Counts the recent requests of this daemon for each shared prompt prefix.
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
    /// Counts a request with the prompt prefix `prefix`.
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

    /// Fraction of the recent requests that have the prompt prefix `prefix`, from 0 to 1. Zero if
    /// too few requests were counted.
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
