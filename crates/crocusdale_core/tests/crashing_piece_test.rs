//! Tests of requests whose pieces crash every upstream that processes them.

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

/// Maximum number of upstreams that one request may crash before it is quarantined: three, and one
/// whose call was already in flight.
const MAX_CRASHES: usize = 4;
/// Number of upstreams in the pool. A crashed upstream is replaced at once.
const POOL_SIZE: usize = 5;

/// A pool whose upstreams crash under the pieces of some requests and are replaced by new ones.
struct CrashingPool {
    daemon: Daemon,
    crashing_keys: HashSet<String>,
    crash_count: usize,
    started_count: usize,
}

impl CrashingPool {
    fn new() -> Self {
        let mut daemon = Daemon::new();
        daemon.deadline = Duration::from_secs(8);
        daemon.stages = (0..POOL_SIZE).map(|index| format!("s{index}")).collect();
        daemon.publish(&["n1"], &[]);
        Self { daemon, crashing_keys: HashSet::new(), crash_count: 0, started_count: POOL_SIZE }
    }

    fn submit(&mut self, path: &str, is_crashing: bool) -> CallId {
        let (call, request) = self.daemon.request(path, Some(KEY));
        if is_crashing {
            self.crashing_keys.insert(request.key.key.clone());
        }
        self.daemon.feed(DaemonEvent::Submitted { call, request });
        call
    }

    /// Ends all open calls, answers all requests that were forwarded to engines, and advances the
    /// clock by 100 ms.
    fn run_cycle(&mut self) {
        let batches = std::mem::take(&mut self.daemon.batches);
        for order in batches {
            if order.items.iter().any(|item| self.crashing_keys.contains(&item.request)) {
                let broken = BatchOutcome::Broken;
                self.daemon.feed(DaemonEvent::BatchEnded { batch: order.batch, outcome: broken });
                self.replace_crashed(&order.upstream);
            } else {
                self.daemon.batches.insert(0, order);
                self.daemon.complete_batch();
            }
        }
        for relay in std::mem::take(&mut self.daemon.relays) {
            self.daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
            self.daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
        self.daemon.advance(100);
    }

    fn replace_crashed(&mut self, upstream: &str) {
        self.crash_count += 1;
        for upstream in std::mem::take(&mut self.daemon.probes) {
            self.daemon.feed(DaemonEvent::UpstreamProbed { upstream, has_ended: true });
        }
        self.daemon.stages.retain(|stage| stage != upstream);
        self.daemon.stages.push(format!("s{}", self.started_count));
        self.started_count += 1;
        self.daemon.publish(&["n1"], &[]);
    }
}

/// Guards against a request that crashes the upstreams of a batch pool one after the other, because
/// its caller keeps sending it. Harmless requests in the same calls must not be quarantined with
/// it.
#[test]
fn request_whose_pieces_crash_upstreams_is_quarantined() {
    let mut pool = CrashingPool::new();
    let mut calls = Vec::new();
    // First attempts fill the retry budget, which the pieces of failed calls need.
    for number in 0..100 {
        calls.push(pool.submit(&format!("/digest/calm-{number}"), false));
        pool.run_cycle();
    }
    for number in 0..60 {
        // Submits more requests than the pool has upstreams, so that some wait and share calls.
        for other in 0..POOL_SIZE + 3 {
            calls.push(pool.submit(&format!("/digest/{number}-{other}"), false));
        }
        let crashing_call = pool.submit("/digest/deadly", true);
        for _ in 0..3 {
            pool.run_cycle();
        }
        if number == 59 {
            let answer = pool.daemon.answer(crashing_call);
            assert_eq!(answer, Some((OutcomeKind::Refused, Some(RefusalReason::Quarantined))));
        }
    }
    assert!(
        pool.crash_count <= MAX_CRASHES,
        "expected at most {MAX_CRASHES} crashed upstreams, got {}",
        pool.crash_count
    );
    let quarantined = pool.daemon.core.dump(pool.daemon.now).quarantined;
    assert_eq!(quarantined.len(), 1, "only the crashing request must be quarantined");
    let answered = |call: &&CallId| {
        pool.daemon.answer(**call).is_some_and(|(kind, _)| kind == OutcomeKind::Answered)
    };
    let answered = calls.iter().filter(answered).count();
    assert!(
        answered * 100 >= calls.len() * 90,
        "expected 90 % of the requests to be answered, got {answered} of {}",
        calls.len()
    );
}
