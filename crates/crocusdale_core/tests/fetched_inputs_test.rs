//! Results that the next step has fetched, and that occupy memory of the upstream that made them.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use batch_bench::{Bench, PIECES, successful_item};
use crocusdale_core::pipeline::{PieceOrder, PieceSource, ResultHandle};

/// Time after the start of a call by which it has fetched its inputs, with a margin.
const FETCH_TIME_MS: u64 = 100;

fn order_with_inputs(bench: &mut Bench, pieces: u32) -> PieceOrder {
    let mut order = bench.order(pieces, 2_000);
    order.source = PieceSource::Results(vec![ResultHandle::new("10.0.0.1:9/1")]);
    order.inputs_pool = Some("encode".to_owned());
    order
}

/// Guards against upstreams whose memory is full of results that were fetched already. In a burst,
/// each result stayed for the whole call of the next step, so new calls were half empty and users
/// waited. Fetched inputs are freed while the call still runs.
#[test]
fn inputs_are_freed_once_they_are_fetched() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = order_with_inputs(&mut bench, 2);
    bench.submit_pieces(order);
    free_unneeded_results(&mut bench);
    assert!(bench.freed_inputs.is_empty(), "inputs must be kept while the call may not have begun");
    bench.advance(FETCH_TIME_MS);
    free_unneeded_results(&mut bench);
    assert_eq!(bench.calls.len(), 1, "the call must still be running");
    assert_eq!(bench.freed_inputs, [ResultHandle::new("10.0.0.1:9/1")]);
}

/// Guards against inputs that are freed before the last call that needs them. A request with more
/// pieces than one call holds needs its inputs again in its second call. Without them, all of them
/// would have to be computed again.
#[test]
fn inputs_of_queued_pieces_are_kept() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = order_with_inputs(&mut bench, PIECES + 1);
    bench.submit_pieces(order);
    bench.advance(FETCH_TIME_MS);
    free_unneeded_results(&mut bench);
    assert!(bench.freed_inputs.is_empty(), "inputs must be kept while one piece is queued");
    bench.end_call(successful_item);
    bench.advance(FETCH_TIME_MS);
    free_unneeded_results(&mut bench);
    assert_eq!(bench.freed_inputs.len(), 1);
}

/// Guards against results that are freed by the first of two steps which need them.
#[test]
fn inputs_that_another_step_needs_are_kept() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let mut order = order_with_inputs(&mut bench, 2);
    order.inputs_pool = None;
    bench.submit_pieces(order);
    bench.advance(FETCH_TIME_MS);
    free_unneeded_results(&mut bench);
    assert!(bench.freed_inputs.is_empty(), "inputs of another step must be kept");
}

fn free_unneeded_results(bench: &mut Bench) {
    let mut steps = Vec::new();
    bench.dispatcher.free_unneeded_results(bench.now, &mut steps);
    bench.take(steps);
}
