//! Pools that change their dispatcher while pieces wait: planned restarts, daemons that come.

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

/// Every VM is restarted in turn, under load. The one that dispatches a pool is told to end while
/// more waits there than its upstream can take. Users whose pieces stayed with it waited behind the
/// calls of the next dispatcher, or were refused as it ended. What is in no call goes on at once;
/// what is in one is answered here.
#[test]
fn waiting_pieces_move_and_called_ones_stay() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let called = bench.order(PIECES, 900);
    let called = bench.submit_pieces(called);
    let waiting: Vec<AttemptId> = (0..3)
        .map(|_| {
            let order = bench.order(4, 900);
            bench.submit_pieces(order)
        })
        .collect();
    let mut steps = Vec::new();
    bench.dispatcher.hand_over(batch_bench::POOL, &mut steps);
    bench.take(steps);
    let moved: Vec<AttemptId> = bench.outcomes.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(moved, waiting);
    assert!(bench.outcomes.iter().all(|(_, end)| *end == Err(PieceFault::Moved)));
    bench.outcomes.clear();
    bench.advance(220);
    bench.end_call(successful_item);
    assert_eq!(bench.outcomes.len(), 1);
    assert_eq!(bench.outcomes[0].0, called);
    assert!(bench.calls.is_empty() && bench.dispatcher.is_idle());
}

/// The same, and a call of the daemon that ends has failed: its pieces were in a call. Handed on as
/// new ones, they would be sent once more without the budget for retries.
#[test]
fn pieces_that_were_in_a_call_are_not_new_elsewhere() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(4, 3_000);
    bench.submit_pieces(order);
    bench.end_call_as(crocusdale_core::batching::BatchOutcome::Broken);
    let mut steps = Vec::new();
    bench.dispatcher.hand_over(batch_bench::POOL, &mut steps);
    bench.take(steps);
    assert!(bench.outcomes.is_empty());
    bench.advance(1_500);
    assert_eq!(bench.calls.len(), 1, "this dispatcher tries again itself");
}

/// A request's pieces are handed on: it goes on as if it had asked the next dispatcher at once, and
/// its caller sees nothing. In a fleet that never agrees on a dispatcher it ends, as not run.
#[test]
fn request_follows_its_pieces_for_some_time() {
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
