//! Upstreams that the platform publishes.

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};

fn entry(id: &str) -> DirectoryEntry {
    DirectoryEntry {
        started_at_ms: None,
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
    assert!(!directory.remove_expired(MonotonicTime::from_millis(2_100)));
    assert_eq!(ids(&directory), ["u1", "u2"]);
}

/// The same, but one upstream died while the store was away. It must not get work for good.
#[test]
fn entry_that_stays_missing_is_gone() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    directory.replace(9, vec![(8, entry("u1"))], Some(grace));
    assert!(!directory.remove_expired(MonotonicTime::from_millis(1_900)));
    assert!(directory.remove_expired(MonotonicTime::from_millis(2_000)));
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
    assert_eq!(directory.change_position(), 3.into());
    assert!(directory.replace(7, vec![(7, leaving("u1"))], None));
    assert_eq!(directory.change_position(), 7.into());
}

/// A daemon that was cut off reads the list again, and waits two seconds for what may have lapsed
/// meanwhile. An upstream leaves without a notice in that time, and the daemon's peers, which rely on
/// its reading, take its list: they kept the upstream for good, and sent it requests 2.4 s after it
/// had left. What the daemon waits for, they wait for too, and no longer.
#[test]
fn peers_wait_for_lapsed_entries_no_longer_than_the_reader() {
    let at = MonotonicTime::from_millis;
    let mut reader = UpstreamDirectory::default();
    reader.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    reader.replace(9, vec![(8, entry("u1")), (9, entry("u3"))], Some(at(2_000)));
    let mut peer = UpstreamDirectory::default();
    peer.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    assert!(peer.merge(reader.snapshot(at(500)), at(501)));
    assert_eq!(ids(&peer), ["u1", "u2", "u3"], "it may come back");
    assert!(!peer.remove_expired(at(1_900)));
    assert!(peer.remove_expired(at(2_010)));
    assert_eq!(ids(&peer), ["u1", "u3"]);
    assert!(
        !peer.merge(reader.snapshot(at(1_950)), at(2_020)),
        "nor does a late list bring it back"
    );
    assert_eq!(ids(&peer), ["u1", "u3"]);
}

/// A peer asks twice while the reader waits. The second list must not begin the time anew.
#[test]
fn second_list_of_a_peer_does_not_extend_the_wait() {
    let at = MonotonicTime::from_millis;
    let mut reader = UpstreamDirectory::default();
    reader.replace(5, vec![(4, entry("u2"))], None);
    reader.replace(9, Vec::new(), Some(at(2_000)));
    let mut peer = UpstreamDirectory::default();
    peer.merge(reader.snapshot(at(100)), at(100));
    peer.merge(reader.snapshot(at(100)), at(1_000));
    assert!(peer.remove_expired(at(2_000)));
    assert!(ids(&peer).is_empty());
}

/// The platform is back, and lists an upstream; half a second later it does not. It has left: waited
/// for like one whose entry lapsed, it would get requests for longer than it may.
#[test]
fn entry_that_was_listed_since_the_return_is_not_waited_for() {
    let at = MonotonicTime::from_millis;
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    directory.replace(9, vec![(8, entry("u1"))], Some(at(2_000)));
    assert!(directory.replace(12, Vec::new(), None), "u1 is gone");
    assert_eq!(ids(&directory), ["u2"], "u2 is still waited for");
    assert!(directory.remove_expired(at(2_000)));
}
