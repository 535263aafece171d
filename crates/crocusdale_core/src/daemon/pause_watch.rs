use std::time::Duration;

use crate::identity::MonotonicTime;

/// Longest time between two events of a process that runs: its housekeeping comes every 100 ms, and
/// a timer may be late by as much as a process waits for its turn on a shared core. Below it, a pause
/// adds less to a time than times of sound upstreams differ by.
const LONGEST_GAP: Duration = Duration::from_millis(180);

/// Notices pauses of this process: it was suspended, or got no processor.
///
/// Guards against charging them to others. What was under way through a pause seems to have taken as
/// much longer: an upstream that answered in 0.26 s is taken for ten times slower, nothing can be in
/// time there any more, and so it gets no work that would show otherwise. In a simulated fleet whose
/// dispatchers stood still for 3 s, that kept seven of ten upstreams idle for the ten seconds after.
/// The process can't tell how much of a time was its own pause, as the answer may have come in it; so
/// whatever was under way then teaches nothing.
#[derive(Debug)]
pub(super) struct PauseWatch {
    last_event: MonotonicTime,
    /// End of the last pause.
    woke_at: Option<MonotonicTime>,
}

impl PauseWatch {
    /// Watches from `now` on.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { last_event: now, woke_at: None }
    }

    /// An event is handled at `now`. Returns the pause that ends with it, if there was one.
    pub(super) fn note_event(&mut self, now: MonotonicTime) -> Option<Duration> {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        let paused = gap > LONGEST_GAP;
        if paused {
            self.woke_at = Some(now);
        }
        paused.then_some(gap)
    }

    /// Whether this process ran all the time since `since`, so that times measured from then hold.
    pub(super) fn ran_since(&self, since: MonotonicTime) -> bool {
        self.woke_at.is_none_or(|woke_at| since >= woke_at)
    }
}
