//! How old the list of published upstreams may be where a choice rests on it.
//!
//! What was seen: a daemon sent requests to an upstream 3.03 s and 3.12 s after its notice (bound 3 s),
//! in calm, while its peers knew. Nothing that it wrote tells why, and the day did not show it again.
//! What was shown: the list was renewed in the background, and nothing that was sent asked how old it
//! was. The longest times of the parts came to 3.5 s, and to no bound at all for a process that was
//! held up; one part took an answer for fresher than it was. These tests play each part at its worst.

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

/// Time from a notice until the upstream must get nothing more: the shortest that the users state.
const NOTICE_BOUND: Duration = Duration::from_millis(2_000);
/// Longest answer of a platform that is in order, the list's way over a slow link included.
const READING: Duration = Duration::from_millis(390);
/// Longest answer of a peer, after which it counts as lost.
const ANSWER: Duration = Duration::from_millis(790);
/// Pause between two requests.
const REQUEST_PACE: u64 = 10;

/// Sends requests until `until`, and answers readings that take `reading`, the notice of `n1` in them
/// if they began after it was given at `notice`. Returns until when the last request to `n1` may be
/// written.
fn last_request_to_leaving(
    daemon: &mut Daemon,
    notice: MonotonicTime,
    until: MonotonicTime,
    reading: Duration,
) -> Option<MonotonicTime> {
    let mut last = None;
    while daemon.now < until {
        daemon.advance(REQUEST_PACE);
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

/// An upstream gives notice right after the daemon that reads for this one has read and answered a
/// heartbeat; the answer is under way for as long as one may be, and then that daemon falls silent.
/// This one must notice, read by itself, and have an answer that takes as long as one may; a request
/// that it chooses an upstream for has then still to be sent.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bound() {
    let mut worst = Duration::ZERO;
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
        assert!(daemon.pending_reads.is_empty(), "the peer reads");
        let notice = daemon.now;
        daemon.advance(ANSWER.as_millis() as u64);
        daemon.feed(answer_of_reader((1, known), notice));
        let until = notice + Duration::from_secs(4);
        let last = last_request_to_leaving(&mut daemon, notice, until, READING);
        worst = worst.max(last.map_or(Duration::ZERO, |last| last.since(notice)));
    }
    assert!(worst > Duration::from_secs(1), "the notice came too early to be missed: {worst:?}");
    assert!(worst < NOTICE_BOUND, "written {worst:?} after the notice");
}

/// A process gets no processor for three seconds, and the first thing that it finds is a request. Its
/// list is as old as that; the notice of an upstream lies in between. Users' requests must wait for a
/// reading, which takes some milliseconds, and go elsewhere.
#[test]
fn daemon_that_wakes_reads_before_it_sends() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    for _ in 0..8 {
        daemon.submit("/ask/it");
    }
    assert!(daemon.relays.is_empty(), "sent by a list that is 3.1 s old");
    assert_eq!(daemon.pending_reads.len(), 1, "the list is read at once");
    daemon.advance(20);
    daemon.publish(&["n1", "n2"], &["n1"]);
    let called: Vec<&str> = daemon.relays.iter().map(|relay| relay.upstream.as_str()).collect();
    assert!(!called.is_empty(), "the requests go on");
    assert!(called.iter().all(|upstream| *upstream == "n2"), "{called:?}");
}

/// The same at the dispatcher of a batched pool, whose pieces wait for a call.
#[test]
fn dispatcher_that_wakes_reads_before_it_calls() {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    daemon.publish(&["n1"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/digest/1");
    daemon.advance(150);
    assert!(daemon.batches.is_empty(), "called by a list that is 3.25 s old");
    daemon.publish(&["n1"], &["s1"]);
    daemon.advance(150);
    let called: Vec<&str> = daemon.batches.iter().map(|each| each.upstream.as_str()).collect();
    assert_eq!(called, ["s2"]);
}

/// The platform does not answer, as in an outage. Users must not pay for it: their requests go on by
/// the list that is known, after four tenths of a second at most.
#[test]
fn requests_go_on_while_the_platform_is_silent() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/ask/it");
    daemon.advance(410);
    assert_eq!(daemon.relays.len(), 1, "the request is sent on");
    daemon.submit("/ask/it");
    assert_eq!(daemon.relays.len(), 2, "and so is each that follows");
}

/// A process freezes amid a reading, and the first thing that it notices when it wakes is that the
/// reading took too long; the answer lies unread. Taken for an outage of the platform, that would have
/// it send requests by a list that is 3.1 s old.
#[test]
fn reading_that_slept_proves_no_outage() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(510);
    assert_eq!(daemon.pending_reads.len(), 1, "a reading is under way");
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.submit("/ask/it");
    assert!(daemon.relays.is_empty(), "sent by a list that is 3.5 s old");
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    assert_eq!(daemon.relays.len(), 1, "the reading that was begun awake failed too");
}

/// Answers of peers are under way for up to 0.8 s, those of the platform for up to 0.4 s, while
/// upstreams give notice all the time. A daemon that takes its list for younger than it is sends
/// requests to upstreams that have left.
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
            assert_honest(&fleet, &notices);
        }
    }
}

