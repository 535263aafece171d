//! Directory of published upstreams after its store was restored from an older copy.
//!
//! Guards against requests that are refused, or sent to upstreams that have ended, for as long as
//! the revisions of the restored store are lower than those before. The store is away for a moment,
//! returns in the state of some seconds before and assigns the same revisions again, while operator
//! and upstreams repeat their writes. Lists were once ordered by their revision alone, so a list
//! that was read at a lower revision was ignored.

mod support;

use std::time::Duration;

use crocusdale_core::daemon::StalenessBounds;
use crocusdale_core::identity::{MonotonicTime, StorePosition};
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};

use support::virtual_fleet::VirtualFleet;

/// End of the grace time, until which entries that the copy lacks are kept.
const GRACE_END: MonotonicTime = MonotonicTime::from_millis(5_000);
/// Time after the end of the grace time.
const AFTER_GRACE: MonotonicTime = MonotonicTime::from_millis(60_000);

fn entry(id: &str) -> DirectoryEntry {
    DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: None,
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: 8,
        leaving: false,
        software_version: None,
    }
}

fn leaving_entry(id: &str) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry(id) }
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Ids of the upstreams that are not leaving, in order.
fn available_ids(directory: &UpstreamDirectory) -> Vec<&str> {
    let entries = directory.entries().filter(|entry| !entry.leaving);
    entries.map(|entry| entry.id.as_str()).collect()
}

/// A list with the upstreams `a` and `b`, read at revision 900 of era 1.
fn known_directory() -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    directory.replace(at(1, 900), vec![(300, entry("a")), (890, entry("b"))], None);
    directory
}

#[test]
fn list_of_a_later_era_is_accepted_at_any_revision() {
    let mut directory = known_directory();
    assert!(directory.replace(at(2, 350), vec![(300, entry("a")), (340, entry("c"))], None));
    assert_eq!(available_ids(&directory), ["a", "c"]);
    assert!(directory.change_position() > at(1, 900));
    // A list of the earlier era, from a late read or an outdated peer, must be ignored.
    assert!(!directory.replace(at(1, 950), vec![(300, entry("a")), (890, entry("b"))], None));
    assert_eq!(available_ids(&directory), ["a", "c"]);
    // The store is restored once more, from the same copy.
    assert!(directory.replace(at(3, 350), vec![(300, entry("a")), (341, entry("d"))], None));
    assert_eq!(available_ids(&directory), ["a", "d"]);
}

#[test]
fn upstream_that_the_copy_lacks_is_kept_for_the_grace_time() {
    let mut directory = known_directory();
    directory.replace(at(2, 350), vec![(300, entry("a"))], Some(GRACE_END));
    assert_eq!(available_ids(&directory), ["a", "b"]);
    // The upstream writes its entry again and is kept.
    directory.replace(at(2, 360), vec![(300, entry("a")), (355, entry("b"))], None);
    assert!(!directory.remove_expired(AFTER_GRACE));
    assert_eq!(available_ids(&directory), ["a", "b"]);
}

#[test]
fn upstream_that_never_writes_again_is_removed() {
    let mut directory = known_directory();
    directory.replace(at(2, 350), vec![(300, entry("a"))], Some(GRACE_END));
    directory.replace(at(2, 360), vec![(300, entry("a"))], None);
    assert_eq!(
        available_ids(&directory),
        ["a", "b"],
        "b must be kept until the grace time is over"
    );
    assert!(directory.remove_expired(AFTER_GRACE));
    assert_eq!(available_ids(&directory), ["a"]);
    assert!(directory.change_position() > at(2, 350), "peers must learn of the removal");
}

#[test]
fn leaving_notice_that_the_copy_lacks_is_kept() {
    let mut directory = known_directory();
    directory.replace(at(1, 910), vec![(300, entry("a")), (905, leaving_entry("b"))], None);
    directory.replace(at(2, 350), vec![(300, entry("a")), (340, entry("b"))], Some(GRACE_END));
    assert_eq!(available_ids(&directory), ["a"]);
    directory.replace(at(2, 370), vec![(300, entry("a")), (365, entry("b"))], None);
    assert_eq!(
        available_ids(&directory),
        ["a"],
        "an entry without the notice must not override the notice of b"
    );
}

