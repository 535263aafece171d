//! Failed upstreams and failed links of the own VM are told apart.

use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::reachability::{LinkChange, LinkMonitor};

const POOL: &str = "notify";

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Guards against a lost link that is taken for failed upstreams.
#[test]
fn pool_is_unreachable_after_three_upstreams_in_a_row() {
    let mut links = LinkMonitor::default();
    assert_eq!(links.record(POOL, "n1", false, 9, at(0)), None);
    assert_eq!(links.record(POOL, "n1", false, 9, at(1)), None, "the same upstream");
    assert_eq!(links.record(POOL, "n2", false, 9, at(2)), None);
    assert!(links.is_undecided(POOL) && !links.is_unreachable(POOL));
    assert_eq!(links.record(POOL, "n3", false, 9, at(3)), Some(LinkChange::Lost(3)));
    assert_eq!(links.record(POOL, "n4", false, 9, at(4)), None, "reported once");
    assert_eq!(links.unreachable_pools(), [POOL]);
    let restored = links.record(POOL, "n2", true, 9, at(503));
    assert_eq!(restored, Some(LinkChange::Restored(Duration::from_millis(500))));
    assert!(links.is_empty());
}

/// Guards against failed upstreams that are taken for a lost link: another one of the pool answers.
#[test]
fn pool_with_one_open_connection_stays_reachable() {
    let mut links = LinkMonitor::default();
    for round in 0..20 {
        for upstream in ["n1", "n2"] {
            assert_eq!(links.record(POOL, upstream, false, 9, at(round)), None);
        }
        assert_eq!(links.record(POOL, "n3", true, 9, at(round)), None);
        assert!(!links.is_undecided(POOL));
    }
}

/// Guards against single failures, far apart, that add up to a lost link.
#[test]
fn old_failures_do_not_count() {
    let mut links = LinkMonitor::default();
    for (index, upstream) in ["n1", "n2", "n3", "n4"].into_iter().enumerate() {
        assert_eq!(links.record(POOL, upstream, false, 9, at(index as u64 * 2_000)), None);
    }
}

/// Guards against a small pool that never counts as unreachable, as it has fewer than three
/// upstreams.
#[test]
fn all_upstreams_of_a_small_pool_must_fail() {
    let mut links = LinkMonitor::default();
    assert_eq!(links.record(POOL, "n1", false, 2, at(0)), None);
    assert_eq!(links.record(POOL, "n2", false, 2, at(1)), Some(LinkChange::Lost(2)));
    assert_eq!(links.record("reader", "r1", false, 1, at(2)), Some(LinkChange::Lost(1)));
}