/// Every daemon knows whatever was published before its list is as old as it says.
fn assert_honest(fleet: &VirtualFleet, notices: &[(MonotonicTime, u64)]) {
    for core in &fleet.cores {
        let dump = core.dump(fleet.now);
        let Some(age) = dump.directory_age_ms.map(Duration::from_millis) else { continue };
        let due = notices.iter().filter(|(at, _)| *at + age + Duration::from_millis(1) < fleet.now);
        let due = due.map(|(_, revision)| *revision).max().unwrap_or_default();
        let known = core.published_upstreams(fleet.now).position.revision;
        assert!(known >= due, "{}: {age:?} old, {known} of {due}", dump.instance.vm);
    }
}

/// A daemon is cut off, and reads again 1.6 s after a last reading in vain began, in which time it may
/// have been back. An upstream that is missing may have lapsed, or left meanwhile; it is waited for,
/// but three seconds after its return the users count on this daemon again.
#[test]
fn daemon_that_is_back_waits_for_nobody_beyond_what_users_allow() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    let mut back = daemon.now;
    for _ in 0..5 {
        back = daemon.pending_reads.pop().expect("a reading is under way");
        daemon.advance(900);
        daemon.feed(DaemonEvent::DirectoryReadFailed);
        while daemon.pending_reads.is_empty() {
            daemon.advance(10);
        }
    }
    daemon.publish(&["n2"], &[]);
    while daemon.now < back + (Duration::from_millis(3_000) - CONNECT_TIMEOUT) {
        daemon.advance(10);
    }
    let known = daemon.core.published_upstreams(daemon.now).entries;
    assert!(known.iter().all(|each| each.entry.id != "n1"), "n1 is still waited for");
}

/// A daemon that lets another one read for it failed to read once, long ago, and its list was kept young
/// by that one since. It fails once more, and the next reading lacks an upstream, which has left.
/// Reckoned from the first failure that would be an outage of many seconds, in which the entry may have
/// lapsed: the upstream would be waited for, and get requests for two seconds more.
#[test]
fn two_failures_far_apart_are_no_outage() {
    let mut daemon = following_daemon();
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    let known = daemon.core.dump(daemon.now).directory_revision;
    for _ in 0..50 {
        daemon.advance(100);
        daemon.feed(answer_of_reader((1, known), daemon.now));
    }
    assert!(daemon.pending_reads.is_empty(), "the peer reads");
    daemon.advance(1_110);
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    daemon.advance(300);
    daemon.publish(&["n2"], &[]);
    let known = daemon.core.published_upstreams(daemon.now).entries;
    assert!(known.iter().all(|each| each.entry.id != "n1"), "n1 is still waited for");
}

/// The same daemon, whose list is young in spite of its failure, freezes for three seconds. That old
/// failure must not stand for an outage now.
#[test]
fn failure_of_long_ago_does_not_lift_the_limit() {
    let mut daemon = following_daemon();
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    let known = daemon.core.dump(daemon.now).directory_revision;
    for _ in 0..50 {
        daemon.advance(100);
        daemon.feed(answer_of_reader((1, known), daemon.now));
    }
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/ask/it");
    assert!(daemon.relays.is_empty(), "sent by a list that is 3 s old");
}

/// A daemon whose list a peer reads, and which has begun to read itself for once.
fn following_daemon() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(500);
    daemon.publish(&["n1", "n2"], &[]);
    let known = daemon.core.dump(daemon.now).directory_revision;
    daemon.feed(answer_of_reader((1, known), daemon.now));
    daemon.advance(1_300);
    assert_eq!(daemon.pending_reads.len(), 1, "it reads for age");
    daemon.pending_reads.clear();
    daemon
}

/// An upstream whose every entry differs from the one before.
fn entry(slots: u64) -> DirectoryEntry {
    DirectoryEntry {
        started_at_ms: None,
        id: "u1".to_owned(),
        pool: "work".to_owned(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: u32::try_from(slots).expect("a small number"),
        leaving: false,
    }
}

/// Guards against a reader whose small link is filled by the list, so that its readings count as silence
/// of the platform, and notices as unknown.
#[test]
fn daemon_with_a_small_link_reads_for_nobody() {
    for (link_mbps, reads) in [(1_000.0, false), (10.0, true)] {
        let mut daemon = Daemon::new();
        daemon.publish(&["n1", "n2"], &[]);
        let known = daemon.core.dump(daemon.now).directory_revision;
        for _ in 0..3 {
            daemon.feed(answer_over_link((1, known), daemon.now, link_mbps));
            daemon.advance(300);
        }
        assert_eq!(!daemon.pending_reads.is_empty(), reads, "a peer with {link_mbps} Mbit/s");
    }
}

/// Guards against requests by an old list whose next reading only takes its time: thousands of upstreams
/// on a link of ten megabits.
#[test]
fn reading_of_a_large_list_is_waited_for() {
    let mut daemon = Daemon::new();
    let plain: Vec<String> = (0..1_000).map(|each| format!("n{each}")).collect();
    let all: Vec<&str> = plain.iter().map(String::as_str).collect();
    daemon.publish(&all, &[]);
    daemon.advance(100);
    daemon.now = daemon.now + Duration::from_secs(3);
    daemon.submit("/ask/it");
    daemon.advance(600);
    assert!(daemon.relays.is_empty(), "sent by a list that is 3.5 s old");
    daemon.publish(&["n0"], &[]);
    let called: Vec<&str> = daemon.relays.iter().map(|relay| relay.upstream.as_str()).collect();
    assert_eq!(called, ["n0"]);
}
