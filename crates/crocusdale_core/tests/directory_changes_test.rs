//! Changes of the published upstreams that daemons send to each other instead of whole lists.

mod support;

use std::time::Duration;

use crocusdale_core::identity::{MonotonicTime, StorePosition};
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use support::virtual_fleet::VirtualFleet;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn entry(id: &str) -> DirectoryEntry {
    DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: None,
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 8,
        leaving: false,
        software_version: None,
    }
}

fn leaving_entry(id: &str) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry(id) }
}

fn at(revision: u64) -> StorePosition {
    revision.into()
}

fn available_ids(directory: &UpstreamDirectory) -> Vec<String> {
    directory.available_entries().map(|entry| entry.id.clone()).collect()
}

/// Guards against a peer whose list differs from that of the daemon that sends it changes, whatever
/// happens to upstreams between any two reads.
#[test]
fn changes_add_up_to_the_whole_list() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let ids: Vec<String> = (0..12).map(|number| format!("w{number}")).collect();
        let mut published: Vec<(u64, DirectoryEntry)> = Vec::new();
        let (mut reader, mut peer) = (UpstreamDirectory::default(), UpstreamDirectory::default());
        for reading in 1..200_u64 {
            let revision = reading * 10;
            let id = ids.choose(&mut random).expect("an id");
            let known = published.iter().position(|(_, each)| each.id == *id);
            match (known, random.random_range(0..3)) {
                (Some(index), 0) => drop(published.remove(index)),
                (Some(index), 1) => published[index] = (revision - 1, leaving_entry(id)),
                (Some(index), _) => published[index].0 = revision - 1,
                (None, _) => published.push((revision - 1, entry(id))),
            }
            reader.replace(revision, published.clone(), None);
            if random.random_bool(0.3) {
                peer.merge(reader.changes_since(peer.sync_position(), NOW), NOW);
                assert_eq!(
                    available_ids(&peer),
                    available_ids(&reader),
                    "seed {seed}, reading {reading}"
                );
            }
        }
    }
}

/// Guards against lists of thousands of upstreams that are sent to every daemon when one of them
/// changes.
#[test]
fn only_changed_entries_are_sent() {
    let mut reader = UpstreamDirectory::default();
    let all = |revision| (0..500).map(move |number| (revision, entry(&format!("w{number}"))));
    reader.replace(100, all(90).collect(), None);
    let known = reader.position();
    let mut renewed: Vec<_> = all(190).collect();
    renewed[7] = (190, leaving_entry("w7"));
    renewed.remove(3);
    reader.replace(200, renewed, None);
    let sent = reader.changes_since(known, NOW);
    assert_eq!(sent.entries.len(), 1, "a renewed entry must not count as a change");
    assert_eq!(sent.removed.map(|removed| removed.len()), Some(1));
    assert_eq!(
        reader.changes_since(at(0), NOW).entries.len(),
        499,
        "a daemon without a list must get the whole list"
    );
    let other_era = StorePosition { era: 1, revision: 150 };
    assert_eq!(
        reader.changes_since(other_era, NOW).entries.len(),
        499,
        "a daemon with a list of another era must get the whole list"
    );
}

/// Guards against a peer that misses changes from before the first list of the sender, which the
/// sender can't list as changes.
#[test]
fn sender_that_started_later_sends_its_whole_list() {
    let mut sender = UpstreamDirectory::default();
    sender.replace(100, vec![(90, entry("a"))], None);
    let mut peer = UpstreamDirectory::default();
    peer.replace(80, vec![(70, entry("a")), (71, entry("gone"))], None);
    peer.merge(sender.changes_since(peer.sync_position(), NOW), NOW);
    assert_eq!(available_ids(&peer), ["a"]);
}

/// Guards against an entry that expires on one daemon although a peer has read it again unchanged:
/// the peer would send no change of it.
#[test]
fn position_of_a_daemon_with_expired_entries_covers_their_return() {
    let mut reader = UpstreamDirectory::default();
    let mut peer = UpstreamDirectory::default();
    for list in [&mut reader, &mut peer] {
        list.replace(100, vec![(90, entry("a")), (91, entry("b"))], None);
    }
    let grace = MonotonicTime::from_millis(2_000);
    peer.replace(110, vec![(90, entry("a"))], Some(grace));
    reader.replace(120, vec![(90, entry("a")), (115, entry("b"))], None);
    peer.merge(reader.changes_since(peer.sync_position(), NOW), NOW);
    assert!(!peer.remove_expired(grace));
    assert_eq!(available_ids(&peer), ["a", "b"]);
}

