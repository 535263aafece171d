//! Admission of requests that pass three batched pools in a row, at loads that the pools can't
//! serve.

#[path = "support/chain_model.rs"]
mod chain_model;

use std::time::Duration;

use crocusdale_core::admission::{AdmissionCoordinators, AdmissionRequest};
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime, RequestDigest};

use chain_model::{ChainModel, KindCount, ModelFault, chain_capacity};
use crocusdale_core::configuration::SchedulingSettings;

/// Loads as multiples of what the chain can serve.
const LOADS: [f64; 3] = [1.5, 2.0, 3.0];
/// Seed of the runs.
const SEED: u64 = 1;

fn sum(model: &ChainModel, count: impl Fn(&KindCount) -> usize) -> usize {
    model.kinds.iter().map(count).sum()
}

fn on_time_share(kind: &KindCount) -> f64 {
    kind.on_time as f64 / kind.offered as f64
}

/// Guards against a chain that answers fewer requests on time the more it is asked for, because
/// requests that will be late take the capacity of others. The more urgent kind gets at least as
/// large a share on time, and none less than a quarter of the share of all.
#[test]
fn on_time_answers_do_not_fall_as_the_load_grows() {
    for load in LOADS {
        let model = ChainModel::run(load, ModelFault::None, SEED);
        assert!(
            model.on_time_rate() > 0.85 * chain_capacity(),
            "load {load}: {} a second on time",
            model.on_time_rate()
        );
        let shares = model.kinds.map(|kind| on_time_share(&kind));
        assert!(shares.is_sorted_by(|urgent, other| urgent >= other), "load {load}: {shares:?}");
        let mean =
            sum(&model, |kind| kind.on_time) as f64 / sum(&model, |kind| kind.offered) as f64;
        assert!(shares.iter().all(|share| *share >= mean / 4.0), "load {load}: {shares:?}");
    }
}

/// Guards against refusals below the capacity of the chain.
#[test]
fn nobody_is_refused_while_the_chain_has_capacity() {
    let model = ChainModel::run(0.8, ModelFault::None, SEED);
    assert_eq!(sum(&model, |kind| kind.on_time), sum(&model, |kind| kind.offered));
}

/// Guards against requests that are refused for lack of capacity after a step of them has run.
#[test]
fn admitted_requests_end_with_an_answer() {
    for load in [1.5, 2.0] {
        let model = ChainModel::run(load, ModelFault::None, SEED);
        assert_eq!(sum(&model, |kind| kind.lost), 0, "load {load}");
    }
}

/// Guards against requests that are refused for lack of capacity after a step of them has run, at
/// three times what the chain can serve and more.
#[test]
fn admitted_requests_end_with_an_answer_at_triple_load() {
    for load in [3.0, 4.0] {
        for seed in SEED..SEED + 4 {
            let model = ChainModel::run(load, ModelFault::None, seed);
            assert_eq!(sum(&model, |kind| kind.lost), 0, "load {load}, seed {seed}");
        }
    }
}

/// Guards against a new coordinator with empty ledgers that admits more than the pools can serve.
#[test]
fn new_coordinator_admits_no_more_than_the_pools_can_serve() {
    let model = ChainModel::run(2.0, ModelFault::CoordinatorLost, SEED);
    assert!(model.on_time_rate() > 0.85 * chain_capacity(), "{}", model.on_time_rate());
    assert_eq!(sum(&model, |kind| kind.lost), 0);
}

/// Guards against two coordinators of a partitioned fleet that admit twice what the pools can
/// serve. Neither knows what the other has promised, so a few late requests are lost.
#[test]
fn coordinators_of_a_partitioned_fleet_share_the_pools() {
    let model = ChainModel::run(2.0, ModelFault::Partitioned, SEED);
    assert!(model.on_time_rate() > 0.8 * chain_capacity(), "{}", model.on_time_rate());
    let lost = sum(&model, |kind| kind.lost) as f64;
    assert!(lost < 0.05 * sum(&model, |kind| kind.offered) as f64, "{lost} requests were lost");
}

/// Guards against a frozen dispatcher whose last status keeps requests out, or lets too many in.
#[test]
fn silent_dispatcher_counts_as_having_its_last_capacity() {
    let model = ChainModel::run(2.0, ModelFault::SilentDispatcher, SEED);
    assert!(model.on_time_rate() > 0.8 * chain_capacity(), "{}", model.on_time_rate());
    let lost = sum(&model, |kind| kind.lost) as f64;
    assert!(lost < 0.01 * sum(&model, |kind| kind.offered) as f64, "{lost} requests were lost");
}

/// Guards against sections that are kept forever, which would keep a daemon without statuses from
/// coordinating new ones.
#[test]
fn idle_sections_are_dropped_without_any_status() {
    let mut coordinators = AdmissionCoordinators::default();
    let mut is_decided = |index: u64, at: u64| {
        let request = AdmissionRequest {
            attempt: AttemptId { incarnation: 1, call: CallId(index), sequence: 0 },
            section: format!("admission#{index}/1024"),
            digest: RequestDigest([0; 16]),
            workspace: String::new(),
            level: 0,
            objective_in: Duration::from_secs(1),
            deadline_in: Duration::from_secs(6),
            steps: Vec::new(),
        };
        let now = MonotonicTime::from_millis(at);
        coordinators.decide(&request, &|_| None, now).is_some()
    };
    assert!((0..256).all(|index| is_decided(index, 1_000)));
    assert!(!is_decided(256, 2_000), "the number of sections is bounded");
    assert!(is_decided(256, 40_000));
}

/// Guards against a flood of one workspace that makes the requests of all others late. 41
/// workspaces send 0.8 of what the chain can serve; then one sends ten times its usual rate, and all
/// together send 1.5 times what the chain can serve.
#[test]
fn flood_of_one_workspace_is_served_behind_the_others() {
    let settings = SchedulingSettings { workspace_shares: true, ..Default::default() };
    let with_shares = ChainModel::run_flood(0.8, settings, SEED);
    let small = with_shares.small;
    assert!(on_time_share(&small) > 0.9, "{small:?}");
    assert!(with_shares.on_time_rate() > 0.7 * chain_capacity(), "{}", with_shares.on_time_rate());
    assert_eq!(sum(&with_shares, |kind| kind.lost), 0);
    let without_shares = ChainModel::run_flood(0.8, SchedulingSettings::default(), SEED).small;
    assert!(on_time_share(&without_shares) < 0.8, "{without_shares:?}");
}

/// Guards against callers that wait as they are told and are refused again.
#[test]
fn callers_that_obey_are_served_when_they_come_back() {
    let settings = SchedulingSettings { return_slots: true, ..Default::default() };
    for load in LOADS {
        let model = ChainModel::run_returns(load, settings, SEED);
        let returned = sum(&model, |kind| kind.returned);
        let refused_twice = sum(&model, |kind| kind.refused_twice);
        assert!(returned >= 100, "load {load}: {returned} had a slot");
        assert!(refused_twice * 20 < returned, "load {load}: {refused_twice} of {returned}");
        assert!(model.on_time_rate() > 0.85 * chain_capacity(), "{}", model.on_time_rate());
    }
}

/// Guards against slots that promise more than the pools can serve, so that requests expire after a
/// step has run.
#[test]
fn requests_of_returning_callers_end_with_an_answer() {
    let settings = SchedulingSettings { return_slots: true, ..Default::default() };
    for load in [1.5, 2.0] {
        let model = ChainModel::run_returns(load, settings, SEED);
        assert_eq!(sum(&model, |kind| kind.lost), 0, "load {load}");
    }
}
