//! Bounds on the age of the list of published upstreams that a routing decision rests on.
//!
//! Guards against requests to an upstream after its leaving notice: two were sent 3.03 s and 3.12 s
//! after it, with a bound of 3 s, while the peers of that daemon knew the notice. Its log did not
//! show why. The list was renewed in the background, and no routing decision checked its age. The
//! longest times of all steps added up to 3.5 s, and to no bound at all for a paused process, and
//! one step took a reply for fresher than it was. The tests let each step take its longest time.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
#[path = "support/reader_answer.rs"]
mod reader_answer;
mod support;

use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus};
use crocusdale_core::routing::{CONNECT_TIMEOUT, DirectoryEntry};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use forward_daemon::Daemon;
use reader_answer::{answer_of_reader, answer_over_link};
use support::virtual_fleet::VirtualFleet;

/// Bound on the time from a leaving notice until the last request to the upstream: the shortest
/// that users state.
const NOTICE_BOUND: Duration = Duration::from_millis(2_000);
/// Longest time of a list read from a healthy platform, including the transfer over a slow link.
const READ_TIME: Duration = Duration::from_millis(390);
/// Longest time of a heartbeat reply. A peer that takes longer counts as lost.
const REPLY_TIME: Duration = Duration::from_millis(790);
/// Pause between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 10;

/// Sends requests until `until`. List reads are answered after `reading`, and hold the leaving
/// notice of `n1` if they began at or after `notice`. Returns the time by which the last request to
/// `n1` must be written.
fn last_request_to_leaving(
    daemon: &mut Daemon,
    notice: MonotonicTime,
    until: MonotonicTime,
    reading: Duration,
) -> Option<MonotonicTime> {
    let mut last = None;
    while daemon.now < until {
        daemon.advance(REQUEST_INTERVAL_MS);
        let answered = daemon.pending_reads.first().filter(|began| daemon.now >= **began + reading);
        if answered.is_some_and(|began| *began >= notice) {
            daemon.publish(&["n1", "n2"], &["n1"]);
        } else if answered.is_some() {
            daemon.publish(&["n1", "n2"], &[]);
        }
        daemon.submit("/ask/it");
        let to_leaving = daemon.relays.iter().filter(|relay| relay.upstream == "n1");
        last = last.max(to_leaving.map(|relay| relay.write_by).max());
        for relay in std::mem::take(&mut daemon.relays) {
            daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
            daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
    }
    last
}

/// Guards against requests to an upstream long after its leaving notice, in the worst case. The
/// notice comes right after the daemon that reads for this one has read the list and answered a
/// heartbeat. The reply takes its longest time, and then that daemon fails. This daemon must detect
/// that, read the list itself in the longest time of a read, and send a request that already has
/// its upstream.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bound() {
    let mut longest_time = Duration::ZERO;
    for offset in 0..50 {
        let mut daemon = Daemon::new();
        daemon.publish(&["n1", "n2"], &[]);
        daemon.advance(500);
        daemon.publish(&["n1", "n2"], &[]);
        let known = daemon.core.dump(daemon.now).directory_revision;
        daemon.feed(answer_of_reader((1, known), daemon.now));
        daemon.advance(500);
        daemon.feed(answer_of_reader((1, known), daemon.now));
        daemon.advance(10 * offset);
        assert!(daemon.pending_reads.is_empty(), "the peer must read the list for this daemon");
        let notice = daemon.now;
        daemon.advance(REPLY_TIME.as_millis() as u64);
        daemon.feed(answer_of_reader((1, known), notice));
        let until = notice + Duration::from_secs(4);
        let last = last_request_to_leaving(&mut daemon, notice, until, READ_TIME);
        longest_time = longest_time.max(last.map_or(Duration::ZERO, |last| last.since(notice)));
    }
    assert!(
        longest_time > Duration::from_secs(1),
        "the notice was learned before the worst case was reached: {longest_time:?}"
    );
    assert!(longest_time < NOTICE_BOUND, "last request written {longest_time:?} after the notice");
}

