//! Notices that upstreams give in their answers.
//!
//! Guards against requests to an upstream that has announced in an answer that it leaves. The store
//! is away, so the engine can't write its leaving notice there, and says it in each answer instead.
//! Daemons once forwarded these answers without reading the notice, as only the platform's list was
//! checked: an engine got a request 4.9 s after such an answer, with a bound of 2 s.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
mod support;

use std::time::Duration;

use crocusdale_core::daemon::{DaemonEvent, StalenessBounds};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind, RefusalReason};
use crocusdale_core::rate_limiting::RateNotice;
use crocusdale_core::routing::{CONNECT_TIMEOUT, DirectoryEntry, LoadNotice, UpstreamNotice};

use forward_daemon::{Daemon, read};
use support::virtual_fleet::VirtualFleet;

/// Bound on the time from an answer with a leaving notice until the last request to the upstream:
/// the shortest that users state.
const NOTICE_BOUND: Duration = Duration::from_millis(2_000);
/// Bound on the time from an answer with a backoff until the last request of the daemon to the
/// upstream.
const BACKOFF_BOUND: Duration = Duration::from_millis(500);

const LEAVING_NOTICE: UpstreamNotice = UpstreamNotice {
    leaving: true,
    backoff: None,
    cold_remaining: None,
    rate: RateNotice::Unlimited,
    max_rejections: None,
    load: LoadNotice::Missing,
};

fn backoff_notice(time: Duration) -> UpstreamNotice {
    UpstreamNotice { backoff: Some(time), ..UpstreamNotice::default() }
}

fn handle_notice(daemon: &mut Daemon, upstream: &str, notice: UpstreamNotice) {
    let (upstream, sent) = (upstream.to_owned(), daemon.now);
    daemon.feed(DaemonEvent::UpstreamNoticed { upstream, notice, sent });
}

/// Sends `count` requests 100 ms apart. Returns the upstream of each with the time by which the
/// request must be written.
fn send_requests(daemon: &mut Daemon, count: usize) -> Vec<(String, MonotonicTime)> {
    let mut sent_requests = Vec::new();
    for _ in 0..count {
        daemon.submit("/ask/it");
        for relay in std::mem::take(&mut daemon.relays) {
            sent_requests.push((relay.upstream.clone(), relay.write_by));
            daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
            daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
        daemon.advance(100);
    }
    sent_requests
}

fn count_requests(sent_requests: &[(String, MonotonicTime)], upstream: &str) -> usize {
    sent_requests.iter().filter(|(each, _)| each == upstream).count()
}

#[test]
fn upstream_with_a_leaving_notice_gets_no_requests() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    assert!(
        count_requests(&send_requests(&mut daemon, 10), "n1") > 0,
        "n1 must get requests before its notice"
    );
    daemon.feed(DaemonEvent::DirectoryReadFailed);
    handle_notice(&mut daemon, "n1", LEAVING_NOTICE);
    let sent_requests = send_requests(&mut daemon, 40);
    assert_eq!(
        (count_requests(&sent_requests, "n1"), count_requests(&sent_requests, "n2")),
        (0, 40)
    );
}

/// Guards against a list that overrides a leaving notice of the same process: one that was written
/// before the notice, one without the upstream, whose entry expired in an outage of the store, and
/// one that holds it again.
#[test]
fn no_list_overrides_a_leaving_notice() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    handle_notice(&mut daemon, "n1", LEAVING_NOTICE);
    for listed in [&["n1", "n2"][..], &["n2"], &["n1", "n2"]] {
        daemon.advance(3_000);
        daemon.publish(listed, &[]);
        assert_eq!(
            count_requests(&send_requests(&mut daemon, 5), "n1"),
            0,
            "n1 must get no request while {listed:?} are listed"
        );
    }
    daemon.publish(&["n2", "n3"], &[]);
    assert!(count_requests(&send_requests(&mut daemon, 20), "n3") > 0, "n3 must get requests");
}

/// Guards against requests that are written too late after a notice. They got their upstream just
/// before the answer with the notice. They may be written within the connect timeout, and no other
/// request may follow.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bounds() {
    for upstream_notice in [LEAVING_NOTICE, backoff_notice(Duration::from_secs(5))] {
        let mut daemon = Daemon::new();
        daemon.publish(&["n1", "n2"], &[]);
        let mut last = daemon.now;
        for _ in 0..10 {
            daemon.submit("/ask/it");
        }
        let noticed = daemon.now;
        handle_notice(&mut daemon, "n1", upstream_notice);
        for relay in std::mem::take(&mut daemon.relays) {
            if relay.upstream == "n1" {
                last = last.max(relay.write_by);
            }
            daemon.receive_head(relay.attempt, 503, ExecutionStatus::Declined);
        }
        let sent_requests = send_requests(&mut daemon, 30);
        assert_eq!(count_requests(&sent_requests, "n1"), 0, "{upstream_notice:?}");
        let sum = last.since(noticed);
        assert!(
            sum <= CONNECT_TIMEOUT && sum < BACKOFF_BOUND && sum < NOTICE_BOUND,
            "last request written {sum:?} after the notice"
        );
    }
}

