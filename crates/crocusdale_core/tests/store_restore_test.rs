//! What is believed of published upstreams when their store comes back from an older copy.
//!
//! What a user would see: requests refused or sent to upstreams that are gone, for as long as the store's
//! revisions lag behind those of before. In which order: the store is away for a moment, comes back as it
//! was some seconds before, and gives its revisions out again; operator and upstreams write again what
//! they wrote since. Cause: the list was ordered by the revision alone. Shown by a store whose list is
//! read under a lower revision, and was ignored.

mod support;

use std::time::Duration;

use crocusdale_core::daemon::StalenessBounds;
use crocusdale_core::identity::{MonotonicTime, StorePosition};
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};

use support::virtual_fleet::VirtualFleet;

/// Time until which what a copy lacks is waited for in these tests.
const GRACE: MonotonicTime = MonotonicTime::from_millis(5_000);
/// Time at which it no longer is.
const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);

fn entry(id: &str) -> DirectoryEntry {
    DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: None,
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: 8,
        leaving: false,
    }
}

fn leaving(id: &str) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry(id) }
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Upstreams that get new work, in order.
fn staying(directory: &UpstreamDirectory) -> Vec<&str> {
    let entries = directory.entries().filter(|entry| !entry.leaving);
    entries.map(|entry| entry.id.as_str()).collect()
}

/// A list in which `a` and `b` stay, read at revision 900.
fn known() -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    directory.replace(at(1, 900), vec![(300, entry("a")), (890, entry("b"))], None);
    directory
}

#[test]
fn lists_of_a_later_era_count_whatever_their_revision() {
    let mut directory = known();
    assert!(directory.replace(at(2, 350), vec![(300, entry("a")), (340, entry("c"))], None));
    assert_eq!(staying(&directory), ["a", "c"]);
    assert!(directory.change_position() > at(1, 900));
    // An answer of before the drill, and a peer that has not heard of it, are late.
    assert!(!directory.replace(at(1, 950), vec![(300, entry("a")), (890, entry("b"))], None));
    assert_eq!(staying(&directory), ["a", "c"]);
    // Two drills in a row, back to the same copy.
    assert!(directory.replace(at(3, 350), vec![(300, entry("a")), (341, entry("d"))], None));
    assert_eq!(staying(&directory), ["a", "d"]);
}

#[test]
fn upstream_that_registered_within_the_lost_seconds_is_waited_for() {
    let mut directory = known();
    directory.replace(at(2, 350), vec![(300, entry("a"))], Some(GRACE));
    assert_eq!(staying(&directory), ["a", "b"]);
    // It writes again, and stays.
    directory.replace(at(2, 360), vec![(300, entry("a")), (355, entry("b"))], None);
    assert!(!directory.remove_expired(LATER));
    assert_eq!(staying(&directory), ["a", "b"]);
}

#[test]
fn upstream_that_never_writes_again_is_dropped() {
    let mut directory = known();
    directory.replace(at(2, 350), vec![(300, entry("a"))], Some(GRACE));
    directory.replace(at(2, 360), vec![(300, entry("a"))], None);
    assert_eq!(staying(&directory), ["a", "b"], "it is still waited for");
    assert!(directory.remove_expired(LATER));
    assert_eq!(staying(&directory), ["a"]);
    assert!(directory.change_position() > at(2, 350), "others hear of it");
}

#[test]
fn notice_that_the_copy_does_not_know_holds() {
    let mut directory = known();
    directory.replace(at(1, 910), vec![(300, entry("a")), (905, leaving("b"))], None);
    directory.replace(at(2, 350), vec![(300, entry("a")), (340, entry("b"))], Some(GRACE));
    assert_eq!(staying(&directory), ["a"]);
    directory.replace(at(2, 370), vec![(300, entry("a")), (365, entry("b"))], None);
    assert_eq!(staying(&directory), ["a"], "what it wrote before its notice came late");
}

