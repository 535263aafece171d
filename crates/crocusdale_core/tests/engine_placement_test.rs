//! Choice of engines by the placement coordinator of a pool, in virtual time.

#[path = "support/engine_fleet.rs"]
mod engine_fleet;

use std::collections::HashSet;
use std::time::Duration;

use crocusdale_core::configuration::AllowedRegions;
use crocusdale_core::identity::SoftwareVersion;
use crocusdale_core::placement::{
    EngineInfo, EnginePlacer, PlacementOutcome, PlacementReport, PlacementRequest, section_name,
};
use crocusdale_core::streams::AllowedVersion;
use nix::time::{ClockId, clock_gettime};

use engine_fleet::{EngineFleet, RULES, at, info, request};

/// Largest accepted number of requests of a slow engine for each request of a fast one.
const MAX_SLOW_SHARE: f64 = 0.6;

fn placer(engines: usize) -> EnginePlacer {
    let mut placer = EnginePlacer::new(RULES);
    placer.set_engines(RULES, (0..engines).map(info));
    placer
}

fn report(request: &PlacementRequest, outcome: PlacementOutcome) -> PlacementReport {
    PlacementReport {
        attempt: request.attempt,
        outcome,
        first_event: None,
        stream_time: Duration::ZERO,
        events: 0,
        upstream: String::new(),
    }
}

/// Guards against slow engines that get as many requests as fast ones, because no daemon sends
/// enough requests to an engine to learn its speed. The load is that of 75 daemons with 140 engines
/// of 16 slots, of which a third is 2.4 times slower and each is slow for moments; at 1,500 requests
/// a second the slow engines are needed too.
#[test]
fn slow_engines_get_fewer_requests() {
    for rate in [400.0, 1_500.0] {
        let mut fleet = EngineFleet::new(140, 1, 7);
        fleet.run(rate, 10.0);
        fleet.reset_measurements();
        fleet.run(rate, 20.0);
        let share = fleet.slow_share();
        assert!(share <= MAX_SLOW_SHARE, "share {share} of the slow engines at rate {rate}");
        let p90 = fleet.first_event_quantile(0.9);
        assert!(p90 < 600.0, "nine of ten first events came within {p90} ms at rate {rate}");
    }
}

/// Guards against a partitioned fleet whose two coordinators, each with half of the requests, fill
/// the same engines.
#[test]
fn two_coordinators_of_a_partitioned_fleet_avoid_slow_engines() {
    let mut fleet = EngineFleet::new(140, 2, 8);
    fleet.run(1_000.0, 10.0);
    fleet.reset_measurements();
    fleet.run(1_000.0, 20.0);
    assert!(fleet.slow_share() <= MAX_SLOW_SHARE, "share {}", fleet.slow_share());
    let p90 = fleet.first_event_quantile(0.9);
    assert!(p90 < 600.0, "nine of ten first events came within {p90} ms");
}

/// Guards against a coordinator that is lost in the middle of a run: the next one starts empty.
#[test]
fn new_coordinator_learns_the_speeds_within_seconds() {
    let mut fleet = EngineFleet::new(140, 1, 9);
    fleet.run(1_000.0, 10.0);
    fleet.placers = vec![placer(140)];
    fleet.run(1_000.0, 3.0);
    fleet.reset_measurements();
    fleet.run(1_000.0, 10.0);
    assert!(fleet.slow_share() <= MAX_SLOW_SHARE, "share {}", fleet.slow_share());
}

/// A placer with open requests, whose processor time for further ones is measured.
struct MeasuredPlacer {
    placer: EnginePlacer,
    open: u64,
    next_call: u64,
    /// Shortest time for [`Self::REQUESTS`] requests.
    shortest: Duration,
}

impl MeasuredPlacer {
    const REQUESTS: u64 = 20;

    fn new(engines: usize, open: u64) -> Self {
        let mut placer = placer(engines);
        for call in 0..open {
            placer.place(&request(call, call % 500, at(0.0)), at(0.0));
        }
        Self { placer, open, next_call: open, shortest: Duration::MAX }
    }

    fn measure(&mut self) {
        let started = thread_time();
        for session in 0..Self::REQUESTS {
            let request = request(self.next_call, session, at(1.0));
            self.next_call += 1;
            self.placer.place(&request, at(1.0));
            self.placer.report(&report(&request, PlacementOutcome::Cancelled), at(1.0));
        }
        self.shortest = self.shortest.min(thread_time() - started);
        assert_eq!(self.placer.open_count() as u64, self.open, "ended requests leave no state");
    }
}

