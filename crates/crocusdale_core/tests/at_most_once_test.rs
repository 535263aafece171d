//! Tests that a request that must not be repeated runs at most once, and that a daemon answers
//! "not run" only for a key that never ran and never will.

mod support;

use crocusdale_core::identity::RequestKey;
use crocusdale_core::membership::WitnessSet;
use crocusdale_core::pipeline::OutcomeKind;
use support::{
    CoreFleet, DEADLINE_MS, KEY_LIFE_MS, Message, entry, key, request, vm_index, vm_name,
    whole_answer,
};

// Guards against a second run of a request that a caller sends to another daemon.
// The first daemon ran the request, but its answer came too late for the caller.
// The second daemon must return the recorded outcome.
#[test]
fn second_daemon_returns_the_outcome_recorded_by_the_first() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    fleet.submit(1, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Answered, OutcomeKind::Answered]);
}

// Guards against the answer "unknown" for a request whose outcome one witness still has.
// One witness misses the claim, and the two others suffice for the request to run. Then the claim
// holder and these two restart. The remaining witness has received the outcome without the claim.
#[test]
fn witness_that_missed_the_claim_keeps_the_outcome() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    let holder = daemon_outside_the_witnesses(&key, &fleet);
    fleet.submit(holder, request(&key, "once", false));
    let dropped_claim = fleet.network.remove(0);
    let Message::Register { witness: uninformed_witness, .. } = dropped_claim.message else {
        panic!("expected the first message to be a claim")
    };
    fleet.settle();
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    for witness in WitnessSet::choose(&key, &fleet.roster).vms() {
        if *witness != uninformed_witness {
            fleet.restart(vm_index(witness));
        }
    }
    fleet.restart(holder);
    fleet.inquire(vm_index(&uninformed_witness), &key, Some(500));
    fleet.settle();
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Answered, OutcomeKind::Answered]);
}

// Guards against a false "not run" and a second run after a daemon crash.
// A daemon dies after it sent the request to an upstream and before it received the answer.
// Another daemon can't know the outcome, so it must answer "unknown".
#[test]
fn outcome_of_request_at_crashed_daemon_is_unknown() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    fleet.restart(0);
    fleet.inquire(1, &key, Some(500));
    fleet.settle();
    fleet.submit(2, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Unknown, OutcomeKind::Unknown]);
}

// Guards against a run of a request after a daemon has answered "not run" for it.
// A daemon is paused while its claims are in flight, and its caller gets "not run" from another
// daemon. When the paused daemon resumes and its claims arrive, it must not run the request.
#[test]
fn request_answered_as_not_run_never_runs() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    let claims = std::mem::take(&mut fleet.network);
    fleet.nodes[0].paused = true;
    fleet.inquire(1, &key, Some(100));
    fleet.settle();
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Refused]);
    fleet.nodes[0].paused = false;
    fleet.network = claims;
    fleet.settle();
    fleet.advance(DEADLINE_MS);
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 0);
}

// Guards against a false "not run" after the registers of a key are lost.
// The witnesses restarted after the request ran, and have been voting again for longer than a key
// lives. Their registers are empty. A caller that is told "not run" would send the request again,
// and it would run twice.
#[test]
fn outcome_of_key_with_lost_registers_is_unknown() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    for index in 0..6 {
        fleet.restart(index);
    }
    fleet.advance(2 * KEY_LIFE_MS);
    fleet.answers.clear();
    fleet.inquire(1, &key, None);
    fleet.inquire(2, &key, Some(2 * KEY_LIFE_MS));
    fleet.settle();
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Unknown, OutcomeKind::Unknown]);
}

// Guards against a run of a request that is older than the lifetime of its key, when the caller
// sends it again and states its age.
#[test]
fn request_older_than_its_key_lifetime_is_not_run() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    let mut old = request(&key, "once", false);
    old.age = std::time::Duration::from_millis(KEY_LIFE_MS - DEADLINE_MS);
    fleet.submit(0, old);
    fleet.settle();
    assert_eq!((fleet.run_count(&key), fleet.outcome_kinds(&key)), (0, vec![OutcomeKind::Unknown]));
}

