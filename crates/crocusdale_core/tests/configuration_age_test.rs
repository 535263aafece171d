//! How old the configuration may be where a request is admitted by it.
//!
//! What a user would see: an access key that the operator took away lets requests in for seconds more,
//! and one that was given is refused. How it comes: a watch of the configuration goes silent, or the
//! peer that would tell of the change does, or this process gets no processor; the daemon holds what it
//! knows for the latest. Cause: nothing asked how old that is where a request was judged by it.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
#[path = "support/reader_answer.rs"]
mod reader_answer;

use std::sync::Barrier;
use std::time::Duration;

use crocusdale_core::daemon::{Command, DaemonEvent, StalenessBounds};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind, RefusalReason};

use forward_daemon::{Daemon, KEY, WITHOUT_KEYS};
use reader_answer::answer_of_reader;

/// Times from the acknowledgement of a configuration until requests must be judged by it: those that
/// the users state, and half of the shortest.
const CONFIGURATION_BOUNDS_MS: [u64; 4] = [1_000, 2_000, 3_000, 4_000];
/// Longest answer of a platform that is in order.
const READING: Duration = Duration::from_millis(390);
/// Longest answer of a peer, after which it counts as lost.
const ANSWER: Duration = Duration::from_millis(790);
/// Pause between two requests.
const REQUEST_PACE: u64 = 10;

/// Sends requests with a key until `until`, and answers readings that take [`READING`]; the key is
/// gone from those that began after `removal`. Returns when the last request was let in.
fn last_request_let_in(
    daemon: &mut Daemon,
    removal: MonotonicTime,
    until: MonotonicTime,
) -> Option<MonotonicTime> {
    let mut last = None;
    while daemon.now < until {
        daemon.advance(REQUEST_PACE);
        if let Some(began) = daemon.readings.first().filter(|began| daemon.now >= **began + READING)
        {
            if *began >= removal {
                daemon.configuration = (2, WITHOUT_KEYS.to_owned());
            }
            daemon.publish(&["n1", "n2"], &[]);
        }
        daemon.submit("/ask/it");
        if !daemon.relays.is_empty() {
            last = Some(daemon.now);
        }
        for relay in std::mem::take(&mut daemon.relays) {
            daemon.headed(relay.attempt, 200, ExecutionStatus::Ran);
            daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
    }
    last
}

/// The operator takes a key away right after the daemon that reads for this one has read and answered
/// a heartbeat. That answer is under way for as long as one may be, then that daemon falls silent, and
/// so has this one's watch. It must notice, read by itself, and have an answer that takes as long as
/// one may.
#[test]
fn longest_times_of_a_configuration_add_up_to_less_than_the_bound() {
    for bound in CONFIGURATION_BOUNDS_MS.map(Duration::from_millis) {
        let worst =
            worst_time(StalenessBounds { configuration: bound, ..StalenessBounds::default() });
        assert!(worst < bound, "let in {worst:?} after the key was taken away, {bound:?} allowed");
        let notice = StalenessBounds {
            notice: bound,
            configuration: bound * 2,
            evacuation: bound * 2,
            recovery_time: bound * 2,
        };
        assert!(worst_time(notice) < bound, "the other bound is the shorter one");
    }
}

/// Longest time from the removal of a key to the last request that was let in with it.
fn worst_time(bounds: StalenessBounds) -> Duration {
    let shortest = bounds.configuration.min(bounds.notice).as_millis() as u64;
    let mut worst = Duration::ZERO;
    for offset in 0..50 {
        let mut daemon = Daemon::with_bounds(bounds);
        daemon.publish(&["n1", "n2"], &[]);
        let known = daemon.core.dump(daemon.now);
        let position = (known.revision, known.directory_revision);
        daemon.feed(answer_of_reader(position, daemon.now));
        daemon.advance(100);
        daemon.feed(answer_of_reader(position, daemon.now));
        daemon.advance(offset * shortest / 200);
        assert!(daemon.readings.is_empty(), "the peer reads");
        let removal = daemon.now;
        let answered = last_request_let_in(&mut daemon, removal, removal + ANSWER);
        daemon.feed(answer_of_reader(position, removal));
        let until = removal + Duration::from_secs(6);
        let last = last_request_let_in(&mut daemon, removal, until).max(answered);
        worst = worst.max(last.map_or(Duration::ZERO, |last| last.since(removal)));
    }
    let least = bounds.configuration.min(bounds.notice) / 4;
    assert!(worst > least, "the change came too early to be missed: {worst:?}");
    worst
}

/// A process gets no processor for three seconds, in which the operator takes a key away. The first
/// thing that it finds is a request with that key: it must read before it judges.
#[test]
fn daemon_that_wakes_reads_before_it_lets_in() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    let call = daemon.submit("/ask/it");
    assert_eq!(daemon.readings.len(), 1, "what is published is read at once");
    daemon.advance(20);
    daemon.configuration = (2, WITHOUT_KEYS.to_owned());
    daemon.publish(&["n1", "n2"], &[]);
    assert!(daemon.relays.is_empty(), "let in by a configuration that is 3.1 s old");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoAccess))));
}

