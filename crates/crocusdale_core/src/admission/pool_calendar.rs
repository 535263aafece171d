use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::MonotonicTime;

/// Length of a period, in which no more work is promised than the pool can do.
pub(super) const PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of consecutive periods over which the work of one step is spread.
const MAX_STEP_PERIODS: u64 = 10;

/// Work of one pool that is promised to callers that will return, by the period in which it is
/// expected and by priority level.
#[derive(Debug, Default)]
pub(super) struct PoolCalendar {
    promised: BTreeMap<(u64, u8), Duration>,
}

/// Part of a promise that falls into one period.
#[derive(Clone, Copy, Debug)]
pub(super) struct CalendarEntry {
    period: u64,
    level: u8,
    work: Duration,
}

impl PoolCalendar {
    /// Promises `work` of `level` from the period of `start` on, without gaps. A period takes up to `limit`.
    /// Returns what was promised in each period, or `None` if the work does not fit. Nothing is
    /// promised then.
    pub(super) fn promise(
        &mut self,
        level: u8,
        work: Duration,
        start: MonotonicTime,
        limit: Duration,
    ) -> Option<Vec<CalendarEntry>> {
        let first = period_of(start);
        let mut left = work;
        let mut entries = Vec::new();
        for period in first..first + MAX_STEP_PERIODS {
            if left.is_zero() {
                break;
            }
            let promised = self.promised.range((period, 0)..=(period, u8::MAX));
            let promised: Duration = promised.map(|(_, work)| *work).sum();
            let part = limit.saturating_sub(promised).min(left);
            if part.is_zero() {
                // Work that waits for a later period should return in that period.
                break;
            }
            left -= part;
            entries.push(CalendarEntry { period, level, work: part });
        }
        if !left.is_zero() {
            return None;
        }
        for entry in &entries {
            *self.promised.entry((entry.period, entry.level)).or_default() += entry.work;
        }
        Some(entries)
    }

    /// Takes back what was promised.
    pub(super) fn release(&mut self, entries: &[CalendarEntry]) {
        for entry in entries {
            let key = (entry.period, entry.level);
            if let Some(promised) = self.promised.get_mut(&key) {
                *promised = promised.saturating_sub(entry.work);
                if promised.is_zero() {
                    self.promised.remove(&key);
                }
            }
        }
    }

    /// Work of `level` and more urgent levels that is promised between `from` and `to`. A period
    /// that is partly in that range counts by that part.
    pub(super) fn promised(&self, level: u8, from: MonotonicTime, to: MonotonicTime) -> Duration {
        if to <= from {
            return Duration::ZERO;
        }
        let entries = self.promised.range((period_of(from), 0)..=(period_of(to), u8::MAX));
        let entries = entries.filter(|((_, other), _)| *other <= level);
        let parts = entries.map(|((period, _), work)| {
            let (start, end) = (start_of(*period), start_of(period + 1));
            let overlap = end.min(to).since(start.max(from));
            work.mul_f64(overlap.as_secs_f64() / PERIOD.as_secs_f64())
        });
        parts.sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.promised.is_empty()
    }
}

/// Start of the first period that begins at `time` or later.
pub(super) fn next_period_start(time: MonotonicTime) -> MonotonicTime {
    let start = start_of(period_of(time));
    if start < time { start + PERIOD } else { start }
}

fn period_of(time: MonotonicTime) -> u64 {
    let periods = time.since_start().as_millis() / PERIOD.as_millis();
    u64::try_from(periods).unwrap_or(u64::MAX - MAX_STEP_PERIODS)
}

fn start_of(period: u64) -> MonotonicTime {
    MonotonicTime::from_millis(period.saturating_mul(PERIOD.as_millis() as u64))
}
