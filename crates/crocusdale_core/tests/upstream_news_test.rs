//! Propagation of changes of published upstreams in fleets of any size, in virtual time.

mod support;

use std::time::Duration;

use crocusdale_core::daemon::StalenessBounds;
use crocusdale_core::routing::DirectoryEntry;
use support::virtual_fleet::VirtualFleet;

/// Bound on the time from a leaving notice until no daemon may send requests to the upstream.
const NOTICE_BOUND: Duration = Duration::from_millis(2_000);

fn entry(leaving: bool) -> DirectoryEntry {
    DirectoryEntry {
        started_at_ms: None,
        id: "u1".to_owned(),
        pool: "work".to_owned(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: "z0".to_owned(),
        slots: 8,
        leaving,
        software_version: None,
    }
}

/// A fleet with one published upstream, 10 s after its start, when all daemons know the upstream.
fn settled_fleet(size: usize) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(size);
    fleet.published = (1, vec![(1, entry(false))]);
    fleet.run(Duration::from_secs(10));
    fleet.reads = 0;
    fleet
}

/// Guards against reads of the platform that grow with the fleet, each of which costs as much as
/// the list is long. A daemon must not read the list every second if its peers have read it.
#[test]
fn reads_do_not_grow_with_the_fleet() {
    for (size, max_reads_per_s) in [(6, 6), (83, 14), (250, 38)] {
        let mut fleet = settled_fleet(size);
        fleet.run(Duration::from_secs(20));
        assert!(
            fleet.reads <= max_reads_per_s * 10,
            "{} reads in 10 s by {size} daemons",
            fleet.reads
        );
    }
}

/// Guards against needless calls of the platform, each of which is paid for. A fleet of 195 in five
/// zones made 40 a second: 15 readers of the list at two a second, and ten watchers of the
/// configuration at one. With one read for both, and pauses as long as the bounds of such a fleet
/// allow, a third is enough.
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
    assert!(calls * 3 <= 20 * 40, "{} reads and {} watches in 20 s", fleet.reads, fleet.watches);
    fleet.published = (2, vec![(2, entry(true))]);
    fleet.run(Duration::from_secs(30) + bound);
    assert_eq!(fleet.informed_daemons(), 195, "all daemons must know of the notice");
}

/// Guards against daemons that learn of a leaving notice too late. Most daemons don't read the list
/// themselves.
#[test]
fn notice_reaches_all_daemons_within_the_bound() {
    for size in [6, 83, 250] {
        let mut fleet = settled_fleet(size);
        fleet.published = (2, vec![(2, entry(true))]);
        fleet.run(Duration::from_secs(10) + NOTICE_BOUND);
        assert_eq!(fleet.informed_daemons(), size, "all {size} daemons must know of the notice");
    }
}

/// Guards against a partitioned daemon that misses a notice. It still reaches the platform but no
/// peer, so it learns of no reads of others, and must read the list itself before a notice is two
/// seconds old.
#[test]
fn daemon_without_peers_reads_the_list_itself() {
    for partition_ms in [0, 300, 600, 900, 1_200] {
        let mut fleet = settled_fleet(40);
        fleet.partitioned.extend([17]);
        fleet.run(Duration::from_millis(10_000 + partition_ms));
        fleet.published = (2, vec![(2, entry(true))]);
        fleet.run(Duration::from_millis(10_000 + partition_ms) + NOTICE_BOUND);
        assert_eq!(fleet.informed_daemons(), 40, "partitioned {partition_ms} ms before the notice");
    }
}

/// Guards against notices that are lost while the platform refuses half of the fleet, readers among
/// them. Daemons that can still read inform the others, and those that learn of no read try the
/// platform themselves.
#[test]
fn notice_reaches_all_daemons_if_some_readers_are_refused() {
    let mut fleet = settled_fleet(40);
    fleet.failing_readers.extend((0..40).step_by(2));
    fleet.run(Duration::from_secs(13));
    fleet.published = (2, vec![(2, entry(true))]);
    fleet.run(Duration::from_secs(13) + NOTICE_BOUND);
    assert_eq!(fleet.informed_daemons(), 40, "all daemons must know of the notice");
}

/// Guards against a retry storm in an outage of the platform. The calls of all daemons must stay
/// far below the limit of the platform, 2,000 calls a second of all callers together.
#[test]
fn outage_causes_no_retry_storm() {
    let mut fleet = settled_fleet(250);
    fleet.failing_readers.extend(0..250);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.reads <= 10 * 400, "{} reads in 10 s", fleet.reads);
}
