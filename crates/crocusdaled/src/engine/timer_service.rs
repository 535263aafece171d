use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crocusdale_core::daemon::TimerKey;
use crocusdale_core::identity::MonotonicTime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::MonotonicClock;

type TimerHeap = BinaryHeap<Reverse<(MonotonicTime, TimerKey)>>;

/// Reports timers to one subscriber when they are due.
///
/// The background task that waits for the timers ends when the service is dropped.
#[derive(Debug)]
pub struct TimerService {
    schedule: UnboundedSender<(MonotonicTime, TimerKey)>,
}

impl TimerService {
    /// Starts the service and returns it with the receiver of due timers.
    #[must_use]
    pub fn subscribe(clock: MonotonicClock) -> (Self, UnboundedReceiver<TimerKey>) {
        let (schedule, scheduled) = unbounded_channel();
        let (due_sender, due) = unbounded_channel();
        tokio::spawn(run_timers(clock, scheduled, due_sender));
        (Self { schedule }, due)
    }

    /// Schedules `timer` to be reported at `at`.
    pub fn set(&self, timer: TimerKey, at: MonotonicTime) {
        // The timer task lives as long as this sender, except while the runtime shuts down.
        let _ = self.schedule.send((at, timer));
    }
}

async fn run_timers(
    clock: MonotonicClock,
    mut scheduled: UnboundedReceiver<(MonotonicTime, TimerKey)>,
    due_sender: UnboundedSender<TimerKey>,
) {
    let mut heap = TimerHeap::new();
    loop {
        let next_due = heap.peek().map(|Reverse((at, _))| *at);
        let scheduled_timer = match next_due {
            None => scheduled.recv().await,
            Some(at) => match tokio::time::timeout(clock.time_until(at), scheduled.recv()).await {
                Ok(scheduled_timer) => scheduled_timer,
                Err(_) => {
                    send_due(&mut heap, &clock, &due_sender);
                    continue;
                }
            },
        };
        let Some((at, timer)) = scheduled_timer else { return };
        heap.push(Reverse((at, timer)));
        send_due(&mut heap, &clock, &due_sender);
    }
}

fn send_due(heap: &mut TimerHeap, clock: &MonotonicClock, due_sender: &UnboundedSender<TimerKey>) {
    let now = clock.now();
    while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
        if let Some(Reverse((_, timer))) = heap.pop() {
            let _ = due_sender.send(timer);
        }
    }
}
