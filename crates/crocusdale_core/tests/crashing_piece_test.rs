//! Requests whose pieces crash every upstream that works on them.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::collections::HashSet;
use std::time::Duration;

use crocusdale_core::batching::BatchOutcome;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::CallId;
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind, RefusalReason};

use forward_daemon::{Daemon, KEY};

/// Upstreams that one request may crash before it is stopped: three, and one whose call was under way.
const MOST_CRASHES: usize = 4;
/// Upstreams of the pool at each time.
const UPSTREAMS: usize = 5;

/// A pool whose upstreams end under the pieces of some requests and come back as other ones.
struct CrashingPool {
    daemon: Daemon,
    deadly: HashSet<String>,
    crashes: usize,
    started: usize,
}

impl CrashingPool {
    fn new() -> Self {
        let mut daemon = Daemon::new();
        daemon.deadline = Duration::from_secs(8);
        daemon.stages = (0..UPSTREAMS).map(|index| format!("s{index}")).collect();
        daemon.publish(&["n1"], &[]);
        Self { daemon, deadly: HashSet::new(), crashes: 0, started: UPSTREAMS }
    }

    fn submit(&mut self, path: &str, is_deadly: bool) -> CallId {
        let (call, request) = self.daemon.request(path, Some(KEY));
        if is_deadly {
            self.deadly.insert(request.key.key.clone());
        }
        self.daemon.feed(DaemonEvent::Submitted { call, request });
        call
    }

    /// Ends all open calls, and answers what is passed to engines.
    fn turn(&mut self) {
        let batches = std::mem::take(&mut self.daemon.batches);
        for order in batches {
            if order.items.iter().any(|item| self.deadly.contains(&item.request)) {
                let broken = BatchOutcome::Broken;
                self.daemon.feed(DaemonEvent::BatchEnded { batch: order.batch, outcome: broken });
                self.crash(&order.upstream);
            } else {
                self.daemon.batches.insert(0, order);
                self.daemon.make_pieces();
            }
        }
        for relay in std::mem::take(&mut self.daemon.relays) {
            self.daemon.headed(relay.attempt, 200, ExecutionStatus::Ran);
            self.daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
        self.daemon.advance(100);
    }

    fn crash(&mut self, upstream: &str) {
        self.crashes += 1;
        for upstream in std::mem::take(&mut self.daemon.probes) {
            self.daemon.feed(DaemonEvent::UpstreamProbed { upstream, has_ended: true });
        }
        self.daemon.stages.retain(|stage| stage != upstream);
        self.daemon.stages.push(format!("s{}", self.started));
        self.started += 1;
        self.daemon.publish(&["n1"], &[]);
    }
}

/// Guards against a request that crashes one upstream of a batched pool after the other: its caller sends it
/// again, and the requests beside it must not be stopped with it.
#[test]
fn request_whose_pieces_crash_upstreams_is_stopped() {
    let mut pool = CrashingPool::new();
    let mut calls = Vec::new();
    // The retry budget grows with first attempts.
    for number in 0..100 {
        calls.push(pool.submit(&format!("/digest/calm-{number}"), false));
        pool.turn();
    }
    for number in 0..60 {
        // More than there are upstreams, so that they wait and share calls.
        for other in 0..UPSTREAMS + 3 {
            calls.push(pool.submit(&format!("/digest/{number}-{other}"), false));
        }
        let deadly = pool.submit("/digest/deadly", true);
        for _ in 0..3 {
            pool.turn();
        }
        if number == 59 {
            let answer = pool.daemon.answer(deadly);
            assert_eq!(answer, Some((OutcomeKind::Refused, Some(RefusalReason::Quarantined))));
        }
    }
    assert!(pool.crashes <= MOST_CRASHES, "{} upstreams crashed", pool.crashes);
    let quarantined = pool.daemon.core.dump(pool.daemon.now).quarantined;
    assert_eq!(quarantined.len(), 1, "the others are sound");
    let answered = |call: &&CallId| {
        pool.daemon.answer(**call).is_some_and(|(kind, _)| kind == OutcomeKind::Answered)
    };
    let answered = calls.iter().filter(answered).count();
    assert!(answered * 100 >= calls.len() * 90, "{answered} of {} answered", calls.len());
}
