//! Drives the real daemon cores with the steps of the specification in `model/at_most_once.pml`.
//! Checks its two assertions: a key runs at most once, and no answer says "not run" of a key that
//! ran.

mod support;

use std::time::Duration;

use crocusdale_core::pipeline::OutcomeKind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{CoreFleet, KEY_LIFE_MS, key, request, whole_answer};

/// Number of daemons. [`ModelStep::ChangeList`] removes the last of them from a VM list.
const DAEMONS: usize = 4;
/// Maximum number of restarts in one test case. The specification is checked with two as well.
const MAX_RESTARTS: u32 = 2;

/// Fixed seed of the generated cases, so that every CI run checks the same ones.
const SEED: u64 = 20_261_202;

/// A step of the specification.
#[derive(Clone, Debug)]
enum ModelStep {
    /// A caller sends the request key to this daemon. It may send it repeatedly and to any daemon.
    Submit(usize),
    /// A caller asks this daemon for the outcome of the key.
    Inquire(usize),
    /// One pending message arrives. Any pending message can be chosen, so that messages are
    /// reordered and delayed.
    Deliver(usize),
    /// One pending message arrives and stays pending, so that it can arrive again.
    DeliverTwice(usize),
    /// One pending message is lost.
    DropMessage(usize),
    /// An upstream answers one open attempt.
    Answer(usize),
    /// This daemon is paused: its timers don't fire, and queries to it get no answer.
    Pause(usize),
    /// This daemon is resumed after a pause.
    Resume(usize),
    /// This daemon stops and loses its state, and its VM starts a new daemon.
    Restart(usize),
    /// This daemon receives a VM list that lacks one VM.
    ChangeList(usize),
    /// The virtual clock advances by this number of milliseconds.
    Advance(u64),
}

fn model_step() -> impl Strategy<Value = ModelStep> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        4 => daemon.clone().prop_map(ModelStep::Submit),
        3 => daemon.clone().prop_map(ModelStep::Inquire),
        24 => (0..64_usize).prop_map(ModelStep::Deliver),
        3 => (0..64_usize).prop_map(ModelStep::DeliverTwice),
        4 => (0..64_usize).prop_map(ModelStep::DropMessage),
        2 => (0..8_usize).prop_map(ModelStep::Answer),
        2 => daemon.clone().prop_map(ModelStep::Pause),
        2 => daemon.clone().prop_map(ModelStep::Resume),
        2 => daemon.clone().prop_map(ModelStep::Restart),
        1 => daemon.prop_map(ModelStep::ChangeList),
        3 => (1..1_000_u64).prop_map(ModelStep::Advance),
        1 => (KEY_LIFE_MS / 2..2 * KEY_LIFE_MS).prop_map(ModelStep::Advance),
    ]
}

/// Applies `step` to the fleet. Callers state the true age of the key.
fn apply_step(fleet: &mut CoreFleet, step: &ModelStep, restarts: &mut u32, start_ms: u128) {
    let request_key = key("order");
    let age = u64::try_from(fleet.now.since_start().as_millis() - start_ms).unwrap_or(u64::MAX);
    let position =
        |random_index: usize, length: usize| (length > 0).then(|| random_index % length.max(1));
    match *step {
        ModelStep::Submit(daemon) if !fleet.nodes[daemon].paused => {
            let mut request = request(&request_key, "once", false);
            request.age = Duration::from_millis(age);
            fleet.submit(daemon, request);
        }
        ModelStep::Inquire(daemon) if !fleet.nodes[daemon].paused => {
            fleet.inquire(daemon, &request_key, Some(age));
        }
        ModelStep::Submit(_) | ModelStep::Inquire(_) => {}
        ModelStep::Deliver(random_index) => {
            if let Some(position) = position(random_index, fleet.network.len()) {
                fleet.deliver(position, false);
            }
        }
        ModelStep::DeliverTwice(random_index) => {
            if let Some(position) = position(random_index, fleet.network.len()) {
                fleet.deliver(position, true);
            }
        }
        ModelStep::DropMessage(random_index) => {
            if let Some(position) = position(random_index, fleet.network.len()) {
                fleet.network.remove(position);
            }
        }
        ModelStep::Answer(random_index) => {
            if let Some(position) = position(random_index, fleet.attempts.len()) {
                fleet.answer_attempt(position, whole_answer);
            }
        }
        ModelStep::Pause(daemon) => fleet.nodes[daemon].paused = true,
        ModelStep::Resume(daemon) => fleet.nodes[daemon].paused = false,
        ModelStep::Restart(daemon) => {
            if *restarts < MAX_RESTARTS {
                *restarts += 1;
                fleet.restart(daemon);
            }
        }
        ModelStep::ChangeList(daemon) => {
            let mut roster = fleet.roster.clone();
            roster.revision += 1;
            roster.vms.remove(DAEMONS - 1);
            fleet.give_roster(daemon, roster);
        }
        ModelStep::Advance(millis) => fleet.advance(millis),
    }
}

/// Returns whether any daemon has answered that the key was not run.
fn has_not_run_answer(fleet: &CoreFleet) -> bool {
    fleet.outcome_kinds(&key("order")).contains(&OutcomeKind::Refused)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn cores_satisfy_the_specification(steps in proptest::collection::vec(model_step(), 1..120)) {
        let mut fleet = CoreFleet::new(DAEMONS);
        let start_ms = fleet.now.since_start().as_millis();
        let mut restarts = 0;
        for step in &steps {
            apply_step(&mut fleet, step, &mut restarts, start_ms);
            let runs = fleet.run_count(&key("order"));
            prop_assert!(runs <= 1, "expected at most one run, got {runs} after {step:?}");
            prop_assert!(
                runs == 0 || !has_not_run_answer(&fleet),
                "a daemon answered \"not run\" for a key that ran, after {step:?}"
            );
        }
    }
}