/// The same, the other way round: a request with a key that was given meanwhile must not be refused by
/// what was in force before.
#[test]
fn daemon_that_wakes_reads_before_it_refuses() {
    let mut daemon = Daemon::new();
    daemon.configuration = (2, WITHOUT_KEYS.to_owned());
    daemon.feed(DaemonEvent::ConfigurationWatched(Some(daemon.configuration.clone())));
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    let call = daemon.submit("/ask/it");
    assert_eq!(daemon.answer(call), None, "refused by a configuration that is 3.1 s old");
    daemon.advance(20);
    daemon.configuration = (3, "first".to_owned());
    daemon.publish(&["n1", "n2"], &[]);
    assert_eq!(daemon.relays.len(), 1);
}

/// Time that a request waits for the reading is its own: its deadline runs from when it came.
#[test]
fn waiting_for_the_reading_uses_the_time_of_the_request() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    let came = daemon.now;
    daemon.submit("/ask/it");
    daemon.advance(300);
    daemon.publish(&["n1", "n2"], &[]);
    let relay = daemon.last_relay();
    assert!(relay.expires <= came + daemon.deadline, "{:?}", relay.expires.since(came));
}

/// Two threads: one takes requests while what is published is being read, the other one takes the
/// answer. A request that was put aside just as the others went on waited until its deadline.
#[test]
fn requests_that_are_put_aside_as_others_go_on_are_not_forgotten() {
    const REQUESTS: usize = 12;
    for round in 0..4_000 {
        let mut daemon = Daemon::new();
        daemon.publish(&["n1", "n2"], &[]);
        daemon.advance(100);
        daemon.now = daemon.now + Duration::from_secs(3);
        let answer = daemon.reading_answer(&["n1", "n2"]);
        let submit = |_| {
            let (call, request) = daemon.request("/tell/it", Some(KEY));
            DaemonEvent::Submitted { call, request }
        };
        let requests: Vec<DaemonEvent> = (0..REQUESTS).map(submit).collect();
        let (core, now, start) = (&daemon.core, daemon.now, Barrier::new(2));
        let sent: usize = std::thread::scope(|scope| {
            let threads = [requests, vec![answer]].map(|events| {
                let start = &start;
                scope.spawn(move || {
                    let mut commands = Vec::new();
                    start.wait();
                    for event in events {
                        core.handle(event, now, &mut commands);
                    }
                    commands.iter().filter(|each| matches!(each, Command::Relay(_))).count()
                })
            });
            threads.into_iter().map(|thread| thread.join().expect("no thread panics")).sum()
        });
        assert_eq!(sent, REQUESTS, "round {round}: requests wait, and the list is young");
    }
}