#[test]
fn removed_upstream_is_not_restored_from_the_copy() {
    let mut directory = known_directory();
    directory.replace(at(1, 920), vec![(300, entry("a"))], None);
    assert_eq!(available_ids(&directory), ["a"]);
    directory.replace(at(2, 350), vec![(300, entry("a")), (340, entry("b"))], Some(GRACE_END));
    assert_eq!(available_ids(&directory), ["a"], "b must not be restored: only the copy lists it");
    // A running upstream whose entry had expired renews it after the restore.
    directory.replace(at(2, 352), vec![(300, entry("a")), (351, entry("b"))], None);
    assert_eq!(available_ids(&directory), ["a", "b"]);
    // A process with a start time is another one than before, so its entry in the copy counts.
    let mut directory = known_directory();
    directory.replace(at(1, 920), vec![(300, entry("a"))], None);
    let restarted = DirectoryEntry { started_at_ms: Some(7), ..entry("b") };
    directory.replace(at(2, 350), vec![(300, entry("a")), (340, restarted)], Some(GRACE_END));
    assert_eq!(available_ids(&directory), ["a", "b"]);
}

/// Guards against an upstream that is removed by the list of a peer. The peer read the copy first
/// and never knew an upstream that registered in the seconds which the copy lacks.
#[test]
fn list_of_a_peer_in_a_later_era_removes_no_upstream_at_once() {
    let mut directory = known_directory();
    let mut peer = UpstreamDirectory::default();
    peer.replace(at(2, 350), vec![(300, entry("a"))], None);
    let now = MonotonicTime::from_millis(1_000);
    directory.merge(peer.snapshot(now), now);
    assert_eq!(directory.position(), at(2, 350));
    assert_eq!(available_ids(&directory), ["a", "b"]);
    assert!(directory.remove_expired(AFTER_GRACE));
    assert_eq!(available_ids(&directory), ["a"]);
    // The other way round, the list of the earlier era is outdated.
    let mut ahead = UpstreamDirectory::default();
    ahead.replace(at(2, 350), vec![(300, entry("a"))], None);
    assert!(!ahead.merge(known_directory().snapshot(now), now));
    assert_eq!(available_ids(&ahead), ["a"]);
}

/// Guards against daemons that keep the list of before the restore. A third of them is partitioned
/// from the others and from the store meanwhile. Daemons that reach the store must have the new
/// list with their next read, the others as soon after the partition has ended.
#[test]
fn fleets_accept_the_restored_list_in_time() {
    for size in [6, 60] {
        let mut fleet = VirtualFleet::new(size);
        let list = |entries: &[(u64, &str)]| {
            entries.iter().map(|(revision, id)| (*revision, entry(id))).collect::<Vec<_>>()
        };
        fleet.published = (900, list(&[(300, "a"), (890, "b")]));
        fleet.run(Duration::from_secs(5));
        let partitioned: Vec<usize> = (0..size / 3).collect();
        fleet.partitioned.extend(&partitioned);
        fleet.failing_readers.extend(&partitioned);
        fleet.run(Duration::from_secs(6));
        fleet.era = 1;
        fleet.published = (350, list(&[(300, "a"), (340, "c")]));
        let lists = |fleet: &VirtualFleet, daemon: usize, id: &str| {
            let known = fleet.cores[daemon].published_upstreams(fleet.now);
            known.entries.iter().any(|each| each.entry.id == id)
        };
        let knows = |fleet: &VirtualFleet, daemon: usize| lists(fleet, daemon, "c");
        // The copy lacks `b`, which may write its entry again: all daemons keep it meanwhile.
        fleet.run(Duration::from_millis(7_800));
        assert!(
            (0..size).all(|daemon| lists(&fleet, daemon, "b")),
            "all {size} daemons must keep b for the grace time"
        );
        fleet.run(Duration::from_millis(8_000));
        assert!(
            (size / 3..size).all(|daemon| knows(&fleet, daemon)),
            "daemons of {size} that reach the store must know c"
        );
        assert!(partitioned.iter().all(|daemon| !knows(&fleet, *daemon)), "partitioned daemons");
        fleet.partitioned.clear();
        fleet.failing_readers.clear();
        fleet.run(Duration::from_secs(8) + StalenessBounds::default().recovery_time);
        assert!((0..size).all(|daemon| knows(&fleet, daemon)), "all {size} daemons must know c");
        // `b`, which the copy lacks and which never wrote again, must be removed everywhere by
        // then.
        fleet.run(Duration::from_secs(16));
        let lists =
            fleet.cores.iter().map(|core| core.published_upstreams(fleet.now).entries.len());
        assert!(lists.into_iter().all(|entries| entries == 2), "each list must hold a and c");
    }
}
