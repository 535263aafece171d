//! Results that are lost before all steps have read them, and the steps that run again.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::collections::BTreeSet;
use std::time::Duration;

use crocusdale_core::batching::{BatchOutcome, ItemOutcome};
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind, RefusalReason};

use forward_daemon::Daemon;

/// Positions of the steps of `/join/`: a chain of two, and one beside it.
const FIRST: u32 = 0;
const SECOND: u32 = 1;
const SIDE: u32 = 2;

/// Time within which a call starts and its steps are ready to end.
const CALL_MS: u64 = 250;

/// Time for which upstreams keep results.
const RESULT_LIFETIME_MS: u64 = 4_000;

/// Ends all calls in flight with results, and returns the positions of their steps.
fn complete_calls(daemon: &mut Daemon) -> BTreeSet<u32> {
    daemon.advance(CALL_MS);
    let items = daemon.batches.iter().flat_map(|order| &order.items);
    let steps = items.map(|item| item.step).collect();
    for _ in 0..daemon.batches.len() {
        daemon.complete_batch();
    }
    steps
}

/// Ends the only call in flight, whose inputs were gone.
fn lose_inputs(daemon: &mut Daemon) {
    daemon.advance(CALL_MS);
    assert_eq!(daemon.batches.len(), 1);
    let order = daemon.batches.remove(0);
    let items = order.items.iter().map(|_| ItemOutcome::InputGone).collect();
    let outcome = BatchOutcome::Answered(items);
    daemon.feed(DaemonEvent::BatchEnded { batch: order.batch, outcome });
}

/// A daemon that has sent the second step of a `/join/` request, and all before it have ended.
fn daemon_with_second_step() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(10);
    daemon.submit("/join/7");
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([FIRST, SIDE]));
    daemon
}

/// Guards against work in vain: a step's input was lost with its upstream, and the step beside the
/// chain, whose result is still there, would be computed again too.
#[test]
fn only_the_lost_input_of_a_step_is_computed_again() {
    let mut daemon = daemon_with_second_step();
    lose_inputs(&mut daemon);
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([FIRST]));
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([SECOND]));
    assert_eq!(daemon.last_relay().inputs.len(), 2, "the engine must get the kept result too");
}

/// Guards against a request that fails because the wrong results were computed again: after another
/// loss, all steps run again. After a third one the request fails.
#[test]
fn second_loss_runs_all_steps_again() {
    let mut daemon = daemon_with_second_step();
    lose_inputs(&mut daemon);
    complete_calls(&mut daemon);
    lose_inputs(&mut daemon);
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([FIRST, SIDE]));
    lose_inputs(&mut daemon);
    let reason = Some(RefusalReason::UpstreamBroken);
    assert_eq!(daemon.answer(daemon.answers[0].0), Some((OutcomeKind::Refused, reason)));
}

/// Guards against a step that is computed from freed inputs. The engine does not say which input it
/// could not fetch, so all of them are computed again, and what they need was freed.
#[test]
fn loss_at_the_engine_runs_its_inputs_and_their_freed_inputs_again() {
    let mut daemon = daemon_with_second_step();
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([SECOND]));
    let attempt = daemon.last_relay().attempt;
    daemon.receive_head(attempt, 409, ExecutionStatus::InputGone);
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([FIRST, SIDE]));
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([SECOND]));
    let second = daemon.last_relay();
    assert_ne!(second.attempt, attempt);
    assert_eq!(second.inputs.len(), 2);
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answers.last().map(|(_, answer)| answer.kind), Some(OutcomeKind::Answered));
}

/// Guards against results that are asked for after their upstream has dropped them for their age.
/// Only the side step's result is older than upstreams keep results.
#[test]
fn only_expired_results_are_computed_again() {
    let mut daemon = daemon_with_second_step();
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([SECOND]));
    let attempt = daemon.last_relay().attempt;
    daemon.advance(RESULT_LIFETIME_MS - CALL_MS / 2);
    daemon.receive_head(attempt, 409, ExecutionStatus::InputGone);
    assert_eq!(complete_calls(&mut daemon), BTreeSet::from([SIDE]));
    assert_eq!(daemon.last_relay().inputs.len(), 2);
}
