//! Requests that can't meet their objective: which are delayed, which are refused, and the retry
//! time that their callers get.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use crocusdale_core::batching::PoolWait;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{
    AttemptEvent, ExecutionStatus, OutcomeKind, PieceFault, RefusalReason,
};

use forward_daemon::Daemon;

/// Reported wait of a pool in which new pieces wait for `millis` milliseconds, those of late
/// requests no longer than those of requests in time.
fn pool_wait(millis: u64) -> PoolWait {
    let wait = Duration::from_millis(millis);
    PoolWait {
        on_time_wait: wait,
        late_waits: vec![wait],
        overload_time: Duration::ZERO,
        call_time: Duration::ZERO,
    }
}

/// Guards against late requests that delay requests which can still meet their objective. A burst
/// has filled the pool of the first step for longer than the objective, so a new request can only
/// be late. It is delayed until the pool has capacity, and is answered well before its deadline.
#[test]
fn late_request_starts_once_the_pool_has_capacity() {
    let mut daemon = Daemon::new();
    let wait = pool_wait(1_500);
    daemon.feed(DaemonEvent::PoolWaitReported {
        pool: "scan".to_owned(),
        wait,
        vm: "entry-b1".to_owned(),
    });
    let call = daemon.submit("/digest/7");
    daemon.advance(700);
    assert!(daemon.batches.is_empty(), "no piece may be sent while the pool is full");
    daemon.advance(800);
    assert_eq!(daemon.batches.len(), 1, "the pieces must be sent once the pool has capacity");
    daemon.complete_batch();
    daemon.receive_head(daemon.last_relay().attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(daemon.last_relay().attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// Guards against a delayed request that is refused too late for a retry elsewhere. The burst lasts
/// longer than the deadline allows, so the request is refused at once. The refusal may say that it
/// has not run, as no piece of it was made.
#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut daemon = Daemon::new();
    let wait = pool_wait(9_000);
    daemon.feed(DaemonEvent::PoolWaitReported {
        pool: "scan".to_owned(),
        wait,
        vm: "entry-b1".to_owned(),
    });
    let call = daemon.submit("/digest/7");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
    assert!(daemon.batches.is_empty());
    let retry_after = daemon.answers[0].1.retry_after;
    assert_eq!(
        retry_after,
        Some(Duration::from_millis(9_000)),
        "a retry before that time would be refused again"
    );
}

/// Guards against callers that retry into the same queue. A dispatcher drops pieces that would be
/// made too late, and the caller must get the time at which the pool should have capacity.
#[test]
fn refusal_of_dropped_pieces_carries_the_retry_time_of_the_dispatcher() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/digest/7");
    let attempt =
        AttemptId { incarnation: daemon.core.instance().process_hash(), call, sequence: 1 };
    let retry_after = Duration::from_millis(1_300);
    let fault = PieceFault::Late;
    daemon.attempt(attempt, AttemptEvent::PiecesFailed { fault, retry_after });
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
    assert_eq!(daemon.answers[0].1.retry_after, Some(retry_after));
}

/// Guards against work for nobody: a caller disconnects while its request is delayed, and nothing
/// of the request may reach an upstream later.
#[test]
fn delayed_request_of_a_disconnected_caller_never_starts() {
    let mut daemon = Daemon::new();
    let wait = pool_wait(1_000);
    daemon.feed(DaemonEvent::PoolWaitReported {
        pool: "scan".to_owned(),
        wait,
        vm: "entry-b1".to_owned(),
    });
    let call = daemon.submit("/digest/7");
    daemon.feed(DaemonEvent::CallerDisconnected(call));
    daemon.advance(1_900);
    assert!(daemon.batches.is_empty());
}
