//! Large fleets whose processes all start at one moment, in virtual time.

mod support;

use std::time::Duration;

use support::virtual_fleet::{FIRST_INCARNATION, START_SPREAD_MS, VirtualFleet};

// All processes of a large fleet are killed and start again within 0.3 s. Each is ready at once and
// knows a few others; until it knows all, it sends its pieces to other dispatchers than they do, a
// pool is called from many sides, and users are refused. Two seconds later all know all.
#[test]
fn fleet_that_starts_again_knows_all_its_members_soon() {
    for size in [6, 83, 100, 250] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_millis(2_000));
        assert_eq!(fleet.min_known_members(), size, "of {size}");
    }
}

// The same, as callers see it: each daemon is asked to serve within a second of its start, though
// there are more peers than it could ask one by one in that time.
#[test]
fn fleet_that_starts_again_is_ready_soon() {
    for size in [6, 100, 250] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_millis(START_SPREAD_MS + 700));
        let ready = fleet.cores.iter().filter(|core| core.is_ready()).count();
        assert_eq!(ready, size);
    }
}

// One process of a large fleet is replaced. It hears of all others from the first answer and can't
// ask each of them before it serves; callers that know only this daemon wait meanwhile.
#[test]
fn daemon_of_a_large_fleet_is_ready_soon() {
    let mut fleet = VirtualFleet::new(100);
    fleet.run(Duration::from_secs(10));
    fleet.restart(50);
    fleet.run(Duration::from_millis(10_400));
    assert!(fleet.cores[50].is_ready());
    fleet.run(Duration::from_millis(11_500));
    assert_eq!(fleet.min_known_members(), 100);
}

// The time of day of a VM jumps back, and its process is killed and starts again. The new process
// numbers its life by that time, below the one before. Its peers take what it says for old news of a
// dead process and leave it out of addresses and dispatching for half a minute.
#[test]
fn process_that_starts_with_an_earlier_time_of_day_is_taken_back() {
    for size in [6, 83] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_secs(10));
        fleet.restart_as(3, FIRST_INCARNATION - 400);
        fleet.run(Duration::from_secs(13));
        assert_eq!(fleet.min_known_members(), size);
        let lives = fleet.known_incarnations(3);
        assert!(lives.iter().all(|life| *life == FIRST_INCARNATION - 400), "{lives:?}");
    }
}

// What the start costs must not go on: in a fleet that has settled, a daemon tells and hears no
// more than a dozen records a heartbeat.
#[test]
fn settled_fleet_tells_little() {
    let mut fleet = VirtualFleet::new(100);
    fleet.run(Duration::from_secs(30));
    let before = fleet.records;
    fleet.run(Duration::from_secs(40));
    // Two heartbeats a second, each with a question and an answer of a dozen records at most.
    assert!(fleet.records - before <= 100 * 10 * 2 * 2 * 12, "{}", fleet.records - before);
}

/// Guards against a platform whose list of thousands of upstreams is read by every process of a fleet that
/// starts at one moment.
#[test]
fn fleet_that_starts_again_reads_the_list_a_few_times() {
    let mut fleet = VirtualFleet::new(100);
    fleet.run(Duration::from_millis(START_SPREAD_MS + 1_000));
    assert!(fleet.cores.iter().all(crocusdale_core::DaemonCore::is_ready));
    assert!(fleet.reads <= 40, "{} readings by 100 daemons", fleet.reads);
}