/// Guards against requests that are sent with an outdated list after a process pause. The process
/// gets no processor time for three seconds, in which an upstream gives notice. Requests must wait
/// for a read, which takes some milliseconds, and go elsewhere.
#[test]
fn daemon_reads_the_list_after_a_pause_before_it_sends() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    for _ in 0..8 {
        daemon.submit("/ask/it");
    }
    assert!(daemon.relays.is_empty(), "no request may be sent with a list of 3.1 s");
    assert_eq!(daemon.pending_reads.len(), 1, "the list must be read at once");
    daemon.advance(20);
    daemon.publish(&["n1", "n2"], &["n1"]);
    let called: Vec<&str> = daemon.relays.iter().map(|relay| relay.upstream.as_str()).collect();
    assert!(!called.is_empty(), "the requests must be sent after the read");
    assert!(
        called.iter().all(|upstream| *upstream == "n2"),
        "all requests must go to n2: {called:?}"
    );
}

/// Guards against calls that the dispatcher of a batched pool forms with an outdated list after a
/// process pause.
#[test]
fn dispatcher_reads_the_list_after_a_pause_before_it_calls() {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    daemon.publish(&["n1"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/digest/1");
    daemon.advance(150);
    assert!(daemon.batches.is_empty(), "no call may be sent with a list of 3.25 s");
    daemon.publish(&["n1"], &["s1"]);
    daemon.advance(150);
    let called: Vec<&str> = daemon.batches.iter().map(|each| each.upstream.as_str()).collect();
    assert_eq!(called, ["s2"]);
}

/// Guards against requests that wait through an outage of the platform. They must be sent with the
/// known list after 0.4 s at most.
#[test]
fn requests_are_sent_in_an_outage_of_the_platform() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/ask/it");
    daemon.advance(410);
    assert_eq!(daemon.relays.len(), 1, "the request must be sent");
    daemon.submit("/ask/it");
    assert_eq!(daemon.relays.len(), 2, "the next request must be sent at once");
}

/// Guards against a process pause that counts as an outage of the platform. The process pauses
/// during a read and then finds that the read took too long, while the answer lies unread in its
/// socket. It must not send requests with the outdated list.
#[test]
fn read_that_spans_a_pause_is_no_sign_of_an_outage() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(510);
    assert_eq!(daemon.pending_reads.len(), 1, "a read must be running");
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.submit("/ask/it");
    assert!(daemon.relays.is_empty(), "no request may be sent with a list of 3.5 s");
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    assert_eq!(
        daemon.relays.len(),
        1,
        "the request must be sent once a read that began after the pause failed"
    );
}

/// Guards against requests to upstreams that have left, from a daemon that takes its list for
/// younger than it is. Replies of peers take up to 0.8 s and those of the platform up to 0.4 s,
/// while upstreams give notice all the time.
#[test]
fn no_daemon_takes_its_list_for_younger_than_it_is() {
    for seed in 0..6 {
        let mut fleet = VirtualFleet::new(24);
        fleet.published = (1, vec![(1, entry(1))]);
        fleet.run(Duration::from_secs(5));
        fleet.slowness = Some(SmallRng::seed_from_u64(seed));
        let mut notices = vec![(fleet.now, 1)];
        for step in 0..700_u64 {
            fleet.run(Duration::from_millis(5_000 + step * 10));
            if step % 23 == 0 {
                let revision = 2 + step / 23;
                fleet.published = (revision, vec![(revision, entry(revision))]);
                notices.push((fleet.now, revision));
            }
            assert_ages_are_true(&fleet, &notices);
        }
    }
}

/// Asserts that every daemon knows all that was published before the time which the age of its list
/// stands for.
fn assert_ages_are_true(fleet: &VirtualFleet, notices: &[(MonotonicTime, u64)]) {
    for core in &fleet.cores {
        let dump = core.dump(fleet.now);
        let Some(age) = dump.directory_age_ms.map(Duration::from_millis) else { continue };
        let due = notices.iter().filter(|(at, _)| *at + age + Duration::from_millis(1) < fleet.now);
        let due = due.map(|(_, revision)| *revision).max().unwrap_or_default();
        let known = core.published_upstreams(fleet.now).position.revision;
        assert!(
            known >= due,
            "{}: list of {age:?} at revision {known}, at least {due} expected",
            dump.instance.vm
        );
    }
}

/// Guards against a missing upstream that is kept too long after a partition. The daemon reads the
/// list 1.6 s after its last failed read began, and the partition may have ended at any time
/// between. The entry of the upstream may have expired, so it is kept, but no longer than three
/// seconds after the end of the partition.
#[test]
fn missing_upstream_is_removed_within_the_recovery_time() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    let mut recovered_at = daemon.now;
    for _ in 0..5 {
        recovered_at = daemon.pending_reads.pop().expect("a read is running");
        daemon.advance(900);
        daemon.feed(DaemonEvent::DirectoryReadFailed);
        while daemon.pending_reads.is_empty() {
            daemon.advance(10);
        }
    }
    daemon.publish(&["n2"], &[]);
    while daemon.now < recovered_at + (Duration::from_millis(3_000) - CONNECT_TIMEOUT) {
        daemon.advance(10);
    }
    let known = daemon.core.published_upstreams(daemon.now).entries;
    assert!(known.iter().all(|each| each.entry.id != "n1"), "n1 must be removed");
}