/// Guards against calls to a batched upstream that has announced in the answer to a call that it
/// leaves.
#[test]
fn batched_upstream_with_a_leaving_notice_gets_no_calls() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1"], &[]);
    handle_notice(&mut daemon, "s1", LEAVING_NOTICE);
    for _ in 0..20 {
        daemon.submit("/digest/it");
        daemon.advance(50);
        while !daemon.batches.is_empty() {
            assert_ne!(daemon.batches[0].upstream, "s1");
            daemon.complete_batch();
        }
    }
}

/// Guards against requests to an upstream within the backoff that it asked for, here 3 s, and
/// against a backoff that never ends.
#[test]
fn upstream_gets_no_requests_during_its_backoff() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    handle_notice(&mut daemon, "n1", backoff_notice(Duration::from_secs(3)));
    daemon.publish(&["n1", "n2"], &[]);
    let sent_requests = send_requests(&mut daemon, 29);
    assert_eq!(count_requests(&sent_requests, "n1"), 0);
    daemon.publish(&["n1", "n2"], &[]);
    daemon.advance(200);
    assert!(
        count_requests(&send_requests(&mut daemon, 20), "n1") > 0,
        "n1 must get requests after its backoff"
    );
}

/// Guards against an upstream that gets requests within its backoff because its entry expired and
/// returned.
#[test]
fn backoff_outlasts_the_return_of_an_entry() {
    let mut daemon = Daemon::new();
    for upstream in ["n1", "s1"] {
        handle_notice(&mut daemon, upstream, backoff_notice(Duration::from_secs(10)));
    }
    daemon.stages = vec!["s2".to_owned()];
    daemon.publish(&["n2"], &[]);
    daemon.advance(5_000);
    daemon.stages = vec!["s1".to_owned(), "s2".to_owned()];
    daemon.publish(&["n1", "n2"], &[]);
    assert_eq!(count_requests(&send_requests(&mut daemon, 20), "n1"), 0);
    for _ in 0..20 {
        daemon.submit("/digest/it");
        daemon.advance(50);
        assert!(daemon.batches.iter().all(|batch| batch.upstream != "s1"));
        while !daemon.batches.is_empty() {
            daemon.complete_batch();
        }
    }
}

/// Guards against requests that wait for their deadline in vain. All upstreams of a pool ask for a
/// backoff longer than that; the refusal must carry the time until the first backoff ends.
#[test]
fn request_is_refused_at_once_if_every_backoff_outlasts_it() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1", "n2"], &[]);
    handle_notice(&mut daemon, "n1", backoff_notice(Duration::from_secs(30)));
    handle_notice(&mut daemon, "n2", backoff_notice(Duration::from_secs(20)));
    daemon.advance(1_000);
    let call = daemon.submit("/ask/it");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
    let answer = &daemon.answers.last().expect("the refusal").1;
    assert_eq!(answer.retry_after, Some(Duration::from_secs(19)));
    assert!(daemon.relays.is_empty());
}

/// Guards against requests to an engine within its backoff because no other engine is available.
#[test]
fn engines_get_no_requests_during_their_backoff() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1"], &[]);
    for engine in ["r1", "r2"] {
        handle_notice(&mut daemon, engine, backoff_notice(Duration::from_secs(30)));
    }
    daemon.submit("/tell/it");
    daemon.submit("/digest/it");
    while !daemon.batches.is_empty() {
        daemon.complete_batch();
    }
    daemon.advance(1_000);
    assert!(daemon.relays.is_empty());
}

/// Guards against retries at the other daemons of a fleet. One daemon gets a leaving notice in an
/// answer while no daemon reaches the platform, and its peers must learn of it within about two
/// seconds.
#[test]
fn peers_learn_of_a_leaving_notice() {
    for size in [6, 60] {
        let mut fleet = VirtualFleet::with_reader(size, 3, StalenessBounds::default(), read);
        let entry = DirectoryEntry {
            id: "e1".to_owned(),
            started_at_ms: Some(7),
            pool: "reader".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "z0".to_owned(),
            slots: 64,
            leaving: false,
            software_version: None,
        };
        let name = entry.name();
        fleet.published = (2, vec![(2, entry)]);
        fleet.run(Duration::from_secs(5));
        fleet.failing_readers = (0..size).collect();
        let sent = fleet.now;
        fleet
            .feed(0, DaemonEvent::UpstreamNoticed { upstream: name, notice: LEAVING_NOTICE, sent });
        fleet.run(Duration::from_secs(8));
        let knows = |daemon: &usize| {
            let list = fleet.cores[*daemon].published_upstreams(fleet.now);
            list.entries.iter().all(|each| each.entry.leaving)
        };
        assert_eq!((0..size).filter(knows).count(), size);
    }
}

/// Guards against an engine that turns cold without a restart, reports it in its answers, and gets
/// requests like a warm one until its entry has been read.
#[test]
fn engine_that_reports_to_be_cold_counts_as_cold() {
    let mut daemon = Daemon::new();
    daemon.advance(4_000);
    daemon.publish(&["n1"], &[]);
    let cold = Some(Duration::from_secs(3));
    handle_notice(
        &mut daemon,
        "r1",
        UpstreamNotice { cold_remaining: cold, ..UpstreamNotice::default() },
    );
    let list = daemon.core.published_upstreams(daemon.now);
    assert_eq!(list.cold.len(), 1, "the list for peers must hold one cold upstream");
    let dump = daemon.core.dump(daemon.now);
    let is_cold = |name: &str| dump.upstreams.iter().any(|each| each.name == name && each.cold);
    assert!(is_cold("r1") && !is_cold("r2"));
}
