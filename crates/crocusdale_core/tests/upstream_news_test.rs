//! News of published upstreams in fleets of any size, in virtual time.

mod support;

use std::time::Duration;

use crocusdale_core::daemon::StalenessBounds;
use crocusdale_core::routing::DirectoryEntry;
use support::virtual_fleet::VirtualFleet;

/// Time from a notice until the upstream must get nothing more, everywhere.
const NOTICE_TIME: Duration = Duration::from_millis(2_000);

fn entry(leaving: bool) -> DirectoryEntry {
    DirectoryEntry {
        started_at_ms: None,
        id: "u1".to_owned(),
        pool: "work".to_owned(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: 8,
        leaving,
    }
}

/// A fleet that has settled, with one published upstream.
fn settled_fleet(size: usize) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(size);
    fleet.published = (1, vec![(1, entry(false))]);
    fleet.run(Duration::from_secs(10));
    fleet.reads = 0;
    fleet
}

// Every daemon of a large fleet reads the whole list of upstreams every second, because it has not
// read it of late, although its peers have: the reads grow with the fleet, and each costs as much as
// the list is long.
#[test]
fn reads_do_not_grow_with_the_fleet() {
    for (size, most_a_second) in [(6, 6), (83, 14), (250, 38)] {
        let mut fleet = settled_fleet(size);
        fleet.run(Duration::from_secs(20));
        assert!(fleet.reads <= most_a_second * 10, "{} reads in 10 s of {size}", fleet.reads);
    }
}

// Each call of the platform is paid for. A fleet of 195 in five zones made 40 a second: 15 readers of
// the list at two a second, and ten watchers of the configuration at one. With one reading for both,
// and pauses as long as the bounds of such a fleet allow, a third is enough.
#[test]
fn large_fleet_makes_a_third_of_the_calls() {
    let bound = Duration::from_secs(4);
    let bounds = StalenessBounds {
        notice: bound,
        configuration: bound,
        evacuation: bound,
        recovery_time: bound,
    };
    let mut fleet = VirtualFleet::in_zones(195, 5, bounds);
    fleet.published = (1, vec![(1, entry(false))]);
    fleet.run(Duration::from_secs(10));
    (fleet.reads, fleet.watches) = (0, 0);
    fleet.run(Duration::from_secs(30));
    let calls = fleet.reads + fleet.watches;
    assert!(calls * 3 <= 20 * 40, "{} readings and {} watches in 20 s", fleet.reads, fleet.watches);
    fleet.published = (2, vec![(2, entry(true))]);
    fleet.run(Duration::from_secs(30) + bound);
    assert_eq!(fleet.informed_daemons(), 195);
}

// An upstream gives notice. Most daemons don't read the list themselves; all must know in time.
#[test]
fn notice_reaches_all_in_time() {
    for size in [6, 83, 250] {
        let mut fleet = settled_fleet(size);
        fleet.published = (2, vec![(2, entry(true))]);
        fleet.run(Duration::from_secs(10) + NOTICE_TIME);
        assert_eq!(fleet.informed_daemons(), size);
    }
}

// A daemon is cut off from all others and still reaches the platform. Nobody tells it that the
// readers have read, so it must read itself before a notice is two seconds old.
#[test]
fn daemon_without_peers_reads_itself() {
    for wait_ms in [0, 300, 600, 900, 1_200] {
        let mut fleet = settled_fleet(40);
        fleet.partitioned.extend([17]);
        fleet.run(Duration::from_millis(10_000 + wait_ms));
        fleet.published = (2, vec![(2, entry(true))]);
        fleet.run(Duration::from_millis(10_000 + wait_ms) + NOTICE_TIME);
        assert_eq!(fleet.informed_daemons(), 40, "cut off {wait_ms} ms before the notice");
    }
}

// The platform turns half of the fleet away, readers among them. Whoever still reads tells the
// others, and those who hear of no reading read themselves.
#[test]
fn readers_that_are_turned_away_are_passed_by() {
    let mut fleet = settled_fleet(40);
    fleet.failing_readers.extend((0..40).step_by(2));
    fleet.run(Duration::from_secs(13));
    fleet.published = (2, vec![(2, entry(true))]);
    fleet.run(Duration::from_secs(13) + NOTICE_TIME);
    assert_eq!(fleet.informed_daemons(), 40);
}

// The platform is away for everybody, and all daemons ask it again and again until it is back. That
// must stay far below what it allows, 2,000 calls a second of all callers together.
#[test]
fn outage_makes_no_rush() {
    let mut fleet = settled_fleet(250);
    fleet.failing_readers.extend(0..250);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.reads <= 10 * 400, "{} reads in 10 s", fleet.reads);
}
