//! Callers' own requests on their way to upstreams.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::pipeline::{
    AttemptEvent, BreakReason, ExecutionStatus, OutcomeKind, RefusalReason,
};

use forward_daemon::Daemon;

/// A shred order reaches an upstream that is full and says that it has not run it. The user need
/// not come back: another upstream takes it, and it runs once.
#[test]
fn order_that_was_not_run_goes_to_another_upstream() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    let first = daemon.last_relay();
    assert!(first.needs_new_connection, "a kept connection may close just as the order is written");
    assert_eq!(first.workspace.as_deref(), Some("letters"));
    daemon.receive_head(first.attempt, 503, ExecutionStatus::Declined);
    let second = daemon.last_relay();
    assert_ne!(second.upstream, first.upstream);
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    assert_eq!(daemon.released_answers, [second.attempt]);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// The connection breaks off after a shred order was written. It may have run: a second upstream
/// could shred twice, and "not run" could be a lie. The user hears at once that nobody knows.
#[test]
fn order_that_may_have_run_is_never_sent_again() {
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

/// A question fails at an upstream whose health check is good. It may be asked again, and the user
/// gets the answer of the second one; the failure of the first is dropped.
#[test]
fn question_that_failed_is_asked_elsewhere() {
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

/// A question fails at both upstreams that it may be sent to. The user gets the second failure as
/// its upstream gave it, not one of the system's own that says less.
#[test]
fn failure_of_the_last_upstream_is_passed_on() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2", "n3"], &[]);
    daemon.submit("/ask/7");
    daemon.receive_head(daemon.last_relay().attempt, 500, ExecutionStatus::Ran);
    let second = daemon.last_relay();
    daemon.receive_head(second.attempt, 500, ExecutionStatus::Ran);
    assert_eq!(daemon.relays.len(), 2, "two attempts are declared");
    assert_eq!(daemon.released_answers, [second.attempt]);
}

/// A question fails, and the only other upstream has just left. The failure that was kept back is
/// all that can be had, and the user gets it at once.
#[test]
fn kept_failure_is_passed_on_if_nobody_else_is_there() {
    let mut daemon = Daemon::new();
    daemon.submit("/ask/7");
    let first = daemon.last_relay();
    let other = if first.upstream == "n1" { "n2" } else { "n1" };
    daemon.publish(&["n1", "n2"], &[other]);
    daemon.receive_head(first.attempt, 500, ExecutionStatus::Ran);
    assert_eq!(daemon.relays.len(), 1);
    assert_eq!(daemon.released_answers, [first.attempt]);
}

/// A digest's engine dies in the middle of its stream. Another engine goes on; the pieces whose
/// results were given up at the first event are made anew, and nobody makes them a third time.
#[test]
fn stream_is_taken_up_again_with_its_inputs_made_anew() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/digest/7");
    daemon.advance(220);
    daemon.complete_batch();
    let first = daemon.last_relay();
    assert_eq!(first.inputs.len(), 3);
    daemon.receive_head(first.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(first.attempt, AttemptEvent::StreamStarted);
    daemon.attempt(first.attempt, AttemptEvent::Broken(BreakReason::Cut));
    assert_eq!(daemon.relays.len(), 1, "an engine would refuse it without its inputs");
    daemon.advance(5_00);
    daemon.complete_batch();
    let second = daemon.last_relay();
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(second.inputs.len(), 3);
    daemon.receive_head(second.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(second.attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// The engine that takes a stream up again answers with a failure. The caller has the head of a
/// success: the failure must not be written behind it as if it were more of the stream.
#[test]
fn failure_never_follows_the_events_of_a_success() {
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

/// A caller leaves while its question runs. Its upstream would work on for nobody; it is told.
#[test]
fn work_of_a_caller_that_left_is_stopped() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/ask/7");
    let attempt = daemon.last_relay().attempt;
    daemon.feed(DaemonEvent::CallerDisconnected(call));
    assert_eq!(daemon.cancelled, [attempt]);
}

/// A caller leaves while its shred order runs. To break it off would waste the one run that it has,
/// and save nothing.
#[test]
fn order_that_runs_is_not_broken_off() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    daemon.feed(DaemonEvent::CallerDisconnected(call));
    assert!(daemon.cancelled.is_empty());
}

/// An upstream never answers. The user hears by the pipeline's time that nobody knows, neither
/// sooner, as silence proves nothing, nor later.
#[test]
fn silent_upstream_is_waited_for_until_the_deadline() {
    let mut daemon = Daemon::new();
    let call = daemon.submit("/shred/7");
    daemon.advance(1_990);
    assert_eq!(daemon.answer(call), None);
    daemon.advance(20);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Unknown, Some(RefusalReason::Deadline))));
}

/// No upstream of the pool is there. The order has not run and never will; the user is told at
/// once, and when to come back.
#[test]
fn order_without_upstreams_is_refused_at_once() {
    let mut daemon = Daemon::new();
    daemon.publish(&[], &[]);
    let call = daemon.submit("/shred/7");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoUpstream))));
    assert!(daemon.answers[0].1.retry_after.is_some());
}

/// A key was taken away, and its holder calls on. Nothing of it reaches an upstream.
#[test]
fn unknown_key_and_path_are_refused() {
    let mut daemon = Daemon::new();
    let call = daemon.submit_with("/ask/7", Some("old"));
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoAccess))));
    let call = daemon.submit("/other/7");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoRoute))));
    assert!(daemon.relays.is_empty());
}

/// The process is told to end. It serves callers that still use an old address, refuses those that
/// it could not finish, and answers whatever is open before it is killed.
#[test]
fn draining_daemon_answers_everything_before_its_end() {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    let open = daemon.submit("/shred/7");
    daemon.feed(DaemonEvent::DrainRequested);
    assert!(daemon.core.is_leaving());
    let kept = daemon.submit("/ask/7");
    assert_eq!(daemon.answer(kept), None, "it is served");
    daemon.advance(2_600);
    let late = daemon.submit("/ask/8");
    assert_eq!(daemon.answer(late), Some((OutcomeKind::Refused, Some(RefusalReason::Draining))));
    daemon.advance(4_400);
    assert_eq!(daemon.answer(open), None, "there is time left");
    daemon.advance(200);
    let unknown = (OutcomeKind::Unknown, Some(RefusalReason::Draining));
    assert_eq!(daemon.answer(open), Some(unknown));
}

/// A prompt's shared part is known to one engine. Requests of the same subject that come in at
/// other daemons must find the same engine, or each would read the part again.
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

/// An operator asks why a request took so long, and its log line says one attempt. It had been sent
/// to a process that had moved: what was tried before stands beside the upstream that answered.
#[test]
fn upstreams_that_ran_nothing_are_named() {
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

/// A piece of a request's second step fails by chance, as one in some hundreds does. Where its inputs
/// had been given up as soon as they were fetched, the whole request was begun anew, and came late. So
/// inputs that take up a thousandth of an upstream's memory stay until their step has ended; those of
/// an eighth are given up, as the next requests need their room.
#[test]
fn light_inputs_stay_until_their_step_has_ended() {
    for (path, given_up) in [("/light/7", 0), ("/heavy/7", 3)] {
        let mut daemon = Daemon::new();
        daemon.submit(path);
        daemon.advance(110);
        daemon.complete_batch();
        daemon.advance(110);
        assert_eq!(daemon.batches.len(), 1, "the second step is under way");
        daemon.advance(100);
        assert_eq!(daemon.freed.len(), given_up, "{path}");
        daemon.complete_batch();
        daemon.advance(100);
        assert!(daemon.freed.len() >= 3, "{path}: nobody needs them any more");
    }
}