/// Guards against two failed reads far apart that count as one long outage. Between them, a peer
/// kept the list of this daemon fresh. After the second, an upstream is missing, which has left.
/// With an outage of many seconds its entry might have expired, and it would be kept and get
/// requests for two more seconds.
#[test]
fn two_failures_far_apart_are_no_outage() {
    let mut daemon = daemon_with_reading_peer();
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    let known = daemon.core.dump(daemon.now).directory_revision;
    for _ in 0..50 {
        daemon.advance(100);
        daemon.feed(answer_of_reader((1, known), daemon.now));
    }
    assert!(daemon.pending_reads.is_empty(), "the peer must read the list for this daemon");
    daemon.advance(1_110);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.advance(300);
    daemon.publish(&["n2"], &[]);
    let known = daemon.core.published_upstreams(daemon.now).entries;
    assert!(known.iter().all(|each| each.entry.id != "n1"), "n1 must be removed");
}

/// Guards against an old failed read that counts as an outage and lifts the limit on the age of the
/// list. The list was kept fresh by a peer since the failure, and then the process pauses for three
/// seconds.
#[test]
fn old_failure_does_not_lift_the_age_limit() {
    let mut daemon = daemon_with_reading_peer();
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    let known = daemon.core.dump(daemon.now).directory_revision;
    for _ in 0..50 {
        daemon.advance(100);
        daemon.feed(answer_of_reader((1, known), daemon.now));
    }
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/ask/it");
    assert!(daemon.relays.is_empty(), "no request may be sent with a list of 3 s");
}

/// A daemon whose list a peer reads, and which has started one read of its own because of the
/// list's age.
fn daemon_with_reading_peer() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    daemon.publish(&["n1", "n2"], &[]);
    let known = daemon.core.dump(daemon.now).directory_revision;
    daemon.feed(answer_of_reader((1, known), daemon.now));
    daemon.advance(1_300);
    assert_eq!(daemon.pending_reads.len(), 1, "the daemon must read the list because of its age");
    daemon.pending_reads.clear();
    daemon
}

/// An entry of one upstream. Its number of slots tells its revisions apart.
fn entry(slots: u64) -> DirectoryEntry {
    DirectoryEntry {
        started_at_ms: None,
        id: "u1".to_owned(),
        pool: "work".to_owned(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: u32::try_from(slots).expect("a small number"),
        leaving: false,
        software_version: None,
    }
}

/// Guards against a reader whose slow network link is filled by the list, so that its reads time
/// out like an outage of the platform and its peers miss notices.
#[test]
fn daemon_with_a_slow_link_is_no_reader() {
    for (link_mbps, reads) in [(1_000.0, false), (10.0, true)] {
        let mut daemon = Daemon::new();
        daemon.publish(&["n1", "n2"], &[]);
        let known = daemon.core.dump(daemon.now).directory_revision;
        for _ in 0..3 {
            daemon.feed(answer_over_link((1, known), daemon.now, link_mbps));
            daemon.advance(300);
        }
        assert_eq!(
            !daemon.pending_reads.is_empty(),
            reads,
            "own reads beside a peer with {link_mbps} Mbit/s"
        );
    }
}

/// Guards against requests that are sent with an outdated list because the next read takes long: a
/// list of thousands of upstreams over a link of 10 Mbit/s.
#[test]
fn requests_wait_for_a_read_of_a_large_list() {
    let mut daemon = Daemon::new();
    let plain: Vec<String> = (0..1_000).map(|each| format!("n{each}")).collect();
    let all: Vec<&str> = plain.iter().map(String::as_str).collect();
    daemon.publish(&all, &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/ask/it");
    daemon.advance(600);
    assert!(daemon.relays.is_empty(), "no request may be sent with a list of 3.5 s");
    daemon.publish(&["n0"], &[]);
    let called: Vec<&str> = daemon.relays.iter().map(|relay| relay.upstream.as_str()).collect();
    assert_eq!(called, ["n0"]);
}
