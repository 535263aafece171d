//! Results that the next step has fetched, and that lie in the way of others.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use batch_bench::{Bench, PIECES, successful_item};
use crocusdale_core::pipeline::{PieceOrder, PieceSource, ResultHandle};

/// Time after which a call has fetched its inputs, and some more.
const FETCHED_MS: u64 = 100;

fn order_with_inputs(bench: &mut Bench, pieces: u32) -> PieceOrder {
    let mut order = bench.order(pieces, 2_000);
    order.source = PieceSource::Results(vec![ResultHandle::new("10.0.0.1:9/1")]);
    order.inputs_pool = Some("encode".to_owned());
    order
}

/// In a burst, the upstreams of the step before are full of results: each lay there for the whole
/// call of the next step, though that call had fetched it at its beginning. Users waited for calls
/// that were half empty. What was fetched is given up while the call still goes on.
#[test]
fn inputs_are_given_up_once_they_are_fetched() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = order_with_inputs(&mut bench, 2);
    bench.submit_pieces(order);
    free_unneeded_results(&mut bench);
    assert!(bench.freed_inputs.is_empty(), "the call may not have begun yet");
    bench.advance(FETCHED_MS);
    free_unneeded_results(&mut bench);
    assert_eq!(bench.calls.len(), 1, "the call goes on");
    assert_eq!(bench.freed_inputs, [ResultHandle::new("10.0.0.1:9/1")]);
}

/// A request has more pieces than one call holds. Its inputs are needed again by its second call:
/// given up with the first one, the second would find nothing, and all would be made anew.
#[test]
fn inputs_of_pieces_that_wait_are_kept() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = order_with_inputs(&mut bench, PIECES + 1);
    bench.submit_pieces(order);
    bench.advance(FETCHED_MS);
    free_unneeded_results(&mut bench);
    assert!(bench.freed_inputs.is_empty(), "one piece still waits");
    bench.end_call(successful_item);
    bench.advance(FETCHED_MS);
    free_unneeded_results(&mut bench);
    assert_eq!(bench.freed_inputs.len(), 1);
}

/// Two steps need the same results. The first one to fetch them must leave them to the other.
#[test]
fn inputs_that_another_step_needs_are_kept() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let mut order = order_with_inputs(&mut bench, 2);
    order.inputs_pool = None;
    bench.submit_pieces(order);
    bench.advance(FETCHED_MS);
    free_unneeded_results(&mut bench);
    assert!(bench.freed_inputs.is_empty());
}

fn free_unneeded_results(bench: &mut Bench) {
    let mut steps = Vec::new();
    bench.dispatcher.free_unneeded_results(bench.now, &mut steps);
    bench.take(steps);
}
