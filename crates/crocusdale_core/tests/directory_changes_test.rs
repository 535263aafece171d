//! Changes of the published upstreams that daemons tell each other instead of whole lists.

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
    }
}

fn leaving(id: &str) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry(id) }
}

fn at(revision: u64) -> StorePosition {
    revision.into()
}

fn staying(directory: &UpstreamDirectory) -> Vec<String> {
    directory.available_entries().map(|entry| entry.id.clone()).collect()
}

/// Guards against a peer whose list differs from that of the daemon which tells it changes, whatever
/// happens to upstreams between any two readings.
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
                (Some(index), 1) => published[index] = (revision - 1, leaving(id)),
                (Some(index), _) => published[index].0 = revision - 1,
                (None, _) => published.push((revision - 1, entry(id))),
            }
            reader.replace(revision, published.clone(), None);
            if random.random_bool(0.3) {
                peer.merge(reader.changes_since(peer.sync_position(), NOW), NOW);
                assert_eq!(staying(&peer), staying(&reader), "seed {seed}, reading {reading}");
            }
        }
    }
}

/// Guards against lists of thousands of upstreams that go to every daemon when one of them changes.
#[test]
fn only_what_changed_is_told() {
    let mut reader = UpstreamDirectory::default();
    let all = |revision| (0..500).map(move |number| (revision, entry(&format!("w{number}"))));
    reader.replace(100, all(90).collect(), None);
    let known = reader.position();
    let mut renewed: Vec<_> = all(190).collect();
    renewed[7] = (190, leaving("w7"));
    renewed.remove(3);
    reader.replace(200, renewed, None);
    let told = reader.changes_since(known, NOW);
    assert_eq!(told.entries.len(), 1, "heartbeats are no changes");
    assert_eq!(told.removed.map(|removed| removed.len()), Some(1));
    assert_eq!(
        reader.changes_since(at(0), NOW).entries.len(),
        499,
        "to a daemon that knows nothing"
    );
    let other_era = StorePosition { era: 1, revision: 150 };
    assert_eq!(reader.changes_since(other_era, NOW).entries.len(), 499, "revisions go back");
}

/// Guards against a peer that lacks what its teller knew before its own first list.
#[test]
fn teller_that_started_later_tells_its_whole_list() {
    let mut teller = UpstreamDirectory::default();
    teller.replace(100, vec![(90, entry("a"))], None);
    let mut peer = UpstreamDirectory::default();
    peer.replace(80, vec![(70, entry("a")), (71, entry("gone"))], None);
    peer.merge(teller.changes_since(peer.sync_position(), NOW), NOW);
    assert_eq!(staying(&peer), ["a"]);
}

/// Guards against an upstream that is waited for here and that a peer has seen come back: no change of
/// it would be told.
#[test]
fn upstream_that_is_waited_for_is_asked_about() {
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
    assert_eq!(staying(&peer), ["a", "b"]);
}

/// Guards against requests to a leaving upstream of a list with several pages, whose last change is later
/// than the notice on a page that was read before it: daemons that rely on a reader never asked for it.
#[test]
fn notice_behind_a_later_change_reaches_everybody() {
    let mut fleet = VirtualFleet::new(30);
    let first = |revision, id: &str| (revision, entry(id));
    fleet.published = (1_000, vec![first(900, "early"), first(901, "late")]);
    fleet.run(Duration::from_secs(4));
    // The first page is read at 1,001, before the notice at 1,005; the second one with a change at 1,008.
    fleet.published = (1_001, vec![first(900, "early"), (1_008, leaving("late"))]);
    fleet.run(Duration::from_secs(6));
    fleet.published = (1_020, vec![(1_005, leaving("early")), (1_008, leaving("late"))]);
    fleet.run(Duration::from_secs(8));
    for core in &fleet.cores {
        let list = core.published_upstreams(fleet.now);
        let leaves = list.entries.iter().all(|each| each.entry.leaving);
        assert!(leaves, "{} knows of one notice only", core.dump(fleet.now).instance.vm);
    }
}

/// Guards against the traffic of lists that grows with daemons times upstreams.
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
        published[step as usize] = (revision - 5, leaving(&format!("w{step}")));
        fleet.published = (revision, published);
        fleet.run(Duration::from_millis(6_000 + step * 1_000));
    }
    let told = fleet.fetched_entries - before;
    assert!(told < 100 * 10 * 10, "{told} entries told for 10 changes, 1,000,000 by whole lists");
}

/// Guards against an upstream that was given up here while a peer has seen it come back, unchanged: it would
/// be missing here until it changes.
#[test]
fn upstream_that_was_given_up_comes_back_with_the_next_list() {
    let mut reader = UpstreamDirectory::default();
    let mut peer = UpstreamDirectory::default();
    for list in [&mut reader, &mut peer] {
        list.replace(100, vec![(90, entry("a")), (91, entry("b"))], None);
    }
    let grace = MonotonicTime::from_millis(2_000);
    peer.replace(110, vec![(90, entry("a"))], Some(grace));
    let asked = reader.position();
    reader.replace(120, vec![(90, entry("a")), (115, entry("b"))], None);
    peer.merge(reader.changes_since(asked, NOW), NOW);
    assert_eq!(peer.position(), at(110), "these were asked for before it was missing");
    assert!(peer.remove_expired(grace));
    reader.replace(130, vec![(125, entry("a")), (126, entry("b")), (127, entry("c"))], None);
    peer.merge(reader.changes_since(peer.sync_position(), grace), grace);
    assert_eq!(staying(&peer), ["a", "b", "c"]);
    assert_eq!(peer.sync_position(), at(130), "changes are enough again");
}

/// Guards against fleets in which every daemon reads the platform for itself, because some upstream changes
/// with each reading, and no answer to a heartbeat finds its asker up to date.
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
    // With bounds of 2 s each of six readers reads every half a second.
    assert!(reads <= 300, "{reads} readings in {seconds} s");
}
