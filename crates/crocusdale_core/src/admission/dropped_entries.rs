use std::time::Duration;

use crate::identity::MonotonicTime;

/// Minimum time between two reports, so that a flood of new entries does not flood the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts entries that were dropped because a table was full, for a log line a second at most.
#[derive(Debug, Default)]
pub(super) struct DroppedEntries {
    unreported: u64,
    reported_at: Option<MonotonicTime>,
}

impl DroppedEntries {
    pub(super) fn record(&mut self) {
        self.unreported += 1;
    }

    /// Number of entries dropped since the last report. `None` if there are none, or if the last
    /// report was less than a second ago.
    pub(super) fn take_report(&mut self, now: MonotonicTime) -> Option<u64> {
        let is_due = self.reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if self.unreported == 0 || !is_due {
            return None;
        }
        self.reported_at = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}
