//! Crashed upstreams and failed links, by what two daemons see of them.

use crocusdale_core::reachability::{ProbeConnection, ProbeEvidence};

/// Evidence of a daemon whose connection to the upstream is refused and that connects to `open` of
/// `tests` others of the pool, and to others elsewhere if `has_open_link`.
fn refused(open: usize, tests: usize, has_open_link: bool) -> ProbeEvidence {
    ProbeEvidence {
        connection: ProbeConnection::Refused,
        pool_tests: tests,
        pool_open: open,
        has_open_link,
    }
}

fn opened() -> ProbeEvidence {
    ProbeEvidence { connection: ProbeConnection::Open, ..ProbeEvidence::default() }
}

/// Guards against lost links of one daemon that count as crashes of the upstreams behind them.
#[test]
fn refused_connection_of_one_daemon_is_no_crash() {
    for own in [refused(0, 4, false), refused(1, 4, true), refused(0, 0, true)] {
        assert_eq!(own.verdict(), None, "another daemon has to be asked");
        assert!(!own.verdict_with(Some(&opened())));
    }
    assert!(!opened().verdict_with(Some(&refused(4, 4, true))));
    assert!(!ProbeEvidence::default().verdict_with(None), "a timeout proves nothing");
}

/// Guards against a fleet that is cut off from all upstreams and takes all of them for crashed.
#[test]
fn refusals_of_two_daemons_without_links_are_no_crash() {
    let cut_off = refused(0, 4, false);
    assert!(!cut_off.verdict_with(Some(&cut_off)));
    assert!(!cut_off.verdict_with(None));
}

/// Guards against a request that crashes all upstreams of a small pool one after the other, and is
/// never stopped because that looks like a lost link.
#[test]
fn upstreams_of_a_small_pool_that_crash_together_are_crashes() {
    assert!(refused(3, 4, true).verdict_with(None), "most others are open");
    assert!(refused(1, 2, true).verdict_with(Some(&refused(1, 2, true))));
    assert!(refused(0, 0, true).verdict_with(Some(&refused(0, 0, true))), "the only upstream");
    assert!(refused(0, 0, true).verdict_with(None), "the only daemon");
}
