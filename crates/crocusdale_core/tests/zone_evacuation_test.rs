//! Availability zones that the operator evacuates.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
#[path = "support/reader_answer.rs"]
mod reader_answer;
mod support;

use std::time::Duration;

use crocusdale_core::daemon::StalenessBounds;
use crocusdale_core::identity::{MonotonicTime, StorePosition};
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus};
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory, ZoneEvacuation};

use forward_daemon::Daemon;
use reader_answer::answer_of_reader;
use support::virtual_fleet::VirtualFleet;

/// Longest time of a list read from a healthy platform.
const READ_TIME: Duration = Duration::from_millis(390);
/// Longest time of a heartbeat reply. A peer that takes longer counts as lost.
const REPLY_TIME: Duration = Duration::from_millis(790);

fn entry(id: &str, zone: &str) -> DirectoryEntry {
    DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: None,
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        leaving: false,
        software_version: None,
    }
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn evacuation(written: StorePosition, zone: &str) -> ZoneEvacuation {
    ZoneEvacuation { write_position: written, zone: zone.to_owned() }
}

fn available_ids(directory: &UpstreamDirectory) -> Vec<&str> {
    directory.available_entries().map(|entry| entry.id.as_str()).collect()
}

/// A list of the upstreams `a1` in zone `a` and `b1` in zone `b`. Zone `b` is evacuated.
fn evacuated_directory() -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    assert!(directory.replace_evacuations(at(1, 10), vec![evacuation(at(1, 9), "b")], None));
    directory.replace(at(1, 10), vec![(3, entry("a1", "a")), (4, entry("b1", "b"))], None);
    directory
}

/// Guards against requests to upstreams of an evacuated zone, for pools of every kind.
#[test]
fn no_pool_sends_to_an_evacuated_zone() {
    let mut daemon = Daemon::new();
    daemon.deadline = Duration::from_secs(20);
    daemon.evacuated = vec!["a".to_owned()];
    daemon.publish(&["n1", "n2"], &[]);
    for path in ["/ask/1", "/shred/1", "/tell/1", "/digest/1"] {
        daemon.submit(path);
        daemon.advance(200);
    }
    assert!(
        daemon.relays.is_empty() && daemon.batches.is_empty(),
        "nothing may be sent to an evacuated zone"
    );
    daemon.evacuated.clear();
    daemon.publish(&["n1", "n2"], &[]);
    daemon.submit("/ask/2");
    daemon.submit("/digest/2");
    daemon.advance(300);
    assert!(
        !daemon.relays.is_empty() && !daemon.batches.is_empty(),
        "requests must be sent once the zone is open again"
    );
}

/// Guards against an evacuation that takes effect later than its bound, where every step of its
/// propagation takes its longest time.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bound() {
    for bound in [1, 2, 3, 5].map(Duration::from_secs) {
        let longest_time = (0..50).map(|offset| last_request(bound, 10 * offset)).max();
        let longest_time = longest_time.unwrap_or_default();
        assert!(
            longest_time > bound / 4,
            "the evacuation took effect before the worst case was reached: {longest_time:?}"
        );
        assert!(
            longest_time < bound,
            "last request sent {longest_time:?} after the evacuation, bound {bound:?}"
        );
    }
}

/// Time from the evacuation until the last request may be sent. The evacuation comes `offset`
/// milliseconds after a reply of the reader, which sends one more reply and then fails.
fn last_request(bound: Duration, offset: u64) -> Duration {
    let slow = Duration::from_secs(60);
    let bounds = StalenessBounds {
        notice: slow,
        configuration: slow,
        evacuation: bound,
        recovery_time: Duration::from_secs(3),
    };
    let mut daemon = Daemon::with_bounds(bounds);
    daemon.publish(&["n1", "n2"], &[]);
    let known = daemon.core.dump(daemon.now).directory_revision;
    daemon.feed(answer_of_reader((1, known), daemon.now));
    daemon.advance(offset);
    let evacuated_at = daemon.now;
    daemon.evacuated = vec!["a".to_owned()];
    let answer = REPLY_TIME.min(bound / 4);
    daemon.advance(answer.as_millis() as u64);
    daemon.feed(answer_of_reader((1, known), evacuated_at));
    let mut last = evacuated_at;
    while daemon.now < evacuated_at + bound * 2 {
        daemon.advance(10);
        let answered =
            daemon.pending_reads.first().is_some_and(|began| daemon.now >= *began + READ_TIME);
        if answered {
            daemon.publish(&["n1", "n2"], &[]);
        }
        daemon.submit("/ask/it");
        for relay in std::mem::take(&mut daemon.relays) {
            last = last.max(relay.write_by);
            daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
            daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
    }
    last.since(evacuated_at)
}

/// Guards against a zone that is opened again by a list that was read before the evacuation.
#[test]
fn older_list_does_not_open_a_zone() {
    let mut directory = evacuated_directory();
    assert!(!directory.replace_evacuations(at(1, 8), Vec::new(), None));
    assert_eq!(available_ids(&directory), ["a1"]);
    assert!(directory.replace_evacuations(at(1, 12), Vec::new(), None));
    assert_eq!(available_ids(&directory), ["a1", "b1"]);
    assert_eq!(directory.change_position(), at(1, 12), "peers must learn of the change");
}

/// Guards against a zone that is opened because its store was restored from a copy of before the
/// evacuation.
#[test]
fn evacuation_that_the_copy_lacks_is_kept_for_the_grace_time() {
    let mut directory = evacuated_directory();
    let grace = MonotonicTime::from_millis(5_000);
    directory.replace_evacuations(at(2, 5), Vec::new(), Some(grace));
    directory.replace_evacuations(at(2, 6), Vec::new(), None);
    assert_eq!(
        available_ids(&directory),
        ["a1"],
        "zone b must stay evacuated until the operator writes it again"
    );
    assert!(!directory.remove_expired(MonotonicTime::from_millis(4_999)));
    assert!(directory.remove_expired(grace), "the evacuation must end with the grace time");
    assert_eq!(available_ids(&directory), ["a1", "b1"]);
    directory.replace_evacuations(at(3, 5), vec![evacuation(at(3, 4), "b")], Some(grace));
    assert!(!directory.remove_expired(grace), "an evacuation that was written again must stay");
    assert_eq!(available_ids(&directory), ["a1"]);
}

/// Guards against daemons without platform reads of their own that never learn of an evacuation, or
/// of its end.
#[test]
fn daemons_learn_of_an_evacuation_from_their_readers() {
    let mut fleet = VirtualFleet::new(74);
    fleet.published = (2, vec![(2, entry("b1", "b"))]);
    fleet.run(Duration::from_secs(4));
    for (step, evacuated) in [true, false].into_iter().enumerate() {
        let revision = 3 + step as u64;
        fleet.published.0 = revision;
        fleet.evacuations = if evacuated { vec![(3, "b".to_owned())] } else { Vec::new() };
        fleet.run(Duration::from_secs(7 + 3 * step as u64));
        for core in &fleet.cores {
            let zones = core.dump(fleet.now).evacuated_zones;
            assert_eq!(
                zones.contains(&"b".to_owned()),
                evacuated,
                "{}",
                core.dump(fleet.now).instance.vm
            );
        }
    }
}
