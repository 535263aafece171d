//! Tests of the maximum age of the configuration under which a request is admitted.
//!
//! Guards against revoked access keys that admit requests for seconds, and against new keys that
//! are refused. This happens if the watch of the configuration or the peer that reads it falls
//! silent, or if this process gets no CPU time, while the daemon assumes that its own copy is
//! current. So a daemon must check the age of its configuration for each request.

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

/// Limits on the time from the acknowledgement of a configuration to the first request that must be
/// handled under it: those that users require, and half of the shortest of these.
const CONFIGURATION_LIMITS_MS: [u64; 4] = [1_000, 2_000, 3_000, 4_000];
/// Longest response time of a healthy platform.
const PLATFORM_RESPONSE_TIME: Duration = Duration::from_millis(390);
/// Longest response time of a peer. After a longer one, the response counts as lost.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(790);
/// Interval between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 10;

/// Sends requests with an access key until `end`, and answers each read of the platform after
/// [`PLATFORM_RESPONSE_TIME`]. Reads that begin at `removal` or later find the key revoked. Returns
/// the time at which the last request was admitted.
fn last_admission_time(
    daemon: &mut Daemon,
    removal: MonotonicTime,
    end: MonotonicTime,
) -> Option<MonotonicTime> {
    let mut last = None;
    while daemon.now < end {
        daemon.advance(REQUEST_INTERVAL_MS);
        if let Some(read_start) = daemon
            .pending_reads
            .first()
            .filter(|read_start| daemon.now >= **read_start + PLATFORM_RESPONSE_TIME)
        {
            if *read_start >= removal {
                daemon.configuration = (2, WITHOUT_KEYS.to_owned());
            }
            daemon.publish(&["n1", "n2"], &[]);
        }
        daemon.submit("/ask/it");
        if !daemon.relays.is_empty() {
            last = Some(daemon.now);
        }
        for relay in std::mem::take(&mut daemon.relays) {
            daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
            daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
    }
    last
}

/// Guards against a revoked key that admits requests for longer than the limit, if all delays are
/// as long as possible. The key is revoked right after the peer that reads the platform has read it
/// and answered a heartbeat. That answer takes as long as it may, and then the peer and the watch
/// fall silent. The daemon must notice, and read the platform itself, which takes as long as it
/// may.
#[test]
fn longest_delays_of_a_configuration_change_stay_within_the_limit() {
    for bound in CONFIGURATION_LIMITS_MS.map(Duration::from_millis) {
        let max_delay = max_admission_delay(StalenessBounds {
            configuration: bound,
            ..StalenessBounds::default()
        });
        assert!(
            max_delay < bound,
            "a request was admitted {max_delay:?} after the key was revoked, limit {bound:?}"
        );
        let shorter_notice_bounds = StalenessBounds {
            notice: bound,
            configuration: bound * 2,
            evacuation: bound * 2,
            recovery_time: bound * 2,
        };
        assert!(
            max_admission_delay(shorter_notice_bounds) < bound,
            "the age of the configuration must keep the shorter limit, {bound:?}"
        );
    }
}

/// Returns the longest time from the revocation of a key to the last request admitted with it.
fn max_admission_delay(bounds: StalenessBounds) -> Duration {
    let shortest = bounds.configuration.min(bounds.notice).as_millis() as u64;
    let mut max_delay = Duration::ZERO;
    for offset in 0..50 {
        let mut daemon = Daemon::with_bounds(bounds);
        daemon.publish(&["n1", "n2"], &[]);
        let state = daemon.core.dump(daemon.now);
        let position = (state.revision, state.directory_revision);
        daemon.feed(answer_of_reader(position, daemon.now));
        daemon.advance(100);
        daemon.feed(answer_of_reader(position, daemon.now));
        daemon.advance(offset * shortest / 200);
        assert!(
            daemon.pending_reads.is_empty(),
            "the daemon must not read the platform while its peer does"
        );
        let removal = daemon.now;
        let last_before_answer =
            last_admission_time(&mut daemon, removal, removal + PEER_RESPONSE_TIME);
        daemon.feed(answer_of_reader(position, removal));
        let end = removal + Duration::from_secs(6);
        let last = last_admission_time(&mut daemon, removal, end).max(last_before_answer);
        max_delay = max_delay.max(last.map_or(Duration::ZERO, |last| last.since(removal)));
    }
    let min_expected_delay = bounds.configuration.min(bounds.notice) / 4;
    assert!(
        max_delay > min_expected_delay,
        "expected admissions for over {min_expected_delay:?}, got {max_delay:?}"
    );
    max_delay
}

/// Guards against a revoked key that admits a request after a pause of the process. The key is
/// revoked while the process gets no CPU time for three seconds. The first event afterwards is a
/// request with that key, so the daemon must read the platform before it admits the request.
#[test]
fn resumed_daemon_reads_the_platform_before_it_admits() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    let call = daemon.submit("/ask/it");
    assert_eq!(
        daemon.pending_reads.len(),
        1,
        "the daemon must start one read of the platform at once"
    );
    daemon.advance(20);
    daemon.configuration = (2, WITHOUT_KEYS.to_owned());
    daemon.publish(&["n1", "n2"], &[]);
    assert!(
        daemon.relays.is_empty(),
        "the request was admitted under a configuration that is 3.1 s old"
    );
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::NoAccess))));
}

/// Guards against a new key that is refused after a pause of the process. The key is added during
/// the pause, and the daemon still has the configuration from before it.
#[test]
fn resumed_daemon_reads_the_platform_before_it_refuses() {
    let mut daemon = Daemon::new();
    daemon.configuration = (2, WITHOUT_KEYS.to_owned());
    daemon.feed(DaemonEvent::ConfigurationWatched(Some(daemon.configuration.clone())));
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    let call = daemon.submit("/ask/it");
    assert_eq!(
        daemon.answer(call),
        None,
        "the request was refused under a configuration that is 3.1 s old"
    );
    daemon.advance(20);
    daemon.configuration = (3, "first".to_owned());
    daemon.publish(&["n1", "n2"], &[]);
    assert_eq!(daemon.relays.len(), 1);
}

/// Guards against a deadline that is extended by the wait for a read of the platform. The deadline
/// counts from the arrival of the request.
#[test]
fn wait_for_a_platform_read_counts_against_the_deadline() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    let arrival = daemon.now;
    daemon.submit("/ask/it");
    daemon.advance(300);
    daemon.publish(&["n1", "n2"], &[]);
    let relay = daemon.last_relay();
    assert!(
        relay.expires <= arrival + daemon.deadline,
        "the request expires {:?} after its arrival",
        relay.expires.since(arrival)
    );
}

/// Guards against a held request that waits until its deadline because of a race. One thread
/// accepts requests and holds them during a read of the platform. The other thread handles the
/// response and releases the held requests, and can miss one that is added at that moment.
#[test]
fn requests_held_while_others_are_released_are_released_too() {
    const REQUESTS: usize = 12;
    for round in 0..4_000 {
        let mut daemon = Daemon::new();
        daemon.publish(&["n1", "n2"], &[]);
        daemon.advance(100);
        daemon.now = daemon.now + Duration::from_secs(3);
        let answer = daemon.start_read(&["n1", "n2"]);
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
        assert_eq!(
            sent, REQUESTS,
            "round {round}: requests are still held after the read of the platform"
        );
    }
}
