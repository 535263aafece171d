//! Levels and deadlines of requests in a fleet with coordinated scheduling.

#[path = "support/chain_plan.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod chain_plan;

use std::time::Duration;

use chain_plan::{ENGINE_MS, FIRST, STEP_MS, at, plan};
use crocusdale_core::configuration::{AbandonRules, RepeatRule, SchedulingSettings};
use crocusdale_core::pipeline::RequestPlan;

const RULES: AbandonRules =
    AbandonRules { min_time: Duration::from_secs(2), objectives: 4, gaps: 8 };

/// Plan of a stream with an objective of `objective_ms` and a deadline of 6 s, whose callers abandon
/// it by [`RULES`].
fn stream(objective_ms: u64) -> RequestPlan {
    let mut plan = plan(objective_ms, 0);
    if let Some(forward) = &mut plan.pipeline.forward {
        forward.repeat = RepeatRule::Stream;
    }
    plan.apply_scheduling(&SchedulingSettings { abandon: Some(RULES), ..Default::default() });
    plan
}

fn level(workspace_level: u8, pipeline_level: u8) -> u8 {
    let mut plan = plan(1_800, 0);
    plan.level = workspace_level;
    if let Some(forward) = &mut plan.pipeline.forward {
        forward.level = pipeline_level;
    }
    plan.apply_scheduling(&SchedulingSettings { pipeline_levels: true, ..Default::default() });
    plan.level
}

/// Guards against pipelines that are all alike because every workspace has a level.
#[test]
fn pipeline_orders_requests_of_one_workspace_level() {
    assert!(level(1, 0) < level(1, 1) && level(1, 1) < level(1, 2));
    assert!(level(0, 2) < level(1, 0), "the level of the workspace goes first");
    assert_eq!(level(u8::MAX, u8::MAX), u8::MAX);
}

/// Guards against late requests that are served when their callers have left.
#[test]
fn steps_of_a_stream_end_before_its_caller_leaves() {
    let plan = stream(1_000);
    assert_eq!(plan.first_event_deadline, at(4_000));
    assert_eq!(plan.deadline, at(6_000), "the stream may go on after its first event");
    assert_eq!(plan.latest_end(FIRST), at(4_000 - 2 * STEP_MS - ENGINE_MS));
}

#[test]
fn callers_wait_for_the_longest_of_three_times() {
    assert_eq!(stream(100).first_event_deadline, at(2_000));
    assert_eq!(stream(1_600).first_event_deadline, at(6_000), "not beyond the deadline");
    let gap_target = Duration::from_millis(600);
    let timeout = RULES.first_event_timeout(Duration::from_millis(100), gap_target);
    assert_eq!(timeout, Duration::from_millis(4_800));
}

/// Guards against answers that are no streams being given up before their deadline.
#[test]
fn callers_of_other_answers_wait_until_the_deadline() {
    let mut plan = plan(1_000, 0);
    plan.apply_scheduling(&SchedulingSettings { abandon: Some(RULES), ..Default::default() });
    assert_eq!(plan.first_event_deadline, plan.deadline);
}
