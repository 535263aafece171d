//! How long pieces wait, who waits in vain, and what its caller is told.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use std::time::Duration;

use batch_bench::{Bench, CALL_MS, PIECE_MS, PIECES, POOL, successful_item};
use crocusdale_core::pipeline::PieceFault;

/// Time of a full call.
const FULL_MS: u64 = CALL_MS + PIECE_MS * PIECES as u64;

/// A burst has left one upstream with six full calls of work, and a request that is late behind them
/// has one second left. Its caller would wait that second for nothing, and have no time left to ask
/// elsewhere. It hears at once that its time will not do, and the work before it is not touched.
#[test]
fn pieces_that_wait_in_vain_are_given_up_at_once() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..7 {
        let order = bench.order(PIECES, 6_000);
        bench.submit_pieces(order);
    }
    let mut order = bench.order(1, 0);
    order.expires = bench.now + Duration::from_millis(1_000);
    let unservable = bench.submit_pieces(order);
    bench.advance(100);
    let given_up: Vec<_> = bench.outcomes.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(given_up, [unservable], "0.9 s before its time is over, and nobody else");
    assert!(matches!(bench.outcomes[0].1, Err(PieceFault::Late)));
}

/// The same request with enough time: it is late, and must still be served after the others.
#[test]
fn late_pieces_with_time_left_are_made() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(PIECES, 6_000);
    bench.submit_pieces(order);
    let late = bench.order(1, 0);
    let late = bench.submit_pieces(late);
    bench.advance(FULL_MS);
    bench.end_call(successful_item);
    bench.advance(CALL_MS + PIECE_MS);
    bench.end_call(successful_item);
    assert!(bench.outcomes.iter().any(|(attempt, outcome)| *attempt == late && outcome.is_ok()));
}

/// A caller is refused in a burst and told to come back. If that is sooner than the queue is made, it
/// comes back in vain. The wait that it is told covers all that waits, and a crowd that has lasted for
/// two seconds is taken to last for two more.
#[test]
fn callers_are_told_when_there_should_be_room() {
    let mut bench = Bench::new(&[("u1", "a")]);
    assert_eq!(bench.dispatcher.expected_wait(POOL, bench.now).retry_after(), Duration::ZERO);
    for _ in 0..7 {
        let order = bench.order(PIECES, 6_000);
        bench.submit_pieces(order);
    }
    bench.advance(50);
    let wait = bench.dispatcher.expected_wait(POOL, bench.now);
    assert!(wait.retry_after() >= Duration::from_millis(6 * FULL_MS), "{wait:?}");
    assert!(!wait.has_spare_capacity());
    for _ in 0..40 {
        bench.advance(50);
        let _ = bench.dispatcher.expected_wait(POOL, bench.now);
    }
    let wait = bench.dispatcher.expected_wait(POOL, bench.now);
    assert!(wait.overload_time >= Duration::from_millis(2_000), "{wait:?}");
    assert!(wait.retry_after() >= wait.overload_time);
}

/// The crowd is over: the queue is made. A caller that is refused now for another reason must not be
/// sent away for as long as the crowd would have taken.
#[test]
fn time_of_a_crowd_is_forgotten_with_it() {
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
        bench.advance(FULL_MS);
        bench.end_call(successful_item);
    }
    bench.advance(50);
    assert_eq!(bench.dispatcher.expected_wait(POOL, bench.now).retry_after(), Duration::ZERO);
}
