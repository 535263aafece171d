//! Failed upstreams and failed links of the own VM are told apart.

use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::membership::PoolReach;
use crocusdale_core::reachability::{LinkChange, LinkMonitor, LinkPath, LinkResult};

const POOL: &str = "notify";
/// Number of upstreams in the pool.
const SIZE: usize = 9;
/// Number of upstreams in a large pool.
const LARGE_SIZE: usize = 24;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Records results of connections to `n1`, `n2` and so on, `true` for an opened one. Returns the
/// last change.
fn record(links: &mut LinkMonitor, results: &[bool], millis: u64) -> Option<LinkChange> {
    let mut last_change = None;
    for (index, is_open) in results.iter().enumerate() {
        let result = if *is_open { LinkResult::Open } else { LinkResult::Failed };
        let change = links.record(POOL, &format!("n{}", index + 1), result, SIZE, at(millis));
        last_change = change.or(last_change);
    }
    last_change
}

/// Guards against a lost link that is taken for failed upstreams.
#[test]
fn pool_is_impaired_if_most_links_fail() {
    let mut links = LinkMonitor::default();
    assert_eq!(record(&mut links, &[false; 4], 0), None, "too few to tell");
    assert_eq!(links.path(POOL, "n1", at(1)), LinkPath::Transit);
    assert_eq!(links.path(POOL, "n9", at(1)), LinkPath::Direct, "not known to have failed");
    let change = record(&mut links, &[false; 5], 1);
    assert_eq!(change, Some(LinkChange::Impaired(PoolReach::None)));
    assert_eq!(links.path(POOL, "n9", at(2)), LinkPath::Transit, "most links have failed");
    let change = record(&mut links, &[false, false, true], 2);
    assert_eq!(change, Some(LinkChange::Impaired(PoolReach::Partial)));
    assert_eq!(links.path(POOL, "n3", at(3)), LinkPath::Direct, "its link works");
}

/// Guards against failed upstreams that are taken for a lost link: most others can be connected to.
#[test]
fn pool_with_few_failed_upstreams_is_not_impaired() {
    let mut links = LinkMonitor::default();
    for millis in 0..20 {
        assert_eq!(record(&mut links, &[false, false, true, true, true], millis), None);
    }
    assert!(!links.is_impaired(POOL));
    assert_eq!(record(&mut links, &[true, true], 20), None);
    assert!(links.is_empty());
}

/// Guards against single failures, far apart, that add up to a lost link.
#[test]
fn old_failures_do_not_count() {
    let mut links = LinkMonitor::default();
    for index in 0..9 {
        let (upstream, now) = (format!("n{index}"), at(index * 2_000));
        assert_eq!(links.record(POOL, &upstream, LinkResult::Failed, SIZE, now), None);
    }
}

/// Guards against a small pool that never counts as impaired, as it has too few upstreams.
#[test]
fn links_of_a_small_pool_are_all_counted() {
    let mut links = LinkMonitor::default();
    let change = |links: &mut LinkMonitor, upstream| {
        links.record(POOL, upstream, LinkResult::Failed, 2, at(0))
    };
    assert_eq!(change(&mut links, "n1"), None);
    assert_eq!(change(&mut links, "n2"), Some(LinkChange::Impaired(PoolReach::None)));
    let single = links.record("reader", "r1", LinkResult::Failed, 1, at(0));
    assert_eq!(single, Some(LinkChange::Impaired(PoolReach::None)));
}

/// Guards against a pool that counts as sound again because of the only upstream that can be
/// reached, and against one that never does.
#[test]
fn pool_is_restored_by_a_whole_round_of_tests() {
    let mut links = LinkMonitor::default();
    record(&mut links, &[false; 5], 0);
    for millis in 0..9 {
        assert_eq!(
            links.record(POOL, "n6", LinkResult::Open, SIZE, at(millis)),
            (millis == 0).then_some(LinkChange::Impaired(PoolReach::Partial)),
        );
    }
    let test = |links: &mut LinkMonitor, results: [LinkResult; 4], millis| {
        assert_eq!(links.start_round(POOL, 4, at(millis)), None);
        let mut last_change = None;
        for (index, result) in results.into_iter().enumerate() {
            let upstream = format!("n{}", index + 1);
            last_change = links.record_test(POOL, &upstream, result, SIZE, at(millis));
        }
        last_change
    };
    let (open, failed) = (LinkResult::Open, LinkResult::Failed);
    assert_eq!(test(&mut links, [open, failed, open, failed], 500), None);
    let restored = test(&mut links, [open, open, failed, open], 1_000);
    assert_eq!(restored, Some(LinkChange::Restored(Duration::from_millis(1_000))));
    assert!(links.is_empty());
}