// Guards against a run of a request that waited in the socket of a paused daemon for longer than
// the lifetime of its key. Its caller was told "not run" by another daemon and has sent a new
// request. When the daemon resumes, it reads the old request as if it had just arrived.
#[test]
fn request_read_after_long_pause_is_not_run() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.nodes[0].paused = true;
    fleet.advance(100 * KEY_LIFE_MS);
    fleet.nodes[0].paused = false;
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    assert_eq!((fleet.run_count(&key), fleet.outcome_kinds(&key)), (0, vec![OutcomeKind::Unknown]));
}

// A ticket proves by the clock of the daemon that issued it that a request is recent. It is valid
// for one key, at one daemon process, and until it expires.
#[test]
fn ticket_is_valid_for_its_key_process_and_lifetime() {
    let (mut fleet, key, other) = (CoreFleet::new(6), key("order"), key("other"));
    let (ticket, ticket_lifetime) = fleet.nodes[0].core.issue_ticket(&key, fleet.now);
    let mut fresh = request(&key, "once", false);
    fresh.ticket = Some(ticket.clone());
    fleet.submit(0, fresh.clone());
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);

    let mut foreign = request(&other, "once", false);
    foreign.ticket = Some(ticket);
    fleet.submit(0, foreign.clone());
    fleet.submit(1, foreign);
    fleet.settle();
    assert_eq!(fleet.run_count(&other), 0);

    let late = support::key("late");
    let mut request = support::request(&late, "once", false);
    request.ticket = Some(fleet.nodes[0].core.issue_ticket(&late, fleet.now).0);
    fleet.advance(u64::try_from(ticket_lifetime.as_millis()).expect("a short time") + 1);
    fleet.submit(0, request);
    fleet.settle();
    assert_eq!(fleet.run_count(&late), 0);
}

// Guards against a second run after all daemons have been replaced at once.
// No new daemon knows the claims that its predecessor granted, so it doesn't run a request until
// these have expired. It tells the caller after which time to retry, and the retry runs.
#[test]
fn restarted_fleet_abstains_and_states_retry_after() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    for index in 0..6 {
        fleet.restart(index);
    }
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Unknown]);
    let retry_after_wait =
        fleet.answers[0].1.retry_after.expect("the answer has a retry-after time");
    fleet.advance(u64::try_from(retry_after_wait.as_millis()).expect("a short time") + 1);
    fleet.submit(1, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
}

// Guards against a claim that a new witness grants although its predecessor granted another one.
// Two added VMs become witnesses of some keys. They don't know the claims of the VMs that they
// replaced, so they must abstain. The other two witnesses of the key still grant claims.
#[test]
fn new_witness_abstains_while_the_others_grant_claims() {
    let mut fleet = CoreFleet::new(6);
    let mut roster = fleet.roster.clone();
    roster.revision += 1;
    roster.vms.extend([entry(6), entry(7)]);
    fleet.roster = roster.clone();
    for index in 0..6 {
        fleet.give_roster(index, roster.clone());
    }
    for number in 0..50 {
        let key = key(&format!("order-{number}"));
        fleet.submit(number % 6, request(&key, "once", false));
        fleet.settle();
        fleet.advance(500);
        fleet.settle();
        let was_not_run = fleet.run_count(&key) == 0;
        assert!(
            !was_not_run || fleet.outcome_kinds(&key) == [OutcomeKind::Unknown],
            "order-{number}: expected a run or the answer \"unknown\""
        );
    }
    let run_keys = fleet.runs.len();
    assert!(run_keys >= 25, "expected at least 25 of 50 keys to run, got {run_keys}");
}

