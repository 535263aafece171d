//! Expected wait of pieces, pieces that are dropped as too late, and the retry time that their
//! callers get.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use std::time::Duration;

use batch_bench::{Bench, CALL_MS, PIECE_MS, PIECES, POOL, successful_item};
use crocusdale_core::pipeline::PieceFault;

/// Time of a call with as many pieces as it may hold, in milliseconds.
const FULL_CALL_MS: u64 = CALL_MS + PIECE_MS * PIECES as u64;

/// Guards against late pieces that are queued until their deadline for nothing. An upstream has
/// seven full calls of work, and a late request behind them has one second left. It is dropped at
/// once, so that its caller has time to retry elsewhere, and the work before it is not affected.
#[test]
fn pieces_that_would_miss_their_deadline_are_dropped_at_once() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..7 {
        let order = bench.order(PIECES, 6_000);
        bench.submit_pieces(order);
    }
    let mut order = bench.order(1, 0);
    order.expires = bench.now + Duration::from_millis(1_000);
    let unservable = bench.submit_pieces(order);
    bench.advance(100);
    let dropped: Vec<_> = bench.outcomes.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(
        dropped,
        [unservable],
        "only the late piece must be dropped, 0.9 s before its deadline"
    );
    assert!(matches!(bench.outcomes[0].1, Err(PieceFault::Late)));
}

/// Guards against late pieces that are dropped although they can meet their deadline: they must be
/// made after the others.
#[test]
fn late_pieces_with_time_left_are_made() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(PIECES, 6_000);
    bench.submit_pieces(order);
    let late = bench.order(1, 0);
    let late = bench.submit_pieces(late);
    bench.advance(FULL_CALL_MS);
    bench.end_call(successful_item);
    bench.advance(CALL_MS + PIECE_MS);
    bench.end_call(successful_item);
    assert!(bench.outcomes.iter().any(|(attempt, outcome)| *attempt == late && outcome.is_ok()));
}

/// Guards against callers that retry before the queue is worked off. The retry time covers all
/// queued pieces, and an overload that has lasted for two seconds is expected to last for two more.
#[test]
fn retry_time_covers_the_queue_and_the_overload() {
    let mut bench = Bench::new(&[("u1", "a")]);
    assert_eq!(bench.dispatcher.expected_wait(POOL, bench.now).retry_after(), Duration::ZERO);
    for _ in 0..7 {
        let order = bench.order(PIECES, 6_000);
        bench.submit_pieces(order);
    }
    bench.advance(50);
    let wait = bench.dispatcher.expected_wait(POOL, bench.now);
    assert!(
        wait.retry_after() >= Duration::from_millis(6 * FULL_CALL_MS),
        "six full calls: {wait:?}"
    );
    assert!(!wait.has_spare_capacity());
    for _ in 0..40 {
        bench.advance(50);
        let _ = bench.dispatcher.expected_wait(POOL, bench.now);
    }
    let wait = bench.dispatcher.expected_wait(POOL, bench.now);
    assert!(wait.overload_time >= Duration::from_millis(2_000), "{wait:?}");
    assert!(wait.retry_after() >= wait.overload_time);
}

/// Guards against a retry time that outlasts its overload: once the queue is empty, a caller that
/// is refused for another reason must not be sent away for as long as the overload would have
/// taken.
#[test]
fn retry_time_is_zero_once_the_queue_is_empty() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..7 {
        let order = bench.order(PIECES, 6_000);
        bench.submit_pieces(order);
    }
    let mut unservable = bench.order(1, 0);
    unservable.expires = bench.now + Duration::from_millis(1_000);
    bench.submit_pieces(unservable);
    bench.advance(100);
    assert!(bench.dispatcher.expected_wait(POOL, bench.now).retry_after() > Duration::from_secs(2));
    while !bench.calls.is_empty() {
        bench.advance(FULL_CALL_MS);
        bench.end_call(successful_item);
    }
    bench.advance(50);
    assert_eq!(bench.dispatcher.expected_wait(POOL, bench.now).retry_after(), Duration::ZERO);
}
