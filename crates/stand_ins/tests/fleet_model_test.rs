//! The load that binds first: many small pieces before few upstreams with long calls.

use crocusdale_core::configuration::RoutingPolicy;
use stand_ins::{CallForming, KindTally, ModelFault, ModelLoad};

const SEED: u64 = 1;

/// Users' requests come in at six daemons, and each daemon calls the pools for its own. Most calls
/// hold a piece or two, the pools are busy all day, and requests of three stages are late on a
/// calm day. One dispatcher a pool serves them all in time.
#[test]
fn one_dispatcher_serves_a_calm_day_in_time() {
    let model = ModelLoad::small(6);
    let alone = model.run(CallForming::EachDaemon, SEED);
    let one = model.run(CallForming::OneDispatcher, SEED);
    assert!(one.share("chain") > 0.95, "{}", one.share("chain"));
    assert!(one.share("single") > 0.95, "{}", one.share("single"));
    assert!(alone.share("chain") < 0.5, "{}", alone.share("chain"));
    assert_eq!(one.refused_calls, 0);
}

/// The fleet grows tenfold before the same pools. What users see must not change with it.
#[test]
fn more_daemons_cost_nothing() {
    let one = ModelLoad::small(60).run(CallForming::OneDispatcher, SEED);
    assert!(one.share("chain") > 0.95, "{}", one.share("chain"));
}

/// A burst is more than the pools can do. The most urgent kind must be served more often than the
/// least urgent one that needs the same pools.
#[test]
fn urgent_requests_go_first_in_a_burst() {
    let model = ModelLoad::small(6).burst(4.0, 9.0, 2.4);
    let report = model.run(CallForming::OneDispatcher, SEED);
    assert!(report.share("chain") > report.share("spare"), "{report:?}");
}

/// The same seed must give the same run, or two variants can't be compared.
#[test]
fn runs_repeat_from_their_seed() {
    let run = || format!("{:?}", ModelLoad::small(6).run(CallForming::OneDispatcher, 7));
    assert_eq!(run(), run());
}

/// Requests about the same things come in everywhere, and each engine that gets one reads the whole
/// prompt, though another one has just read most of it. Users wait for the reading. Where requests
/// about one thing go to the same engine, little is read twice, and nobody is served less often.
#[test]
fn engines_by_subject_read_little_twice() {
    let load = ModelLoad::small(6);
    let in_turn = load.clone().policy(RoutingPolicy::Baseline);
    let in_turn = in_turn.run(CallForming::OneDispatcher, SEED);
    let by_subject = load.run(CallForming::OneDispatcher, SEED);
    assert!(by_subject.read_again * 5 < in_turn.read_again, "{by_subject:?} {in_turn:?}");
    assert!(by_subject.share_of_all() > in_turn.share_of_all() - 0.01);
}

/// Two daemons of six are killed, and with them the dispatchers of some pools. What they had read is
/// lost; callers come back to the others, whose pieces go to the next dispatchers. All but those few
/// must be served in time.
#[test]
fn lost_dispatchers_cost_a_moment() {
    let killed = ModelFault { from: 8.0, to: 11.0, daemons: 2, slow: None };
    let report = ModelLoad::small(6).fault(killed).run(CallForming::OneDispatcher, SEED);
    assert!(report.share_of_all() > 0.9, "{report:?}");
}

/// A load with a mistake in it must say where, or an experiment shows something else than was meant.
#[test]
fn mistakes_in_a_load_are_named() {
    let error = |text: &str| ModelLoad::parse(text).expect_err("a mistake").to_string();
    assert!(error("[callers]\ndaemons = many\n").contains("[callers] daemons = many"));
    assert!(error("[pool encode]\nupstreams = 5\n").contains("[pool encode] pieces is missing"));
    assert!(error("[callers]\ndaemons=1\nzones=1\nseconds=1\n").contains("[engines NAME]"));
    assert!(error("[colour]\n").contains("[colour] is unknown"));
}

/// The upstreams of the second pool have memory for the results of two full calls, and in a burst
/// they are full of results that the third pool has fetched already. Their calls stay half empty, and
/// requests that pass all three pools are late. Given up once they are fetched, nearly all of them
/// are in time.
#[test]
fn results_that_were_fetched_make_room_in_a_burst() {
    let small = include_str!("../loads/small.ini").replace("memory_mb = 10", "memory_mb = 8");
    let load = ModelLoad::parse(&small).expect("a load").burst(4.0, 10.0, 1.8);
    let report = load.run(CallForming::OneDispatcher, SEED);
    assert!(report.share("chain") > 0.95, "{report:?}");
    assert!(report.share("spare") > 0.5, "{report:?}");
}

/// One workspace floods the fleet for eight seconds. Whoever can't be served must hear so while
/// there is time to go elsewhere, and must not be called back for nothing: all were held to the end
/// of their time once, and 333 came back of whom none was served.
#[test]
fn refusals_in_a_flood_are_early_and_true() {
    let load = ModelLoad::small(6).flood(4.0, 12.0, 12.0, 3);
    let report = load.run(CallForming::OneDispatcher, SEED);
    assert!(report.refused_ms < 4_000, "{report:?}");
    assert!(report.returned.0 - report.returned.1 < 50, "{report:?}");
}

/// One workspace of five suddenly sends twelve times as much, for eight seconds. Users of the other
/// four did nothing, and must not see it: a tenth of their requests were late or refused once.
#[test]
fn flood_of_one_workspace_leaves_the_others_alone() {
    let load = ModelLoad::small(6).flood(4.0, 12.0, 12.0, 3);
    let report = load.run(CallForming::OneDispatcher, SEED);
    let others = [0, 1, 2, 4].map(|workspace| report.workspaces[workspace].share());
    assert!(others.iter().all(|share| *share > 0.95), "{others:?}");
    let flood = report.workspaces[3];
    let served = f64::from(flood.in_time + flood.late) / f64::from(flood.asked);
    assert!(served > 0.7 && flood.share() > 0.35, "the flood gets what is left: {report:?}");
}

/// All workspaces send more at one time, as at the beginning of a working day. None of them floods:
/// the largest must be served as often as the others.
#[test]
fn burst_of_all_workspaces_counts_as_no_flood() {
    let load = ModelLoad::small(6).burst(4.0, 10.0, 2.0);
    let report = load.run(CallForming::OneDispatcher, SEED);
    let shares: Vec<f64> = report.workspaces.iter().map(KindTally::share).collect();
    let least = shares.iter().copied().fold(1.0, f64::min);
    assert!(shares[0] - least < 0.06 && shares[0] > least - 0.06, "{shares:?}");
}
