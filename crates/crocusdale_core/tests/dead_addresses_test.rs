//! Time until the address list that callers receive omits daemons that have ended.

mod support;

use std::time::Duration;

use support::virtual_fleet::VirtualFleet;

/// Bound on the time for which an ended daemon's address may stay in the list beside a running one:
/// the shortest time after which users count on a daemon, plus three seconds.
const ADDRESS_REMOVAL_BOUND: Duration = Duration::from_millis(7_000);

/// Guards against callers that connect to daemons which have ended for good, in fleets of all
/// sizes.
#[test]
fn addresses_of_dead_daemons_are_removed_within_the_bound() {
    for (size, dead) in [(6, 2), (74, 25), (74, 40), (195, 60)] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_secs(6));
        fleet.partitioned = (0..dead).collect();
        fleet.run(Duration::from_secs(6) + ADDRESS_REMOVAL_BOUND);
        let listed_addresses =
            |core: &crocusdale_core::DaemonCore| core.addresses("caller", Some("z1")).addresses;
        let addresses: Vec<_> = (0..size)
            .map(|index| {
                std::net::SocketAddr::from(([10, 0, (index / 256) as u8, index as u8], 7_000))
            })
            .collect();
        for core in &fleet.cores[dead..] {
            let answer = listed_addresses(core);
            assert!(!answer.is_empty());
            let dead_count =
                answer.iter().filter(|address| addresses[..dead].contains(address)).count();
            assert_eq!(
                dead_count,
                0,
                "expected no address of the {dead} ended daemons of {size} at {}",
                core.dump(fleet.now).instance.vm
            );
        }
    }
}
