//! Batched steps that are not begun because their request could not be answered in time.

#[path = "support/chain_plan.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod chain_plan;

use std::time::Duration;

use chain_plan::{at, plan};
use crocusdale_core::identity::{AttemptId, CallId};
use crocusdale_core::pipeline::{
    AttemptEvent, FinalAnswer, OutcomeKind, PlacedResult, RefusalReason, RequestRun, ResultHandle,
    ShardAction,
};

/// Queueing delay of the third step, in milliseconds.
const DELAY_MS: u64 = 1_500;
/// Latest end of the first step at which the rest can end before the deadline of 6,000 ms: the
/// second step takes 200 ms, the third 200 ms and its delay, the engine 250 ms.
const LATEST_MS: u64 = 6_000 - 200 - (200 + DELAY_MS) - 250;

/// Ends the first step at `end_ms`. Returns the final answer, if that ends the request, and the
/// resulting actions.
fn end_first_step(end_ms: u64) -> (Option<FinalAnswer>, Vec<ShardAction>) {
    let mut plan = plan(1_800, 0);
    plan.queueing_delays[2] = Duration::from_millis(DELAY_MS);
    let call = CallId(3);
    let mut run = RequestRun::new(call, 7, plan);
    let mut actions = Vec::new();
    assert!(run.start_first_steps(at(0), &mut actions).is_none());
    actions.clear();
    let result = PlacedResult { handle: ResultHandle::new("127.0.0.1:9/1"), zone: "a".to_owned() };
    let attempt = AttemptId { incarnation: 7, call, sequence: 1 };
    let event = AttemptEvent::PiecesCompleted(vec![result]);
    let answer = run.handle_attempt_event(attempt, event, at(end_ms), &mut actions);
    (answer, actions)
}

fn is_submission(action: &ShardAction) -> bool {
    matches!(action, ShardAction::SubmitPieces { .. })
}

/// Guards against work in vain: a chain is delayed, and its next steps would be computed although
/// the queues of the later pools leave no time for the answer.
#[test]
fn step_that_cannot_end_in_time_is_not_begun() {
    let (answer, actions) = end_first_step(LATEST_MS + 1);
    let answer = answer.expect("the request must end at once");
    assert_eq!((answer.kind, answer.reason), (OutcomeKind::Refused, Some(RefusalReason::Overload)));
    assert_eq!(answer.retry_after, Some(Duration::from_millis(DELAY_MS)));
    assert!(!actions.iter().any(is_submission));
    let has = |is_wanted: fn(&ShardAction) -> bool| actions.iter().any(is_wanted);
    assert!(has(|action| matches!(action, ShardAction::CancelPieces { .. })), "side step");
    assert!(has(|action| matches!(action, ShardAction::FreeResults { .. })), "first result");
}

/// Guards against a refusal of requests that still can be answered.
#[test]
fn step_that_can_just_end_in_time_is_begun() {
    let (answer, actions) = end_first_step(LATEST_MS);
    assert!(answer.is_none());
    assert!(actions.iter().any(is_submission));
}