// Guards against a false "not run" when a daemon refuses a request that ran at another daemon.
// A daemon may refuse a request, for instance because its workspace is at its limit, while another
// daemon has run it. Here the second daemon has no pipeline for the labels of the request.
#[test]
fn refusal_of_key_that_ran_elsewhere_is_reported_as_unknown() {
    let mut fleet = CoreFleet::new(6);
    let key = key("order");
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    let mut unknown = request(&key, "nothing-serves-this", false);
    unknown.deadline = std::time::Duration::from_millis(10);
    fleet.submit(1, unknown);
    fleet.settle();
    fleet.advance(2_000);
    fleet.settle();
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Unknown, OutcomeKind::Unknown]);
}

// Guards against two runs of a request by daemons whose VM lists differ in two of the three
// witnesses of its key, for longer than a key lives. Each daemon has one witness with the same VM
// list as its own. The witness in both sets must refuse one of the lists, or each daemon
// would gather two claims.
#[test]
fn common_witness_refuses_a_list_that_differs_by_two_witnesses() {
    let mut fleet = CoreFleet::new(9);
    let key = key("order");
    let first_witnesses = WitnessSet::choose(&key, &fleet.roster);
    let mut other = fleet.roster.clone();
    other.revision += 1;
    other.vms.retain(|vm| !first_witnesses.vms()[1..].contains(&vm.name));
    let other_witnesses = WitnessSet::choose(&key, &other);
    let common_witness = support::vm_index(&first_witnesses.vms()[0]);
    let replaced: Vec<usize> = other_witnesses
        .vms()
        .iter()
        .map(|vm| support::vm_index(vm))
        .filter(|vm| *vm != common_witness)
        .collect();
    let outsiders: Vec<usize> = (0..9)
        .filter(|index| {
            let name = support::vm_name(*index);
            !first_witnesses.contains(&name) && !other_witnesses.contains(&name)
        })
        .collect();
    let (first, second) = (outsiders[0], outsiders[1]);
    fleet.give_roster(second, other.clone());
    fleet.give_roster(replaced[0], other);
    fleet.advance(KEY_LIFE_MS + 1);

    fleet.submit(first, request(&key, "once", false));
    let is_to_common_witness = |message: &Message| match message {
        Message::Register { witness, .. } => support::vm_index(witness) == common_witness,
        _ => false,
    };
    fleet.network.retain(|envelope| !is_to_common_witness(&envelope.message));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    fleet.submit(second, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
}

// Guards against a false "not run" when an inquiry and the request reach one daemon together.
// The claims arrive before the tombstones, so the inquiry finds claims of its own daemon.
// These belong to a running request, and must not be treated as claims that are never used.
#[test]
fn inquiry_concurrent_with_request_at_one_daemon_returns_its_outcome() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.inquire(0, &key, Some(0));
    let tombstones = std::mem::take(&mut fleet.network);
    fleet.submit(0, request(&key, "once", false));
    fleet.network.extend(tombstones);
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Answered, OutcomeKind::Answered]);
}

// Guards against a false "not run" from a new daemon that has the VM list but no configuration.
// It doesn't know for how long the other daemons keep keys, so empty registers prove nothing:
// the other daemons may have discarded the key after the request ran.
#[test]
fn daemon_without_configuration_never_answers_not_run() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    fleet.advance(20 * KEY_LIFE_MS);
    fleet.answers.clear();
    fleet.restart_without_configuration(1);
    fleet.inquire(1, &key, Some(20 * KEY_LIFE_MS));
    fleet.settle();
    fleet.advance(2_000);
    assert_eq!(fleet.outcome_kinds(&key), [OutcomeKind::Unknown]);
}

/// Returns the index of a daemon that is not a witness of `key`.
fn daemon_outside_the_witnesses(key: &RequestKey, fleet: &CoreFleet) -> usize {
    let witnesses = WitnessSet::choose(key, &fleet.roster);
    let outsider = (0..fleet.nodes.len()).find(|index| !witnesses.contains(&vm_name(*index)));
    outsider.expect("six daemons include one that is not among the three witnesses")
}
