//! The load that binds first: many small pieces before few upstreams with long calls.

use stand_ins::{CallForming, PoolModel};

const SEED: u64 = 1;

/// Users' requests come in at six daemons, and each daemon calls the pools for its own. Most calls
/// hold a piece or two, the pools are busy all day, and requests of three stages are late on a
/// calm day. One dispatcher a pool serves them all in time.
#[test]
fn one_dispatcher_serves_a_calm_day_in_time() {
    let model = PoolModel::small(6);
    let alone = model.run(CallForming::EachDaemon, SEED);
    let one = model.run(CallForming::OneDispatcher, SEED);
    assert!(one.share("chain") > 0.95, "{}", one.share("chain"));
    assert!(one.share("single") > 0.95, "{}", one.share("single"));
    assert!(alone.share("chain") < 0.5, "{}", alone.share("chain"));
    assert_eq!(one.refused, 0);
}

/// The fleet grows tenfold before the same pools. What users see must not change with it.
#[test]
fn more_daemons_cost_nothing() {
    let one = PoolModel::small(60).run(CallForming::OneDispatcher, SEED);
    assert!(one.share("chain") > 0.95, "{}", one.share("chain"));
}

/// A burst is more than the pools can do. The most urgent kind must be served more often than the
/// least urgent one that needs the same pools.
#[test]
fn urgent_requests_go_first_in_a_burst() {
    let model = PoolModel::small(6).burst(4.0, 9.0, 2.4);
    let report = model.run(CallForming::OneDispatcher, SEED);
    assert!(report.share("chain") > report.share("spare"), "{report:?}");
}

/// The same seed must give the same run, or two variants can't be compared.
#[test]
fn runs_repeat_from_their_seed() {
    let run = || format!("{:?}", PoolModel::small(6).run(CallForming::OneDispatcher, 7));
    assert_eq!(run(), run());
}