/// Records the results of a round of tests of the links to `upstreams`. Returns the last change.
fn test_round(
    links: &mut LinkMonitor,
    upstreams: std::ops::RangeInclusive<usize>,
    result: LinkResult,
    millis: u64,
) -> Option<LinkChange> {
    let mut last_change = links.start_round(POOL, upstreams.clone().count(), at(millis));
    for index in upstreams {
        let upstream = format!("n{index}");
        let change = links.record_test(POOL, &upstream, result, LARGE_SIZE, at(millis));
        last_change = change.or(last_change);
    }
    last_change
}

/// Guards against crashed upstreams, a fifth of the pool, that are taken for a lost link because
/// the attempts that they broke fail at the same moment.
#[test]
fn crashed_upstreams_do_not_impair_a_large_pool() {
    let mut links = LinkMonitor::default();
    assert_eq!(record(&mut links, &[false], 0), None);
    assert_eq!(links.start_round(POOL, 4, at(0)), None);
    assert_eq!(record(&mut links, &[false; 5], 1), None, "the tests have not ended");
    for (upstream, result) in [
        ("n5", LinkResult::Failed),
        ("n9", LinkResult::Open),
        ("n14", LinkResult::Open),
        ("n21", LinkResult::Open),
    ] {
        assert_eq!(links.record_test(POOL, upstream, result, LARGE_SIZE, at(2)), None);
    }
    assert_eq!(record(&mut links, &[false; 5], 3), None, "most tested links work");
    assert!(!links.is_impaired(POOL));
}

/// Guards against rounds of tests that consist of crashed upstreams alone, and make their pool
/// count as impaired once the other results are too old.
#[test]
fn round_of_a_pool_that_is_not_impaired_leaves_no_link_out() {
    let mut links = LinkMonitor::default();
    record(&mut links, &[false, true, true], 0);
    assert!(links.untested_upstreams(POOL).is_empty());
    record(&mut links, &[false, false, true, false, false], 1);
    assert!(links.is_impaired(POOL));
    assert_eq!(links.untested_upstreams(POOL), ["n3".to_owned()].into());
}

/// Guards against a pool that stays impaired until its last failed upstreams are back: links that
/// work are not tested again, so that the rounds consist of the failed ones.
#[test]
fn pool_is_restored_if_few_known_links_have_failed() {
    let mut links = LinkMonitor::default();
    record(&mut links, &[false; 5], 0);
    assert!(links.is_impaired(POOL));
    let open = LinkResult::Open;
    assert_eq!(
        test_round(&mut links, 1..=4, LinkResult::Failed, 500),
        None,
        "no tested link works"
    );
    for index in 6..=19 {
        links.record(POOL, &format!("n{index}"), open, LARGE_SIZE, at(501));
        assert!(links.is_impaired(POOL), "5 of {index} links have failed");
    }
    let restored = links.record(POOL, "n20", open, LARGE_SIZE, at(502));
    assert_eq!(restored, Some(LinkChange::Restored(Duration::from_millis(502))));
    assert_eq!(record(&mut links, &[false; 5], 503), None, "most known links work");
}

/// Guards against a pool that stays impaired although all its links work, or all its upstreams are
/// gone: there is nothing left to test.
#[test]
fn pool_without_links_to_test_is_restored() {
    let mut links = LinkMonitor::default();
    record(&mut links, &[false; 5], 0);
    assert_eq!(links.start_round(POOL, 3, at(500)), None);
    let gone: Vec<String> = links.upstreams();
    links.remove(&gone);
    let restored = links.start_round(POOL, 0, at(1_000));
    assert_eq!(restored, Some(LinkChange::Restored(Duration::from_millis(1_000))));
    assert!(links.is_empty());
}

/// Guards against requests to a failed upstream that are passed on through daemon after daemon.
#[test]
fn upstream_that_no_daemon_reaches_gets_no_relayed_requests() {
    let mut links = LinkMonitor::default();
    record(&mut links, &[false], 0);
    assert_eq!(links.path(POOL, "n1", at(0)), LinkPath::Transit);
    links.record_down(POOL, "n1", at(0));
    assert_eq!(links.path(POOL, "n1", at(999)), LinkPath::Direct);
    assert_eq!(links.path(POOL, "n1", at(1_000)), LinkPath::Transit, "it may be back");
}