/// Processor time of this thread so far. Unlike wall time it does not count other processes.
fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock of the thread").into()
}

/// Guards against a coordinator whose work for a request grows with the daemons, whose requests are
/// open at the same time, or more than in proportion to the engines; and against state that grows
/// with requests that have ended. The load is that of 500, 1,000 and 4,000 daemons with 2 requests
/// each.
///
/// All placers are measured in turn, so that a change of the machine's speed affects each.
#[test]
fn work_and_state_grow_with_engines_and_open_requests_only() {
    const ROUNDS: u64 = 200;
    let sizes = [(128, 1_000), (128, 2_000), (128, 8_000), (256, 1_000)];
    let mut placers = sizes.map(|(engines, open)| MeasuredPlacer::new(engines, open));
    for _ in 0..ROUNDS {
        placers.iter_mut().for_each(MeasuredPlacer::measure);
    }
    let [base, twice_the_daemons, many_daemons, twice_the_engines] =
        placers.map(|placer| placer.shortest.as_secs_f64());
    assert!(twice_the_daemons < base * 1.5, "{twice_the_daemons} s against {base} s");
    assert!(many_daemons < base * 1.5, "{many_daemons} s against {base} s");
    assert!(twice_the_engines < base * 3.0, "{twice_the_engines} s against {base} s");
}

/// Guards against a choice that walks over the engines of a whole large pool.
#[test]
fn large_pools_are_divided_into_sections_by_session() {
    assert_eq!(section_name("reader", 256, 77), "reader");
    let sections: HashSet<String> =
        (0..500).map(|hash| section_name("reader", 700, hash)).collect();
    assert_eq!(sections.len(), 4);
    assert_eq!(section_name("reader", 700, 78), section_name("reader", 1_000, 78));
}

/// Guards against state about requests whose reports were lost.
#[test]
fn unreported_request_counts_until_its_deadline() {
    let mut placer = placer(2);
    placer.place(&request(1, 1, at(0.0)), at(0.0));
    assert_eq!(placer.expire(at(5_999.0)), 0);
    assert_eq!((placer.expire(at(6_000.0)), placer.open_count()), (1, 0));
}

/// Guards against a session whose prompt every engine has to process again, and against a session
/// that overloads its engine.
#[test]
fn session_stays_at_one_engine_until_that_is_loaded() {
    let mut placer = placer(20);
    let mut upstreams = Vec::new();
    for call in 0..20 {
        let now = at(call as f64 * 500.0);
        let request = request(call, 77, now);
        upstreams.push(placer.place(&request, now).upstream);
        placer
            .report(&report(&request, PlacementOutcome::Answered), at(call as f64 * 500.0 + 400.0));
    }
    assert!(upstreams.iter().all(|upstream| *upstream == upstreams[0]), "{upstreams:?}");
    let burst = (20..40).map(|call| placer.place(&request(call, 77, at(1e4)), at(1e4)).upstream);
    assert!(burst.into_iter().any(|upstream| upstream != upstreams[0]));
}

/// Guards against an engine that fails fast and therefore always has the shortest queue.
#[test]
fn failing_engine_gets_no_requests_for_a_while() {
    let mut placer = placer(3);
    let mut failed = 0;
    for call in 0..200 {
        let now = at(call as f64);
        let request = request(call, call, now);
        let upstream = placer.place(&request, now).upstream.expect("an engine");
        let outcome = if upstream == "reader-1" {
            failed += 1;
            PlacementOutcome::Failed
        } else {
            PlacementOutcome::Answered
        };
        placer.report(&report(&request, outcome), now);
    }
    assert!(failed <= 4, "{failed} requests went to the failing engine");
}

/// Guards against an engine that has stopped and sends no event that would show it.
#[test]
fn silent_engine_is_avoided() {
    let mut placer = placer(2);
    let stuck = request(1, 5, at(0.0));
    let silent = placer.place(&stuck, at(0.0)).upstream.expect("an engine");
    for call in 2..40 {
        let now = at(1_000.0 + call as f64);
        let next = request(call, 5, now);
        let upstream = placer.place(&next, now).upstream.expect("an engine");
        assert_ne!(upstream, silent);
        placer.report(&report(&next, PlacementOutcome::Answered), now);
    }
}

