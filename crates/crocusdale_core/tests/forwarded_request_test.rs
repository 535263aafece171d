//! Requests of callers that are forwarded to upstreams as they are.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, ExecutionStatus, OutcomeKind, RefusalReason,
};

use forward_daemon::Daemon;

/// Guards against a refusal of a request that can still run. A shred request may run once; an
/// upstream at its limit declares that it has not run it, so another upstream gets it.
#[test]
fn request_that_was_not_run_goes_to_another_upstream() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    let first = daemon.last_relay();
    assert!(
        first.needs_new_connection,
        "a reused connection may close just as the request is written"
    );
    assert_eq!(first.workspace.as_deref(), Some("letters"));
    daemon.receive_head(first.attempt, 503, ExecutionStatus::Declined);
    let second = daemon.last_relay();
    assert_ne!(second.upstream, first.upstream);
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    assert_eq!(daemon.released_answers, [second.attempt]);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// Guards against a shred request that runs twice. The connection breaks after the request was
/// written, so it may have run: it must not be retried, nor reported as not run. The caller learns
/// at once that the outcome is unknown.
#[test]
fn request_that_may_have_run_is_not_retried() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    let first = daemon.last_relay();
    daemon.attempt(first.attempt, AttemptEvent::Broken(BreakReason::Cut));
    assert_eq!(daemon.relays.len(), 1);
    assert_eq!(
        daemon.answer(call),
        Some((OutcomeKind::Unknown, Some(RefusalReason::UpstreamBroken)))
    );
}

/// Guards against a failure of one upstream, whose health check passes, that reaches the caller of
/// a repeatable request. The caller gets the answer of the second upstream, and the first failure
/// is dropped.
#[test]
fn failed_repeatable_request_is_retried_elsewhere() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/ask/7");
    let first = daemon.last_relay();
    daemon.receive_head(first.attempt, 500, ExecutionStatus::Ran);
    let second = daemon.last_relay();
    assert_ne!(second.upstream, first.upstream);
    assert!(daemon.cancelled.contains(&first.attempt));
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// Guards against a generic error in place of the last upstream's own. A repeatable request fails
/// at both upstreams that it may be sent to, and the caller gets the second failure unchanged.
#[test]
fn failure_of_the_last_attempt_is_forwarded() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2", "n3"], &[]);
    daemon.submit("/ask/7");
    daemon.receive_head(daemon.last_relay().attempt, 500, ExecutionStatus::Ran);
    let second = daemon.last_relay();
    daemon.receive_head(second.attempt, 500, ExecutionStatus::Ran);
    assert_eq!(daemon.relays.len(), 2, "the route allows two attempts");
    assert_eq!(daemon.released_answers, [second.attempt]);
}

/// Guards against a wait for a retry that can't be made. The request fails and the only other
/// upstream has just left, so the caller gets the withheld failure at once.
#[test]
fn withheld_failure_is_forwarded_without_another_upstream() {
    let mut daemon = Daemon::new();
    daemon.submit("/ask/7");
    let first = daemon.last_relay();
    let other = if first.upstream == "n1" { "n2" } else { "n1" };
    daemon.publish(&["n1", "n2"], &[other]);
    daemon.receive_head(first.attempt, 500, ExecutionStatus::Ran);
    assert_eq!(daemon.relays.len(), 1);
    assert_eq!(daemon.released_answers, [first.attempt]);
}

/// Guards against a stream that can't be resumed because its inputs were freed at its first event.
/// The engine of a digest ends in the middle of the stream; the inputs are made again, once, and
/// another engine resumes the stream.
#[test]
fn stream_is_resumed_after_its_inputs_are_made_again() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/digest/7");
    daemon.advance(220);
    daemon.complete_batch();
    let first = daemon.last_relay();
    assert_eq!(first.inputs.len(), 3);
    daemon.receive_head(first.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(first.attempt, AttemptEvent::StreamStarted);
    daemon.attempt(first.attempt, AttemptEvent::Broken(BreakReason::Cut));
    assert_eq!(daemon.relays.len(), 1, "an engine would refuse the request without its inputs");
    daemon.advance(5_00);
    daemon.complete_batch();
    let second = daemon.last_relay();
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(second.inputs.len(), 3);
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// Guards against a failure body that is written behind the events of a stream. The engine that
/// resumes the stream fails, while the caller already has the head of a successful answer.
#[test]
fn failure_is_never_forwarded_after_the_events_of_a_stream() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/digest/7");
    daemon.advance(220);
    daemon.complete_batch();
    let first = daemon.last_relay();
    daemon.receive_head(first.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(first.attempt, AttemptEvent::Broken(BreakReason::Cut));
    let second = daemon.last_relay();
    assert_ne!(second.attempt, first.attempt);
    daemon.receive_head(second.attempt, 500, ExecutionStatus::Ran);
    assert_eq!(daemon.released_answers, [first.attempt]);
    assert_eq!(
        daemon.answer(call),
        Some((OutcomeKind::Failed, Some(RefusalReason::UpstreamError)))
    );
}

/// Guards against an upstream that works for a caller which has disconnected: its repeatable
/// request must be cancelled.
#[test]
fn repeatable_request_of_a_disconnected_caller_is_cancelled() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/ask/7");
    let attempt = daemon.last_relay().attempt;
    daemon.feed(DaemonEvent::CallerDisconnected(call));
    assert_eq!(daemon.cancelled, [attempt]);
}

