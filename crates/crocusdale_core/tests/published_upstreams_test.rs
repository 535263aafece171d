//! Upstreams that the platform publishes.

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};

fn entry(id: &str) -> DirectoryEntry {
    DirectoryEntry {
        born: None,
        id: id.to_owned(),
        pool: "rerank".to_owned(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 1,
        leaving: false,
    }
}

fn leaving(id: &str) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry(id) }
}

fn ids(directory: &UpstreamDirectory) -> Vec<&str> {
    let staying = directory.entries().filter(|entry| !entry.leaving);
    staying.map(|entry| entry.id.as_str()).collect()
}

/// The store is away for some seconds, and entries lapse that nobody could renew. When it is back,
/// its list is nearly empty although all upstreams live; users would be refused for two seconds.
/// What was known stays until the upstreams have had time to come back.
#[test]
fn lapsed_entries_may_come_back() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    assert!(!directory.replace(9, vec![(8, entry("u1"))], Some(grace)));
    assert_eq!(ids(&directory), ["u1", "u2"]);
    assert!(!directory.replace(12, vec![(8, entry("u1")), (11, entry("u2"))], Some(grace)));
    assert!(!directory.drop_missing(MonotonicTime::from_millis(2_100)));
    assert_eq!(ids(&directory), ["u1", "u2"]);
}

/// The same, but one upstream died while the store was away. It must not get work for good.
#[test]
fn entry_that_stays_missing_is_gone() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    directory.replace(9, vec![(8, entry("u1"))], Some(grace));
    assert!(!directory.drop_missing(MonotonicTime::from_millis(1_900)));
    assert!(directory.drop_missing(MonotonicTime::from_millis(2_000)));
    assert_eq!(ids(&directory), ["u1"]);
}

/// An upstream gives notice while the store is about to go away, and its entry lapses. It said that
/// it leaves: nobody waits for it to come back.
#[test]
fn entry_that_gave_notice_is_not_waited_for() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, leaving("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    assert!(directory.replace(9, vec![(8, entry("u1"))], Some(grace)));
    assert_eq!(directory.entries().count(), 1);
}

/// A daemon that can't read the store takes the list of a peer that has fallen behind. The notice
/// that it had read itself must outlive that list, or the upstream would get work again.
#[test]
fn older_list_of_a_peer_takes_nothing_back() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(9, vec![(8, leaving("u1"))], None);
    assert!(!directory.replace(7, vec![(3, entry("u1"))], None));
    assert!(ids(&directory).is_empty());
}

/// The same, and an upstream has been published since that list. It must not disappear with it, and
/// its running work with nobody to count it.
#[test]
fn older_list_of_a_peer_removes_nothing() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(9, vec![(3, entry("u1")), (8, entry("u2"))], None);
    assert!(!directory.replace(7, vec![(3, entry("u1"))], None));
    assert_eq!(ids(&directory), ["u1", "u2"]);
}

/// A renewed entry is written with a later revision and says the same. Routing must not be rebuilt
/// for it several times a second.
#[test]
fn renewed_entry_is_no_change() {
    let mut directory = UpstreamDirectory::default();
    assert!(directory.replace(5, vec![(3, entry("u1"))], None));
    assert!(!directory.replace(6, vec![(6, entry("u1"))], None));
    assert_eq!(directory.changed(), 3);
    assert!(directory.replace(7, vec![(7, leaving("u1"))], None));
    assert_eq!(directory.changed(), 7);
}
