//! Daemons that lose their links to all upstreams, while callers, the platform and other daemons
//! still reach them.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/cut_fleet.rs"]
mod cut_fleet;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/forward_daemon.rs"]
mod forward_daemon;
mod support;

use std::collections::HashSet;
use std::time::Duration;

use crocusdale_core::pipeline::OutcomeKind;
use cut_fleet::CutFleet;

/// Time from the start of a cut after which callers must be served again.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Duration of the time in which callers are counted.
const COUNTED_TIME: Duration = Duration::from_secs(5);
/// Requests of all kinds: repeatable, at most once, and a stream with batched pieces.
const PATHS: [&str; 3] = ["/ask/7", "/shred/7", "/digest/7"];

/// Cuts off the daemons in `cut`, and counts the first tries of callers from the notice time on.
/// Returns the share served at them and at the others.
fn serve_in_cut(fleet: &mut CutFleet, cut: &[usize]) -> (f64, f64) {
    fleet.serve(&PATHS, Duration::from_secs(2));
    fleet.fleet.cut_off = cut.iter().copied().collect();
    fleet.serve(&PATHS, NOTICE_TIME);
    let since = fleet.fleet.now;
    fleet.serve(&PATHS, COUNTED_TIME);
    fleet.run(Duration::from_secs(3));
    let cut: HashSet<usize> = cut.iter().copied().collect();
    let at_cut = fleet.served(|index| cut.contains(&index), since);
    let at_others = fleet.served(|index| !cut.contains(&index), since);
    println!("served: {at_cut:?} at the daemons cut off, {at_others:?} at the others");
    (at_cut.share(), at_others.share())
}

/// Guards against daemons that lose their links to all upstreams and fail their callers, although
/// other daemons reach the upstreams.
#[test]
fn callers_of_cut_off_daemons_are_served() {
    for cut in [vec![1, 2, 4], vec![0, 5], vec![0, 1, 2, 3, 4]] {
        let mut fleet = CutFleet::start(6);
        let (at_cut, at_others) = serve_in_cut(&mut fleet, &cut);
        assert!(at_cut >= 2.0 / 3.0 * at_others, "{at_cut} and {at_others}");
        assert!(at_cut >= 49.0 / 50.0, "{at_cut}");
    }
}

/// Guards against a dispatcher that can't call any upstream and keeps the pieces of all daemons.
#[test]
fn dispatcher_that_is_cut_off_is_replaced() {
    for cut in 0..6 {
        let mut fleet = CutFleet::start(6);
        let (_, at_others) = serve_in_cut(&mut fleet, &[cut]);
        assert!(at_others >= 49.0 / 50.0, "{at_others} with daemon {cut} cut off");
    }
}

/// Guards against refused connections of one daemon that count as crashed upstreams: the requests
/// on them would be quarantined in the whole fleet.
#[test]
fn lost_links_quarantine_no_request() {
    let mut fleet = CutFleet::start(6);
    fleet.serve(&["/ask/7"], Duration::from_secs(3));
    fleet.kept.extend((0..4).map(|upstream| (1, format!("notify-{upstream}"))));
    fleet.fleet.cut_off = HashSet::from([1]);
    for _ in 0..6 {
        fleet.submit(1, "/ask/9");
        fleet.run(Duration::from_millis(500));
    }
    for core in &fleet.fleet.cores {
        assert_eq!(core.dump(fleet.fleet.now).quarantined, []);
    }
}

/// Guards against ejections, waits and other effects of a cut that outlast it.
#[test]
fn callers_are_served_soon_after_the_cut() {
    let mut fleet = CutFleet::start(6);
    serve_in_cut(&mut fleet, &[1, 2, 4]);
    fleet.fleet.cut_off.clear();
    fleet.serve(&PATHS, Duration::from_secs(1));
    let since = fleet.fleet.now;
    fleet.serve(&PATHS, Duration::from_secs(2));
    fleet.run(Duration::from_secs(3));
    let served = fleet.served(|_| true, since);
    assert_eq!(served.served, served.total, "{served:?}");
}

/// Guards against requests that wait for their deadline while no daemon reaches any upstream.
#[test]
fn fleet_without_upstreams_refuses_at_once() {
    let mut fleet = CutFleet::start(6);
    fleet.serve(&PATHS, Duration::from_secs(2));
    fleet.fleet.cut_off = (0..6).collect();
    fleet.serve(&PATHS, NOTICE_TIME);
    for index in 0..6 {
        for path in PATHS {
            let call = fleet.submit(index, path);
            fleet.run(Duration::from_millis(100));
            let answer = fleet.answer(index, call).expect("an answer within 100 ms");
            assert_eq!(answer.kind, OutcomeKind::Refused, "{path}");
            assert!(answer.retry_after.is_some_and(|after| !after.is_zero()), "{path}");
        }
    }
}
