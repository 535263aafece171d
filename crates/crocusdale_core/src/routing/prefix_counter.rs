use std::collections::HashMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Length of one counting period. Two periods cover some tens of requests at one daemon of a large
/// fleet, enough to detect a share of a tenth of the traffic. They are short enough for the share
/// to drop soon after the traffic does.
const COUNT_PERIOD: Duration = Duration::from_secs(5);
/// Number of requests for a prefix below which its traffic share counts as zero: one or two among
/// some tens occur by chance.
const MIN_COUNT: u32 = 4;

/// Counts the recent requests of this daemon for each shared prompt prefix.
#[derive(Debug, Default)]
pub struct PrefixCounter {
    current: PeriodCounts,
    previous: PeriodCounts,
    period_start: Option<MonotonicTime>,
}

#[derive(Debug, Default)]
struct PeriodCounts {
    total: u32,
    by_prefix: HashMap<u64, u32>,
}

impl PrefixCounter {
    /// Counts a request with the prompt prefix `prefix`.
    pub fn record(&mut self, prefix: u64, now: MonotonicTime) {
        let age = self.period_start.map_or(COUNT_PERIOD, |start| now.since(start));
        if age >= COUNT_PERIOD {
            let ended = std::mem::take(&mut self.current);
            self.previous = if age < COUNT_PERIOD * 2 { ended } else { PeriodCounts::default() };
            self.period_start = Some(now);
        }
        self.current.total += 1;
        *self.current.by_prefix.entry(prefix).or_default() += 1;
    }

    /// Fraction of the recent requests that have the prompt prefix `prefix`, from 0 to 1. Zero if
    /// too few requests were counted.
    #[must_use]
    pub fn traffic_share(&self, prefix: u64) -> f64 {
        let count_in =
            |counts: &PeriodCounts| counts.by_prefix.get(&prefix).copied().unwrap_or_default();
        let count = count_in(&self.current) + count_in(&self.previous);
        if count < MIN_COUNT {
            return 0.0;
        }
        f64::from(count) / f64::from(self.current.total + self.previous.total)
    }
}
