//! Drives the real cores with the steps of the specification in `model/at_most_once.pml`, and
//! holds them against its two assertions: at most one run, and no "not run" of a key that ran.

mod support;

use std::time::Duration;

use crocusdale_core::pipeline::OutcomeKind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{CoreFleet, KEY_LIFE_MS, key, request, whole_answer};

/// Daemons of the model; the VM list changes by one more.
const DAEMONS: usize = 4;
/// Restarts that one case may have; the specification is checked with two.
const RESTARTS: u32 = 2;

/// Seed of the cases: CI gives the same verdict every time.
const SEED: u64 = 20_261_202;

/// A step of the specification.
#[derive(Clone, Debug)]
enum ModelStep {
    /// A caller sends the key to a daemon, again and anywhere.
    Submit(usize),
    /// An inquirer asks a daemon.
    Inquire(usize),
    /// A message arrives; any of those under way, so that they are reordered and delayed.
    Deliver(usize),
    /// A message arrives and will arrive again.
    DeliverTwice(usize),
    /// A message is lost.
    Lose(usize),
    /// An upstream answers.
    Answer(usize),
    /// A daemon takes no step until it wakes up.
    Pause(usize),
    /// A paused daemon goes on.
    Wake(usize),
    /// A daemon ends, with all that it knew, and its VM starts a new one.
    Restart(usize),
    /// One daemon hears of a VM list that differs by one VM.
    ChangeList(usize),
    /// Time passes, in milliseconds.
    Advance(u64),
}

fn model_step() -> impl Strategy<Value = ModelStep> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        4 => daemon.clone().prop_map(ModelStep::Submit),
        3 => daemon.clone().prop_map(ModelStep::Inquire),
        24 => (0..64_usize).prop_map(ModelStep::Deliver),
        3 => (0..64_usize).prop_map(ModelStep::DeliverTwice),
        4 => (0..64_usize).prop_map(ModelStep::Lose),
        2 => (0..8_usize).prop_map(ModelStep::Answer),
        2 => daemon.clone().prop_map(ModelStep::Pause),
        2 => daemon.clone().prop_map(ModelStep::Wake),
        2 => daemon.clone().prop_map(ModelStep::Restart),
        1 => daemon.prop_map(ModelStep::ChangeList),
        3 => (1..1_000_u64).prop_map(ModelStep::Advance),
        1 => (KEY_LIFE_MS / 2..2 * KEY_LIFE_MS).prop_map(ModelStep::Advance),
    ]
}

/// Takes `step`, with callers that say truly how old the key is.
fn take(fleet: &mut CoreFleet, step: &ModelStep, restarts: &mut u32, start_ms: u128) {
    let order = key("order");
    let age = u64::try_from(fleet.now.since_start().as_millis() - start_ms).unwrap_or(u64::MAX);
    let position = |raw: usize, length: usize| (length > 0).then(|| raw % length.max(1));
    match *step {
        ModelStep::Submit(daemon) if !fleet.nodes[daemon].paused => {
            let mut request = request(&order, "once", false);
            request.age = Duration::from_millis(age);
            fleet.submit(daemon, request);
        }
        ModelStep::Inquire(daemon) if !fleet.nodes[daemon].paused => {
            fleet.inquire(daemon, &order, Some(age));
        }
        ModelStep::Submit(_) | ModelStep::Inquire(_) => {}
        ModelStep::Deliver(raw) => {
            if let Some(position) = position(raw, fleet.network.len()) {
                fleet.deliver(position, false);
            }
        }
        ModelStep::DeliverTwice(raw) => {
            if let Some(position) = position(raw, fleet.network.len()) {
                fleet.deliver(position, true);
            }
        }
        ModelStep::Lose(raw) => {
            if let Some(position) = position(raw, fleet.network.len()) {
                fleet.network.remove(position);
            }
        }
        ModelStep::Answer(raw) => {
            if let Some(position) = position(raw, fleet.attempts.len()) {
                fleet.answer_attempt(position, whole_answer);
            }
        }
        ModelStep::Pause(daemon) => fleet.nodes[daemon].paused = true,
        ModelStep::Wake(daemon) => fleet.nodes[daemon].paused = false,
        ModelStep::Restart(daemon) => {
            if *restarts < RESTARTS {
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

/// Whether any daemon has said that the key did not run.
fn said_not_run(fleet: &CoreFleet) -> bool {
    fleet.kinds(&key("order")).contains(&OutcomeKind::Refused)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn cores_follow_the_specification(steps in proptest::collection::vec(model_step(), 1..120)) {
        let mut fleet = CoreFleet::new(DAEMONS);
        let start_ms = fleet.now.since_start().as_millis();
        let mut restarts = 0;
        for step in &steps {
            take(&mut fleet, step, &mut restarts, start_ms);
            let runs = fleet.run_count(&key("order"));
            prop_assert!(runs <= 1, "ran {runs} times after {step:?}");
            prop_assert!(runs == 0 || !said_not_run(&fleet), "said not run, and ran: {step:?}");
        }
    }
}
