//! Requests that can't be in time: who waits, who is refused, what its caller is told.

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

/// A pool in which new pieces wait for `millis`, those of late requests no longer than others.
fn crowd(millis: u64) -> PoolWait {
    let wait = Duration::from_millis(millis);
    PoolWait {
        on_time_wait: wait,
        late_waits: vec![wait],
        overload_time: Duration::ZERO,
        call_time: Duration::ZERO,
    }
}

/// A burst has filled the pool of the first step for longer than the objective. Requests that come
/// now can only be late: begun at once, they would hold up those that can be in time, and end
/// late all the same. They wait until there is room, and are answered well before their deadline.
#[test]
fn late_requests_begin_once_there_is_room() {
    let mut daemon = Daemon::new();
    let wait = crowd(1_500);
    daemon.feed(DaemonEvent::PoolWaitReported { pool: "scan".to_owned(), wait });
    let call = daemon.submit("/digest/7");
    daemon.advance(700);
    assert!(daemon.batches.is_empty(), "the pool is still full");
    daemon.advance(800);
    assert_eq!(daemon.batches.len(), 1, "there is room again");
    daemon.complete_batch();
    daemon.receive_head(daemon.last_relay().attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(daemon.last_relay().attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// The burst doesn't end. What waits is refused while its caller still has time, as not run, which
/// is true: not a piece of it was made.
#[test]
fn waiting_request_is_refused_before_its_deadline() {
    let mut daemon = Daemon::new();
    let wait = crowd(9_000);
    daemon.feed(DaemonEvent::PoolWaitReported { pool: "scan".to_owned(), wait });
    let call = daemon.submit("/digest/7");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
    assert!(daemon.batches.is_empty());
    let retry_after = daemon.answers[0].1.retry_after;
    assert_eq!(retry_after, Some(Duration::from_millis(9_000)), "sooner, it would come in vain");
}

/// A dispatcher gives pieces up, as their turn would come too late. Their caller hears when the pool
/// should have room, not a time after which it would meet the same queue.
#[test]
fn caller_of_pieces_that_were_given_up_is_told_when_to_come_back() {
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

/// A caller leaves while its request waits for room. Nothing of it may reach an upstream later.
#[test]
fn waiting_request_of_a_caller_that_left_never_begins() {
    let mut daemon = Daemon::new();
    let wait = crowd(1_000);
    daemon.feed(DaemonEvent::PoolWaitReported { pool: "scan".to_owned(), wait });
    let call = daemon.submit("/digest/7");
    daemon.feed(DaemonEvent::CallerDisconnected(call));
    daemon.advance(1_900);
    assert!(daemon.batches.is_empty());
}