#[test]
fn upstream_that_was_gone_is_not_taken_from_the_copy() {
    let mut directory = known();
    directory.replace(at(1, 920), vec![(300, entry("a"))], None);
    assert_eq!(staying(&directory), ["a"]);
    directory.replace(at(2, 350), vec![(300, entry("a")), (340, entry("b"))], Some(GRACE));
    assert_eq!(staying(&directory), ["a"], "only the copy knows it");
    // One that had lapsed and lives renews its entry behind the copy.
    directory.replace(at(2, 352), vec![(300, entry("a")), (351, entry("b"))], None);
    assert_eq!(staying(&directory), ["a", "b"]);
    // A later life is another process, wherever it is listed.
    let mut directory = known();
    directory.replace(at(1, 920), vec![(300, entry("a"))], None);
    let born = DirectoryEntry { started_at_ms: Some(7), ..entry("b") };
    directory.replace(at(2, 350), vec![(300, entry("a")), (340, born)], Some(GRACE));
    assert_eq!(staying(&directory), ["a", "b"]);
}

/// A peer reads the copy first, and never knew an upstream that registered within the lost seconds.
#[test]
fn list_of_a_peer_in_a_later_era_gives_nobody_up() {
    let mut directory = known();
    let mut peer = UpstreamDirectory::default();
    peer.replace(at(2, 350), vec![(300, entry("a"))], None);
    let now = MonotonicTime::from_millis(1_000);
    directory.merge(peer.snapshot(now), now);
    assert_eq!(directory.position(), at(2, 350));
    assert_eq!(staying(&directory), ["a", "b"]);
    assert!(directory.remove_expired(LATER));
    assert_eq!(staying(&directory), ["a"]);
    // The other way round, it is old news.
    let mut ahead = UpstreamDirectory::default();
    ahead.replace(at(2, 350), vec![(300, entry("a"))], None);
    assert!(!ahead.merge(known().snapshot(now), now));
    assert_eq!(staying(&ahead), ["a"]);
}

/// The store is restored while a third of the daemons is cut off from the others and from the store. All
/// that reach it have the new list with their next reading; the others have it that soon after the cut.
#[test]
fn fleets_take_the_restored_list_in_time() {
    for size in [6, 60] {
        let mut fleet = VirtualFleet::new(size);
        let list = |entries: &[(u64, &str)]| {
            entries.iter().map(|(revision, id)| (*revision, entry(id))).collect::<Vec<_>>()
        };
        fleet.published = (900, list(&[(300, "a"), (890, "b")]));
        fleet.run(Duration::from_secs(5));
        let third: Vec<usize> = (0..size / 3).collect();
        fleet.partitioned.extend(&third);
        fleet.failing_readers.extend(&third);
        fleet.run(Duration::from_secs(6));
        fleet.era = 1;
        fleet.published = (350, list(&[(300, "a"), (340, "c")]));
        let lists = |fleet: &VirtualFleet, daemon: usize, id: &str| {
            let known = fleet.cores[daemon].published_upstreams(fleet.now);
            known.entries.iter().any(|each| each.entry.id == id)
        };
        let knows = |fleet: &VirtualFleet, daemon: usize| lists(fleet, daemon, "c");
        // The copy lacks one that may write again: it is kept by all meanwhile.
        fleet.run(Duration::from_millis(7_800));
        assert!((0..size).all(|daemon| lists(&fleet, daemon, "b")), "{size}: given up too soon");
        fleet.run(Duration::from_millis(8_000));
        assert!((size / 3..size).all(|daemon| knows(&fleet, daemon)), "{size}: all that reach it");
        assert!(third.iter().all(|daemon| !knows(&fleet, *daemon)));
        fleet.partitioned.clear();
        fleet.failing_readers.clear();
        fleet.run(Duration::from_secs(8) + StalenessBounds::default().recovery_time);
        assert!((0..size).all(|daemon| knows(&fleet, daemon)), "{size}: all");
        // What the copy lacks and nobody writes again is gone by then everywhere.
        fleet.run(Duration::from_secs(16));
        let lists =
            fleet.cores.iter().map(|core| core.published_upstreams(fleet.now).entries.len());
        assert!(lists.into_iter().all(|entries| entries == 2));
    }
}
