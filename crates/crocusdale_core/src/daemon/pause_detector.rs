use std::time::Duration;

use crate::identity::MonotonicTime;

/// Longest time between two events in a process that is not paused. A housekeeping timer fires
/// every 100 ms, and may be late by the time that a process waits for a shared core. A shorter gap
/// is within the normal variation of upstream response times.
const MAX_EVENT_GAP: Duration = Duration::from_millis(180);

/// Detects pauses of this process, in which it was suspended or got no CPU time.
///
/// Guards against attributing a pause to upstreams. A response that was pending during a pause
/// appears to have taken longer by the length of the pause. An upstream that responded in 0.26 s
/// seems ten times slower, so it can no longer meet any deadline, and gets no work that would
/// correct the estimate. In a simulated fleet whose dispatchers paused for 3 s, seven of ten
/// upstreams stayed idle for the next ten seconds. The pause can't be subtracted, because the
/// response may have arrived at any time during it. Measurements that overlap a pause are therefore
/// discarded.
#[derive(Debug)]
pub(super) struct PauseDetector {
    last_event: MonotonicTime,
    /// End of the last pause. `None` if there was none.
    resumed_at: Option<MonotonicTime>,
}

impl PauseDetector {
    /// Starts the detection at `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { last_event: now, resumed_at: None }
    }

    /// Records an event at `now`. Returns the length of the pause that ended with it, if there was
    /// one.
    pub(super) fn record_event(&mut self, now: MonotonicTime) -> Option<Duration> {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        let was_paused = gap > MAX_EVENT_GAP;
        if was_paused {
            self.resumed_at = Some(now);
        }
        was_paused.then_some(gap)
    }

    /// Whether there was no pause after `since`, so that durations measured from then on are valid.
    pub(super) fn has_run_since(&self, since: MonotonicTime) -> bool {
        self.resumed_at.is_none_or(|resumed_at| since >= resumed_at)
    }
}
