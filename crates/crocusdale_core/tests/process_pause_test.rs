//! A daemon that resumes after it was suspended, or got no processor time, in the middle of its
//! work.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use crocusdale_core::daemon::{DaemonEvent, TimerKey};
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind};

use forward_daemon::Daemon;

/// Process pauses in milliseconds: a freeze of the VM, and a CPU quota that was used up twice in a
/// row.
const PAUSES_MS: [u64; 2] = [3_000, 250];

/// Time in milliseconds within which a first call is sent. Before it, the daemon queries the free
/// memory of the upstream.
const MEMORY_QUERY_MS: u64 = 110;

fn pause_process(daemon: &mut Daemon, millis: u64) {
    daemon.now = daemon.now + Duration::from_millis(millis);
}

fn daemon_with_long_deadline() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    daemon
}

/// Guards against a pause of the dispatcher that counts as answer time of an upstream. The VM
/// freezes for three seconds during a call, and the answer, which came in time, is read late. The
/// upstream would seem ten times slower than the others and get no calls, and users of the next ten
/// seconds would wait.
#[test]
fn pause_is_not_charged_to_an_upstream() {
    for pause in PAUSES_MS {
        let mut daemon = daemon_with_long_deadline();
        daemon.submit("/digest/1");
        daemon.advance(MEMORY_QUERY_MS);
        let open = daemon.batches[0].upstream.clone();
        pause_process(&mut daemon, pause);
        daemon.complete_batch();
        for request in 2..4 {
            daemon.submit(&format!("/digest/{request}"));
            daemon.advance(MEMORY_QUERY_MS);
        }
        let called: Vec<&str> = daemon.batches.iter().map(|each| each.upstream.as_str()).collect();
        assert!(
            called.contains(&open.as_str()),
            "{open} must be called again after {pause} ms, called: {called:?}"
        );
        assert_eq!(called.len(), 2, "both upstreams must have a call after {pause} ms");
    }
}

/// Guards against work that is done twice. The first thing that the process does after a pause is
/// to look for lost calls, while the answer lies unread in its socket.
#[test]
fn call_is_not_lost_because_the_dispatcher_paused() {
    let mut daemon = daemon_with_long_deadline();
    let call = daemon.submit("/digest/1");
    daemon.advance(MEMORY_QUERY_MS);
    pause_process(&mut daemon, 3_000);
    daemon.feed(DaemonEvent::Timer(TimerKey::Housekeeping));
    assert_eq!(daemon.batches.len(), 1, "the pieces must not be sent a second time");
    daemon.complete_batch();
    daemon.receive_head(daemon.last_relay().attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(daemon.last_relay().attempt, AttemptEvent::ResponseForwarded);
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Answered, None)));
}

/// Guards against a pause that hides a lost call: the timeout of the call is extended by the pause,
/// and by no more.
#[test]
fn lost_call_times_out_after_a_pause_too() {
    let mut daemon = daemon_with_long_deadline();
    daemon.submit("/digest/1");
    daemon.advance(MEMORY_QUERY_MS);
    pause_process(&mut daemon, 3_000);
    daemon.feed(DaemonEvent::Timer(TimerKey::Housekeeping));
    daemon.advance(2_000);
    assert!(daemon.batches.len() > 1, "the pieces of the lost call must be sent again");
}

/// Guards against a pause that counts as answer time of a plain service. It answers in a few
/// milliseconds, and the daemon reads the answer after a pause. The upstream would look busy, and
/// requests would be queued or go to others.
#[test]
fn pause_is_not_recorded_as_answer_time() {
    for pause in PAUSES_MS {
        let mut daemon = daemon_with_long_deadline();
        daemon.submit("/ask/1");
        let order = daemon.last_relay();
        pause_process(&mut daemon, pause);
        daemon.receive_head(order.attempt, 200, ExecutionStatus::Ran);
        daemon.attempt(order.attempt, AttemptEvent::ResponseForwarded);
        let summaries = daemon.core.dump(daemon.now).upstreams;
        let summary =
            summaries.iter().find(|each| each.name == order.upstream).expect("it is listed");
        assert_eq!(summary.mean_answer_time_ms, None, "no time may be recorded after {pause} ms");
    }
}

/// Guards against a slow upstream that is not recognized as slow, where the daemon has not paused.
#[test]
fn answer_time_of_a_slow_upstream_is_recorded() {
    let mut daemon = daemon_with_long_deadline();
    daemon.submit("/ask/1");
    let order = daemon.last_relay();
    daemon.advance(600);
    daemon.receive_head(order.attempt, 200, ExecutionStatus::Ran);
    daemon.attempt(order.attempt, AttemptEvent::ResponseForwarded);
    let summaries = daemon.core.dump(daemon.now).upstreams;
    let summary = summaries.iter().find(|each| each.name == order.upstream).expect("it is listed");
    assert_eq!(summary.mean_answer_time_ms, Some(600.0));
}
