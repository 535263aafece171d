//! A daemon that was suspended, or got no processor, and wakes amid its work.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use crocusdale_core::daemon::{DaemonEvent, TimerKey};
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind};

use forward_daemon::Daemon;

/// Pauses of a process: a freeze of its VM, and a quota that was used up twice in a row.
const PAUSES_MS: [u64; 2] = [3_000, 250];

/// Time within which a first call has gone out: its upstream is asked for its free memory before.
const QUESTION_MS: u64 = 110;

fn paused(daemon: &mut Daemon, millis: u64) {
    daemon.now = daemon.now + Duration::from_millis(millis);
}

fn woken_daemon() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    daemon
}

/// The VM that dispatches a pool freezes for three seconds while an upstream works on its call. The
/// answer came in time, and is read three seconds late. Users of the ten seconds after wait: the
/// upstream is taken for ten times slower than its fellows, and left out.
#[test]
fn pause_is_not_charged_to_an_upstream() {
    for pause in PAUSES_MS {
        let mut daemon = woken_daemon();
        daemon.submit("/digest/1");
        daemon.advance(QUESTION_MS);
        let open = daemon.batches[0].upstream.clone();
        paused(&mut daemon, pause);
        daemon.complete_batch();
        for request in 2..4 {
            daemon.submit(&format!("/digest/{request}"));
            daemon.advance(QUESTION_MS);
        }
        let called: Vec<&str> = daemon.batches.iter().map(|each| each.upstream.as_str()).collect();
        assert!(called.contains(&open.as_str()), "{called:?} without {open} after {pause} ms");
        assert_eq!(called.len(), 2, "both upstreams have a call after {pause} ms");
    }
}

/// The same, and the first thing that the process does when it wakes is to look for calls that are
/// lost. The answer lies unread in its socket: given up now, the work would be done twice.
#[test]
fn call_is_not_lost_because_its_caller_slept() {
    let mut daemon = woken_daemon();
    let call = daemon.submit("/digest/1");
    daemon.advance(QUESTION_MS);
    paused(&mut daemon, 3_000);
    daemon.feed(DaemonEvent::Timer(TimerKey::Housekeeping));
    assert_eq!(daemon.batches.len(), 1, "the pieces were called for again");
    daemon.complete_batch();
    daemon.receive_head(daemon.last_relay().attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(daemon.last_relay().attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// A call that is lost for another cause is still given up: the pause is added to its time, no more.
#[test]
fn lost_call_is_given_up_after_a_pause_too() {
    let mut daemon = woken_daemon();
    daemon.submit("/digest/1");
    daemon.advance(QUESTION_MS);
    paused(&mut daemon, 3_000);
    daemon.feed(DaemonEvent::Timer(TimerKey::Housekeeping));
    daemon.advance(2_000);
    assert!(daemon.batches.len() > 1, "the pieces wait for a call that is lost");
}

/// A plain service answers an order in a few milliseconds, and its daemon reads that after a pause.
/// Learned as its time, it would look busy, and orders would go to its fellows or wait.
#[test]
fn pause_is_not_learned_as_the_time_of_an_answer() {
    for pause in PAUSES_MS {
        let mut daemon = woken_daemon();
        daemon.submit("/ask/1");
        let order = daemon.last_relay();
        paused(&mut daemon, pause);
        daemon.receive_head(order.attempt, 200, ExecutionStatus::Ran);
        daemon.attempt(order.attempt, AttemptEvent::ResponseForwarded);
        let learned = daemon.core.dump(daemon.now).upstreams;
        let learned = learned.iter().find(|each| each.name == order.upstream).expect("it is known");
        assert_eq!(learned.mean_answer_time_ms, None, "after {pause} ms");
    }
}

/// An upstream is slow, and nobody slept. It must be known as slow.
#[test]
fn time_of_a_slow_upstream_is_learned() {
    let mut daemon = woken_daemon();
    daemon.submit("/ask/1");
    let order = daemon.last_relay();
    daemon.advance(600);
    daemon.receive_head(order.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(order.attempt, AttemptEvent::ResponseForwarded);
    let learned = daemon.core.dump(daemon.now).upstreams;
    let learned = learned.iter().find(|each| each.name == order.upstream).expect("it is known");
    assert_eq!(learned.mean_answer_time_ms, Some(600.0));
}
