//! Due times of batched steps that run in parallel with a chain of others.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;
#[path = "support/chain_plan.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod chain_plan;

use batch_bench::{Bench, CALL_MS, PIECE_MS, PIECES, successful_item};
use chain_plan::{CHAIN_MS, ENGINE_MS, FIRST, SIDE, STEP_MS, at, plan};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::pipeline::{RequestPlan, StepForecast, StepProgress};

fn due(plan: &RequestPlan, position: usize) -> MonotonicTime {
    StepForecast::new(plan, |_| StepProgress::Waiting, at(0)).due(plan, position)
}

/// Guards against a side step that is scheduled by the latest time at which it may end: the chain
/// has reached the join long before.
#[test]
fn side_step_is_due_when_the_chain_ends() {
    let plan = plan(1_800, 0);
    assert_eq!(plan.target_end(SIDE), at(1_800 - ENGINE_MS));
    assert_eq!(due(&plan, SIDE), at(CHAIN_MS));
    assert_eq!(due(&plan, FIRST), plan.target_end(FIRST), "the chain keeps the time it may use");
}

/// Under load, the chain ends later by its queueing delays, and so may the side step.
#[test]
fn side_step_is_due_later_if_the_chain_queues() {
    assert_eq!(due(&plan(1_800, 100), SIDE), at(CHAIN_MS + 3 * 100));
}

/// Guards against the side step of a late request that is due in the past: it would be ordered
/// behind all other work, and the chain would wait for it at the join. The chain itself stays
/// late, so that it doesn't displace requests that can be on time.
#[test]
fn side_step_of_a_late_request_is_due_when_the_chain_ends() {
    let plan = plan(500, 0);
    assert_eq!(due(&plan, SIDE), at(CHAIN_MS));
    assert_eq!(due(&plan, FIRST), plan.target_end(FIRST));
}

/// The due time of a step that starts late follows from the time that the chain has left.
#[test]
fn side_step_that_starts_late_is_due_at_the_end_of_the_rest() {
    let plan = plan(1_800, 0);
    let progress = |position| match position {
        0 => StepProgress::Done,
        1 => StepProgress::Started(at(300)),
        _ => StepProgress::Waiting,
    };
    let forecast = StepForecast::new(&plan, progress, at(350));
    assert_eq!(forecast.due(&plan, SIDE), at(300 + 2 * STEP_MS));
}

/// Time at which the side step ends that is due at `due_ms`, in milliseconds from its submission.
/// Its pool has one upstream and four full calls of other requests, due in 1,400 ms.
fn side_end_ms(due_ms: u64) -> u64 {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..4 {
        let order = bench.order(PIECES, 1_400);
        bench.submit_pieces(order);
    }
    let order = bench.order(1, due_ms);
    let (start, side) = (bench.now, bench.submit_pieces(order));
    while !bench.outcomes.iter().any(|(attempt, _)| *attempt == side) {
        let pieces = bench.calls[0].items.len() as u64;
        bench.advance(CALL_MS + PIECE_MS * pieces);
        bench.end_call(successful_item);
    }
    bench.now.since(start).as_millis() as u64
}

/// Guards against a chain that waits at the join under load: by its latest due time, the side step
/// is ordered behind other requests, and ends long after the chain.
#[test]
fn side_step_and_chain_end_together_under_load() {
    let plan = plan(1_800, 100);
    let millis = |time: MonotonicTime| time.since_start().as_millis() as u64;
    let chain_end = CHAIN_MS + 3 * 100;
    assert!(side_end_ms(millis(due(&plan, SIDE))) <= chain_end);
    assert!(side_end_ms(millis(plan.target_end(SIDE))) > chain_end + STEP_MS);
}
