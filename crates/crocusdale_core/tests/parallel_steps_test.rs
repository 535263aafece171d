//! Due times of batched steps that run in parallel with a chain of others.

#[path = "support/chain_plan.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod chain_plan;

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
