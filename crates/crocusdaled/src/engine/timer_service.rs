use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crocusdale_core::daemon::TimerKey;
use crocusdale_core::identity::MonotonicTime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::MonotonicClock;

type TimerHeap = BinaryHeap<Reverse<(MonotonicTime, TimerKey)>>;

/// Tells its subscriber when timers are due.
///
/// The task behind it ends when the service is dropped.
#[derive(Debug)]
pub struct TimerService {
    orders: UnboundedSender<(MonotonicTime, TimerKey)>,
}

impl TimerService {
    /// Starts the service; timers that are due come out of the receiver.
    #[must_use]
    pub fn subscribe(clock: MonotonicClock) -> (Self, UnboundedReceiver<TimerKey>) {
        let (orders, inbox) = unbounded_channel();
        let (outbox, due) = unbounded_channel();
        tokio::spawn(run(clock, inbox, outbox));
        (Self { orders }, due)
    }

    /// Sets a timer.
    pub fn set(&self, timer: TimerKey, at: MonotonicTime) {
        // The task outlives every holder of the service, except while the runtime shuts down.
        let _ = self.orders.send((at, timer));
    }
}

async fn run(
    clock: MonotonicClock,
    mut inbox: UnboundedReceiver<(MonotonicTime, TimerKey)>,
    outbox: UnboundedSender<TimerKey>,
) {
    let mut heap = TimerHeap::new();
    loop {
        let next = heap.peek().map(|Reverse((at, _))| *at);
        let order = match next {
            None => inbox.recv().await,
            Some(at) => match tokio::time::timeout(clock.until(at), inbox.recv()).await {
                Ok(order) => order,
                Err(_) => {
                    send_due(&mut heap, &clock, &outbox);
                    continue;
                }
            },
        };
        let Some((at, timer)) = order else { return };
        heap.push(Reverse((at, timer)));
        send_due(&mut heap, &clock, &outbox);
    }
}

fn send_due(heap: &mut TimerHeap, clock: &MonotonicClock, outbox: &UnboundedSender<TimerKey>) {
    let now = clock.now();
    while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
        if let Some(Reverse((_, timer))) = heap.pop() {
            let _ = outbox.send(timer);
        }
    }
}