/// Guards against an engine that has stopped and gets the next requests as soon as the previous ones
/// have ended at their deadlines.
#[test]
fn engine_whose_requests_end_without_an_event_counts_as_slow() {
    let mut placer = placer(2);
    let stuck = request(1, 5, at(0.0));
    let silent = placer.place(&stuck, at(0.0)).upstream.expect("an engine");
    placer.report(&report(&stuck, PlacementOutcome::Cancelled), at(5_900.0));
    let next = placer.place(&request(2, 5, at(6_000.0)), at(6_000.0)).upstream;
    assert_ne!(next, Some(silent));
}

/// Guards against an engine that appears overdue because a daemon chose it by itself.
#[test]
fn request_that_its_daemon_sent_elsewhere_counts_there() {
    let mut placer = placer(2);
    let moved = request(1, 5, at(0.0));
    let chosen = placer.place(&moved, at(0.0)).upstream.expect("an engine");
    let other = if chosen == "reader-0" { "reader-1" } else { "reader-0" };
    let mut not_used = report(&moved, PlacementOutcome::NotUsed);
    other.clone_into(&mut not_used.upstream);
    placer.report(&not_used, at(1.0));
    let open = |placer: &EnginePlacer, name: &str| {
        placer.speeds(at(1.0)).into_iter().find(|engine| engine.0 == name).map(|engine| engine.2)
    };
    assert_eq!((open(&placer, &chosen), open(&placer, other)), (Some(0), Some(1)));
    let next = placer.place(&request(2, 5, at(60.0)), at(60.0));
    assert!(next.expected.as_millis() < 300, "{next:?}");
}

#[test]
fn excluded_engines_and_forbidden_regions_are_never_chosen() {
    let mut placer = EnginePlacer::new(RULES);
    let engine =
        |index, region: &str| EngineInfo { region: Some(region.to_owned()), ..info(index) };
    placer.set_engines(RULES, [engine(0, "lakes"), engine(1, "coast"), engine(2, "coast")]);
    let mut asked = request(1, 1, at(0.0));
    asked.allowed_regions = AllowedRegions::new(["coast".to_owned()]);
    asked.excluded = vec!["reader-1".to_owned()];
    assert_eq!(placer.place(&asked, at(0.0)).upstream.as_deref(), Some("reader-2"));
    asked.excluded.push("reader-2".to_owned());
    assert_eq!(placer.place(&asked, at(0.0)).upstream, None);
}

/// Guards against a coordinator that places a stream at an engine with other software than the one
/// that began it.
#[test]
fn stream_is_placed_at_an_engine_of_its_version() {
    let mut placer = EnginePlacer::new(RULES);
    let engine = |index: usize| EngineInfo {
        software_version: SoftwareVersion::new(if index < 18 { "v2" } else { "v1" }),
        ..info(index)
    };
    placer.set_engines(RULES, (0..20).map(engine));
    for call in 0..40 {
        let mut asked = request(call, call, at(0.0));
        asked.allowed_version =
            AllowedVersion::Only(SoftwareVersion::new("v1").expect("a version"));
        let upstream = placer.place(&asked, at(0.0)).upstream.expect("an engine");
        assert!(["reader-18", "reader-19"].contains(&upstream.as_str()), "{upstream}");
    }
    let mut gone = request(40, 40, at(0.0));
    gone.allowed_version = AllowedVersion::Only(SoftwareVersion::new("v0").expect("a version"));
    assert_eq!(placer.place(&gone, at(0.0)).upstream, None);
}

#[test]
fn large_inputs_attract_their_request_to_their_zone() {
    let mut placer = EnginePlacer::new(RULES);
    let engine = |index: usize| EngineInfo { zone: format!("z{}", index % 2), ..info(index) };
    placer.set_engines(RULES, (0..20).map(engine));
    for call in 0..20 {
        let mut asked = request(call, call, at(0.0));
        (asked.input_zone, asked.input_bytes) = (Some("z1".to_owned()), 5_000_000);
        let upstream = placer.place(&asked, at(0.0)).upstream.expect("an engine");
        let index: usize = upstream.trim_start_matches("reader-").parse().expect("a number");
        assert_eq!(index % 2, 1, "{upstream} is in the other zone");
        placer.report(&report(&asked, PlacementOutcome::Answered), at(0.0));
    }
}
