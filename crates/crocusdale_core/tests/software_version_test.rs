//! Software versions in the list of published upstreams.

use crocusdale_core::identity::{MonotonicTime, SoftwareVersion, StorePosition};
use crocusdale_core::routing::{DirectoryEntry, PeerDirectory, PeerEntry, UpstreamDirectory};
use crocusdale_schema::peer;

fn entry(id: &str, version: Option<&str>) -> DirectoryEntry {
    DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: None,
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("the address must be valid"),
        zone: "a".to_owned(),
        slots: 4,
        leaving: false,
        software_version: version.and_then(SoftwareVersion::new),
    }
}

fn listed_version(directory: &UpstreamDirectory) -> Option<&str> {
    let mut entries = directory.entries();
    entries.next()?.software_version.as_ref().map(SoftwareVersion::as_str)
}

#[test]
fn version_arrives_unchanged_at_another_daemon() {
    let write_position = StorePosition { era: 0, revision: 7 };
    let sent = PeerEntry { write_position, entry: entry("i-1", Some("v1.2")), expires_in: None };
    let received = PeerEntry::try_from(peer::DirectoryEntry::from(sent));
    let received = received.expect("the entry must be valid");
    assert_eq!(received.entry, entry("i-1", Some("v1.2")));
}

/// Guards against streams that can't go on because a daemon that tells no versions passed on the
/// list.
#[test]
fn list_without_versions_keeps_those_that_are_known() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(1, vec![(1, entry("i-1", Some("v1")))], None);
    let now = MonotonicTime::from_millis(0);
    let mut other = UpstreamDirectory::default();
    other.replace(3, vec![(3, DirectoryEntry { leaving: true, ..entry("i-1", None) })], None);
    let list: PeerDirectory = other.snapshot(now);
    assert!(directory.merge(list, now));
    assert_eq!(listed_version(&directory), Some("v1"));
}

/// Guards against an entry that takes up memory without bound.
#[test]
fn version_of_unreasonable_length_is_unknown() {
    assert!(SoftwareVersion::new(&"v".repeat(SoftwareVersion::MAX_BYTES)).is_some());
    assert_eq!(SoftwareVersion::new(&"v".repeat(SoftwareVersion::MAX_BYTES + 1)), None);
}
