//! For how long callers are sent to daemons that have ended.

mod support;

use std::time::Duration;

use support::virtual_fleet::VirtualFleet;

/// Time after the end of a daemon at which its address must not be named any more, beside a running one:
/// the shortest time after which daemons are counted on, and three seconds.
const NAMED_FOR: Duration = Duration::from_millis(7_000);

/// Guards against callers that are sent to daemons which are gone for good, in fleets of all sizes.
#[test]
fn dead_daemons_are_not_named_for_long() {
    for (size, dead) in [(6, 2), (74, 25), (74, 40), (195, 60)] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_secs(6));
        fleet.partitioned = (0..dead).collect();
        fleet.run(Duration::from_secs(6) + NAMED_FOR);
        let named =
            |core: &crocusdale_core::DaemonCore| core.addresses("caller", Some("z1")).addresses;
        let addresses: Vec<_> = (0..size)
            .map(|index| {
                std::net::SocketAddr::from(([10, 0, (index / 256) as u8, index as u8], 7_000))
            })
            .collect();
        for core in &fleet.cores[dead..] {
            let answer = named(core);
            assert!(!answer.is_empty());
            let wrong = answer.iter().filter(|address| addresses[..dead].contains(address)).count();
            assert_eq!(wrong, 0, "{dead} of {size} ended, {}", core.dump(fleet.now).instance.vm);
        }
    }
}
