//! Directory of the upstreams that the platform publishes.

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
        software_version: None,
    }
}

fn leaving_entry(id: &str) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry(id) }
}

fn available_ids(directory: &UpstreamDirectory) -> Vec<&str> {
    let available = directory.entries().filter(|entry| !entry.leaving);
    available.map(|entry| entry.id.as_str()).collect()
}

/// Guards against requests that are refused for two seconds after an outage of the store. Entries
/// that nobody could renew have expired, so the first list is nearly empty although all upstreams
/// run. Known entries stay until the upstreams have had time to write theirs again.
#[test]
fn expired_entries_are_kept_until_the_grace_time_ends() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    assert!(!directory.replace(9, vec![(8, entry("u1"))], Some(grace)));
    assert_eq!(available_ids(&directory), ["u1", "u2"]);
    assert!(!directory.replace(12, vec![(8, entry("u1")), (11, entry("u2"))], Some(grace)));
    assert!(!directory.remove_expired(MonotonicTime::from_millis(2_100)));
    assert_eq!(available_ids(&directory), ["u1", "u2"]);
}

/// Guards against requests to an upstream that ended during an outage of the store.
#[test]
fn entry_that_stays_missing_is_removed_after_the_grace_time() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    directory.replace(9, vec![(8, entry("u1"))], Some(grace));
    assert!(!directory.remove_expired(MonotonicTime::from_millis(1_900)));
    assert!(directory.remove_expired(MonotonicTime::from_millis(2_000)));
    assert_eq!(available_ids(&directory), ["u1"]);
}

/// Guards against an entry that is kept although its upstream announced that it leaves. The notice
/// was written just before the outage in which the entry expired.
#[test]
fn expired_entry_with_a_leaving_notice_is_removed_at_once() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, leaving_entry("u2"))], None);
    let grace = MonotonicTime::from_millis(2_000);
    assert!(directory.replace(9, vec![(8, entry("u1"))], Some(grace)));
    assert_eq!(directory.entries().count(), 1, "u2 must be removed");
}

/// Guards against a stale list of a peer that overrides a leaving notice. A daemon that can't read
/// the store merges that list, and the upstream would get requests again.
#[test]
fn older_list_does_not_override_a_leaving_notice() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(9, vec![(8, leaving_entry("u1"))], None);
    assert!(!directory.replace(7, vec![(3, entry("u1"))], None));
    assert!(available_ids(&directory).is_empty());
}

/// Guards against a stale list of a peer that removes an upstream published since: nothing would
/// count its running requests any more.
#[test]
fn older_list_does_not_remove_a_newer_entry() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(9, vec![(3, entry("u1")), (8, entry("u2"))], None);
    assert!(!directory.replace(7, vec![(3, entry("u1"))], None));
    assert_eq!(available_ids(&directory), ["u1", "u2"]);
}

/// Guards against routing that is rebuilt several times a second: a renewed entry has a later
/// revision and the same content.
#[test]
fn renewed_entry_is_no_change() {
    let mut directory = UpstreamDirectory::default();
    assert!(directory.replace(5, vec![(3, entry("u1"))], None));
    assert!(!directory.replace(6, vec![(6, entry("u1"))], None));
    assert_eq!(directory.change_position(), 3.into());
    assert!(directory.replace(7, vec![(7, leaving_entry("u1"))], None));
    assert_eq!(directory.change_position(), 7.into());
}

/// Guards against peers that keep a missing entry for good. A daemon reads the list again after a
/// partition, and keeps entries that may have expired for two seconds. Its peers merge its list;
/// they once kept an upstream that left without a notice in that time, and sent it requests 2.4 s
/// later. Peers must keep such an entry for as long as the reader, and no longer.
#[test]
fn peers_keep_expired_entries_no_longer_than_the_reader() {
    let at = MonotonicTime::from_millis;
    let mut reader = UpstreamDirectory::default();
    reader.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    reader.replace(9, vec![(8, entry("u1")), (9, entry("u3"))], Some(at(2_000)));
    let mut peer = UpstreamDirectory::default();
    peer.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    assert!(peer.merge(reader.snapshot(at(500)), at(501)));
    assert_eq!(available_ids(&peer), ["u1", "u2", "u3"], "u2 must be kept: its entry may return");
    assert!(!peer.remove_expired(at(1_900)));
    assert!(peer.remove_expired(at(2_010)));
    assert_eq!(available_ids(&peer), ["u1", "u3"]);
    assert!(!peer.merge(reader.snapshot(at(1_950)), at(2_020)), "a late list must not restore u2");
    assert_eq!(available_ids(&peer), ["u1", "u3"]);
}

/// Guards against a grace time that starts anew with each list that a peer fetches from the reader.
#[test]
fn second_list_from_the_reader_does_not_extend_the_grace_time() {
    let at = MonotonicTime::from_millis;
    let mut reader = UpstreamDirectory::default();
    reader.replace(5, vec![(4, entry("u2"))], None);
    reader.replace(9, Vec::new(), Some(at(2_000)));
    let mut peer = UpstreamDirectory::default();
    peer.merge(reader.snapshot(at(100)), at(100));
    peer.merge(reader.snapshot(at(100)), at(1_000));
    assert!(peer.remove_expired(at(2_000)));
    assert!(available_ids(&peer).is_empty());
}

/// Guards against requests to an upstream that left after an outage of the platform. It was listed
/// after the outage and is missing half a second later, so its entry has not expired in the outage
/// and must be removed at once.
#[test]
fn entry_listed_after_the_outage_is_removed_at_once() {
    let at = MonotonicTime::from_millis;
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(3, entry("u1")), (4, entry("u2"))], None);
    directory.replace(9, vec![(8, entry("u1"))], Some(at(2_000)));
    assert!(directory.replace(12, Vec::new(), None), "u1 must be removed");
    assert_eq!(available_ids(&directory), ["u2"], "u2 must be kept until the grace time is over");
    assert!(directory.remove_expired(at(2_000)));
}
