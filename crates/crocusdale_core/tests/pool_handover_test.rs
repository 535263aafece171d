//! Pools that change their dispatcher while pieces are queued: at planned restarts, and when
//! daemons join.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;
#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use batch_bench::{Bench, PIECES, successful_item};
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{
    AttemptEvent, ExecutionStatus, OutcomeKind, PieceFault, RefusalReason,
};
use forward_daemon::Daemon;

/// Guards against users that wait or are refused during planned restarts under load. The dispatcher
/// of a pool is told to end while more pieces are queued than its upstream can take. Pieces that
/// are in no call move to the next dispatcher at once, those in a call are answered here.
#[test]
fn queued_pieces_move_and_pieces_in_a_call_stay() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let running = bench.order(PIECES, 900);
    let running = bench.submit_pieces(running);
    let queued: Vec<AttemptId> = (0..3)
        .map(|_| {
            let order = bench.order(4, 900);
            bench.submit_pieces(order)
        })
        .collect();
    let mut steps = Vec::new();
    bench.dispatcher.hand_over(batch_bench::POOL, false, &mut steps);
    bench.take(steps);
    let moved: Vec<AttemptId> = bench.outcomes.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(moved, queued, "the queued pieces must be moved");
    assert!(bench.outcomes.iter().all(|(_, end)| *end == Err(PieceFault::Moved)));
    bench.outcomes.clear();
    bench.advance(220);
    bench.end_call(successful_item);
    assert_eq!(bench.outcomes.len(), 1);
    assert_eq!(bench.outcomes[0].0, running);
    assert!(bench.calls.is_empty() && bench.dispatcher.is_idle());
}

/// Guards against retries outside the retry budget. A call of the ending dispatcher has failed; if
/// its pieces moved, the next dispatcher would send them again as new ones.
#[test]
fn pieces_of_a_failed_call_do_not_move() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(4, 3_000);
    bench.submit_pieces(order);
    bench.end_call_as(crocusdale_core::batching::BatchOutcome::Broken);
    let mut steps = Vec::new();
    bench.dispatcher.hand_over(batch_bench::POOL, false, &mut steps);
    bench.take(steps);
    assert!(bench.outcomes.is_empty(), "pieces of a failed call must not be moved");
    bench.advance(1_500);
    assert_eq!(bench.calls.len(), 1, "this dispatcher must retry the pieces itself");
}

/// Guards against requests that fail because their pieces moved, or that move for ever. A request
/// goes on at the next dispatcher unseen by its caller. In a fleet that never agrees on a
/// dispatcher, it is refused as not run after at most six moves.
#[test]
fn request_follows_moved_pieces_up_to_a_bound() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/digest/7");
    let moved = || AttemptEvent::PiecesFailed {
        fault: PieceFault::Moved,
        retry_after: Duration::from_millis(300),
    };
    let incarnation = daemon.core.instance().process_hash();
    let attempt = |sequence| AttemptId { incarnation, call, sequence };
    daemon.attempt(attempt(1), moved());
    assert_eq!(daemon.answer(call), None);
    daemon.advance(110);
    daemon.complete_batch();
    daemon.receive_head(daemon.last_relay().attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(daemon.last_relay().attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
    let call = daemon.submit("/digest/8");
    for sequence in 1..=6 {
        daemon.attempt(AttemptId { incarnation, call, sequence }, moved());
    }
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
}