/// Guards against requests to a leaving upstream of a list with several pages. The last change of
/// the list is later than a notice on a page that was read before it, so daemons that rely on a
/// reader never requested that notice.
#[test]
fn notice_before_the_last_change_reaches_all_daemons() {
    let mut fleet = VirtualFleet::new(30);
    let first = |revision, id: &str| (revision, entry(id));
    fleet.published = (1_000, vec![first(900, "early"), first(901, "late")]);
    fleet.run(Duration::from_secs(4));
    // The first page is read at revision 1,001, before the notice at 1,005. The second page is read
    // later and holds a change at 1,008.
    fleet.published = (1_001, vec![first(900, "early"), (1_008, leaving_entry("late"))]);
    fleet.run(Duration::from_secs(6));
    fleet.published =
        (1_020, vec![(1_005, leaving_entry("early")), (1_008, leaving_entry("late"))]);
    fleet.run(Duration::from_secs(8));
    for core in &fleet.cores {
        let list = core.published_upstreams(fleet.now);
        let leaves = list.entries.iter().all(|each| each.entry.leaving);
        assert!(leaves, "{} must know of both notices", core.dump(fleet.now).instance.vm);
    }
}

/// Guards against list traffic that grows with the number of daemons times the number of upstreams.
#[test]
fn changes_cost_a_large_fleet_few_entries() {
    let mut fleet = VirtualFleet::new(100);
    let all = |revision| (0..1_000).map(move |number| (revision, entry(&format!("w{number}"))));
    fleet.published = (1_000, all(900).collect());
    fleet.run(Duration::from_secs(5));
    let before = fleet.fetched_entries;
    for step in 0..10_u64 {
        let revision = 2_000 + step * 1_000;
        let mut published: Vec<_> = all(revision - 10).collect();
        published[step as usize] = (revision - 5, leaving_entry(&format!("w{step}")));
        fleet.published = (revision, published);
        fleet.run(Duration::from_millis(6_000 + step * 1_000));
    }
    let sent = fleet.fetched_entries - before;
    assert!(
        sent < 100 * 10 * 10,
        "{sent} entries sent for 10 changes; whole lists would take 1,000,000"
    );
}

/// Guards against an upstream that is missing on one daemon until its entry changes. The entry has
/// expired there, while a peer has read it again unchanged.
#[test]
fn removed_upstream_returns_with_the_next_list() {
    let mut reader = UpstreamDirectory::default();
    let mut peer = UpstreamDirectory::default();
    for list in [&mut reader, &mut peer] {
        list.replace(100, vec![(90, entry("a")), (91, entry("b"))], None);
    }
    let grace = MonotonicTime::from_millis(2_000);
    peer.replace(110, vec![(90, entry("a"))], Some(grace));
    let requested_position = reader.position();
    reader.replace(120, vec![(90, entry("a")), (115, entry("b"))], None);
    peer.merge(reader.changes_since(requested_position, NOW), NOW);
    assert_eq!(
        peer.position(),
        at(110),
        "changes requested before the entry was missing must not move the position"
    );
    assert!(peer.remove_expired(grace));
    reader.replace(130, vec![(125, entry("a")), (126, entry("b")), (127, entry("c"))], None);
    peer.merge(reader.changes_since(peer.sync_position(), grace), grace);
    assert_eq!(available_ids(&peer), ["a", "b", "c"]);
    assert_eq!(peer.sync_position(), at(130), "the next request must ask for changes only");
}

/// Guards against fleets in which every daemon reads the platform itself. Some upstream changes
/// with each read, so no heartbeat reply finds the requesting daemon up to date.
#[test]
fn readers_suffice_while_upstreams_change_all_the_time() {
    let mut fleet = VirtualFleet::new(60);
    fleet.published = (1_000, vec![(900, entry("a"))]);
    fleet.run(Duration::from_secs(5));
    fleet.slowness = Some(SmallRng::seed_from_u64(3));
    let before = fleet.reads;
    for step in 0..100_u64 {
        let revision = 2_000 + step * 10;
        fleet.published = (revision, vec![(revision - 1, entry(&format!("w{step}")))]);
        fleet.run(Duration::from_millis(5_000 + (step + 1) * 200));
    }
    let (reads, seconds) = (fleet.reads - before, 20);
    // With bounds of 2 s, each of six readers reads every 0.5 s.
    assert!(reads <= 300, "{reads} reads in {seconds} s, at most 300 expected");
}