/// Guards against a shred request that is cancelled when its caller disconnects. Cancelling would
/// waste the only run that it may have, and save nothing.
#[test]
fn running_request_that_must_not_repeat_is_not_cancelled() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    daemon.feed(DaemonEvent::CallerDisconnected(call));
    assert!(daemon.cancelled.is_empty());
}

/// Guards against an unknown outcome that is reported too early or too late. Silence of the
/// upstream proves nothing, so the caller gets it at the deadline of the pipeline.
#[test]
fn silent_upstream_is_given_until_the_deadline() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    daemon.advance(1_990);
    assert_eq!(daemon.answer(call), None);
    daemon.advance(20);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Unknown, Some(RefusalReason::Deadline))));
}

/// Guards against a request that is queued although its pool has no upstreams. It is refused as not
/// run at once, with a retry time.
#[test]
fn request_without_upstreams_is_refused_at_once() {
    let mut daemon = Daemon::new();
    daemon.publish(&[], &[]);
    let call = daemon.submit("/shred/7");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoUpstream))));
    assert!(daemon.answers[0].1.retry_after.is_some());
}

/// Guards against requests with a revoked key, or of an unknown path, that reach an upstream.
#[test]
fn unknown_key_and_path_are_refused() {
    let mut daemon = Daemon::new();
    let call = daemon.submit_with("/ask/7", Some("old"));
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoAccess))));
    let call = daemon.submit("/other/7");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoRoute))));
    assert!(daemon.relays.is_empty());
}

/// Guards against requests without an answer when a process ends. While it drains, it serves
/// callers that still use its address, then refuses requests that it could not finish, and answers
/// all open requests before it is killed.
#[test]
fn draining_daemon_answers_everything_before_its_end() {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    let open = daemon.submit("/shred/7");
    daemon.feed(DaemonEvent::DrainRequested);
    assert!(daemon.core.is_leaving());
    let kept = daemon.submit("/ask/7");
    assert_eq!(daemon.answer(kept), None, "a request just after the drain request must be served");
    daemon.advance(2_600);
    let late = daemon.submit("/ask/8");
    assert_eq!(daemon.answer(late), Some((OutcomeKind::Refused, Some(RefusalReason::Draining))));
    daemon.advance(4_400);
    assert_eq!(
        daemon.answer(open),
        None,
        "the open request must not be answered before its time is over"
    );
    daemon.advance(200);
    let unknown = (OutcomeKind::Unknown, Some(RefusalReason::Draining));
    assert_eq!(daemon.answer(open), Some(unknown));
}

/// Guards against prompt prefixes that several engines compute. Requests of one subject share a
/// prefix, and must reach the same engine from every daemon.
#[test]
fn daemons_agree_on_the_engine_of_a_subject() {
    let (mut first, mut second) = (Daemon::new(), Daemon::new());
    for daemon in [&mut first, &mut second] {
        daemon.submit("/digest/7");
        daemon.advance(220);
        daemon.complete_batch();
    }
    assert_eq!(first.last_relay().upstream, second.last_relay().upstream);
}

/// Guards against log lines that hide why a request was slow. It was sent to a process that had
/// moved, which does not count as an attempt; that upstream must be listed beside the one that
/// answered.
#[test]
fn upstreams_that_did_not_run_the_request_are_listed() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/ask/7");
    let first = daemon.last_relay();
    daemon.receive_head(first.attempt, 421, ExecutionStatus::WrongProcess);
    let second = daemon.last_relay();
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    let (_, answer) = daemon.answers.iter().find(|(each, _)| *each == call).expect("answered");
    let stage = &answer.stages[0];
    assert_eq!((&stage.upstream, stage.attempts), (&second.upstream, 1));
    assert_eq!(stage.tried, [first.upstream]);
}

/// Guards against requests that start from the beginning after a piece of their second step failed,
/// as one in some hundreds does, and so answer late. Inputs of a thousandth of an upstream's memory
/// stay until their step has ended. Those of an eighth are freed once they are fetched, as the next
/// requests need the memory.
#[test]
fn small_inputs_are_kept_until_their_step_has_ended() {
    for (path, freed_inputs) in [("/light/7", 0), ("/heavy/7", 3)] {
        let mut daemon = Daemon::new();
        daemon.submit(path);
        daemon.advance(110);
        daemon.complete_batch();
        daemon.advance(110);
        assert_eq!(daemon.batches.len(), 1, "the second step must be running");
        daemon.advance(100);
        assert_eq!(daemon.freed.len(), freed_inputs, "inputs of {path} freed during the step");
        daemon.complete_batch();
        daemon.advance(100);
        assert!(daemon.freed.len() >= 3, "{path}: inputs must be freed after their step");
    }
}
