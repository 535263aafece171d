//! A key of a request that must not repeat runs at most once, and "not run" is true.

mod support;

use crocusdale_core::identity::RequestKey;
use crocusdale_core::membership::WitnessSet;
use crocusdale_core::pipeline::OutcomeKind;
use support::{
    CoreFleet, DEADLINE_MS, KEY_LIFE_MS, Message, entry, key, request, vm_index, vm_name,
    whole_answer,
};

// A caller sends a shred order to one daemon, gets no answer in time and sends it to another. The
// first daemon has run it; the second must find that out instead of running it again.
#[test]
fn second_daemon_relays_outcome_of_first() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    fleet.submit(1, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Answered, OutcomeKind::Answered]);
}

// One witness never hears of the claim; the other two suffice and the order runs. Then the holder
// and those two are lost. The witness that is left was told the outcome all the same, and a caller
// that asks another daemon gets the answer instead of "unknown".
#[test]
fn witness_that_missed_the_claim_keeps_the_outcome() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    let holder = daemon_beside_the_witnesses(&key, &fleet);
    fleet.submit(holder, request(&key, "once", false));
    let lost = fleet.network.remove(0);
    let Message::Register { witness: missed, .. } = lost.message else { panic!("a claim") };
    fleet.settle();
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    for witness in WitnessSet::choose(&key, &fleet.roster).vms() {
        if *witness != missed {
            fleet.restart(vm_index(witness));
        }
    }
    fleet.restart(holder);
    fleet.inquire(vm_index(&missed), &key, Some(500));
    fleet.settle();
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Answered, OutcomeKind::Answered]);
}

// A daemon dies after it sent an order on and before it heard the answer. The caller asks another
// daemon, which can't know: it must neither say "not run" nor run it.
#[test]
fn order_of_dead_daemon_is_unknown() {
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
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Unknown, OutcomeKind::Unknown]);
}

// A daemon is paused with its claims under way. Its caller asks another daemon and is told "not
// run". When the paused daemon wakes up and its claims arrive, it must not run the order.
#[test]
fn order_said_not_run_never_runs() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.submit(0, request(&key, "once", false));
    let claims = std::mem::take(&mut fleet.network);
    fleet.nodes[0].paused = true;
    fleet.inquire(1, &key, Some(100));
    fleet.settle();
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Refused]);
    fleet.nodes[0].paused = false;
    fleet.network = claims;
    fleet.settle();
    fleet.advance(DEADLINE_MS);
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 0);
}

// A caller asks for an order long after it ran, when its witnesses have restarted and voted for
// long again. Their registers are empty, and a plain inquiry would take that for "not run": the
// customer's letter would be shredded twice.
#[test]
fn forgotten_order_is_unknown() {
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
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Unknown, OutcomeKind::Unknown]);
}

// The same caller sends the old order again instead, and says how old it is.
#[test]
fn order_older_than_its_key_is_not_run() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    let mut old = request(&key, "once", false);
    old.age = std::time::Duration::from_millis(KEY_LIFE_MS - DEADLINE_MS);
    fleet.submit(0, old);
    fleet.settle();
    assert_eq!((fleet.run_count(&key), fleet.kinds(&key)), (0, vec![OutcomeKind::Unknown]));
}

// An order waits in the socket of a daemon that is frozen for longer than keys are remembered.
// Its caller was told "not run" elsewhere and has sent a new order. The daemon wakes up and reads
// the old one as if it had just come.
#[test]
fn order_read_after_long_pause_is_not_run() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.nodes[0].paused = true;
    fleet.advance(100 * KEY_LIFE_MS);
    fleet.nodes[0].paused = false;
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    assert_eq!((fleet.run_count(&key), fleet.kinds(&key)), (0, vec![OutcomeKind::Unknown]));
}

// A ticket proves by the daemon's own clock that an order is fresh, and stops proving it in time.
#[test]
fn ticket_is_good_for_its_time_key_and_life() {
    let (mut fleet, key, other) = (CoreFleet::new(6), key("order"), key("other"));
    let (ticket, life) = fleet.nodes[0].core.issue_ticket(&key, fleet.now);
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
    fleet.advance(u64::try_from(life.as_millis()).expect("a short time") + 1);
    fleet.submit(0, request);
    fleet.settle();
    assert_eq!(fleet.run_count(&late), 0);
}

// All daemons have just been replaced. None can know what its predecessor promised, so an order
// is not run, and the caller is told when to come back; then it runs.
#[test]
fn fresh_fleet_abstains_and_says_until_when() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    for index in 0..6 {
        fleet.restart(index);
    }
    fleet.submit(0, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Unknown]);
    let wait = fleet.answers[0].1.retry_after.expect("a time to come back");
    fleet.advance(u64::try_from(wait.as_millis()).expect("a short time") + 1);
    fleet.submit(1, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
}

// Two VMs are added, so that some keys get a new witness. It can't know what the VM that it
// replaced has promised; it must abstain, and the two others still serve the key.
#[test]
fn new_witness_abstains_and_others_serve() {
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
        let two_new = fleet.run_count(&key) == 0;
        assert!(!two_new || fleet.kinds(&key) == [OutcomeKind::Unknown], "order-{number}");
    }
    let served = fleet.runs.len();
    assert!(served >= 25, "{served} of 50");
}

// A daemon refuses an order because its workspace is at its limit; the same order has run through
// another daemon meanwhile. "Not run" would be a lie about the key.
#[test]
fn refusal_of_key_that_ran_elsewhere_is_not_not_run() {
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
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Unknown, OutcomeKind::Unknown]);
}

// Two daemons have used VM lists that differ by two of a key's three witnesses, for longer than a
// key lives. Each finds a witness that sees what it sees; the witness that both have in common
// must tell them apart, or each would gather two claims and the order would run twice.
#[test]
fn witness_in_common_refuses_the_list_that_differs_by_two() {
    let mut fleet = CoreFleet::new(9);
    let key = key("order");
    let seen = WitnessSet::choose(&key, &fleet.roster);
    let mut other = fleet.roster.clone();
    other.revision += 1;
    other.vms.retain(|vm| !seen.vms()[1..].contains(&vm.name));
    let seen_there = WitnessSet::choose(&key, &other);
    let common = support::vm_index(&seen.vms()[0]);
    let replaced: Vec<usize> = seen_there
        .vms()
        .iter()
        .map(|vm| support::vm_index(vm))
        .filter(|vm| *vm != common)
        .collect();
    let outsiders: Vec<usize> = (0..9)
        .filter(|index| {
            let name = support::vm_name(*index);
            !seen.contains(&name) && !seen_there.contains(&name)
        })
        .collect();
    let (first, second) = (outsiders[0], outsiders[1]);
    fleet.give_roster(second, other.clone());
    fleet.give_roster(replaced[0], other);
    fleet.advance(KEY_LIFE_MS + 1);

    fleet.submit(first, request(&key, "once", false));
    let to_common = |message: &Message| match message {
        Message::Register { witness, .. } => support::vm_index(witness) == common,
        _ => false,
    };
    fleet.network.retain(|envelope| !to_common(&envelope.message));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    fleet.submit(second, request(&key, "once", false));
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
}

// One caller asks a daemon for an order that it has not seen; another caller sends that order to
// the same daemon just then. The claims arrive before the tombstones, so the question finds the
// daemon's own claims. They are in use, and must not be taken for claims of one who never runs.
#[test]
fn question_that_crosses_the_order_at_one_daemon() {
    let (mut fleet, key) = (CoreFleet::new(6), key("order"));
    fleet.inquire(0, &key, Some(0));
    let tombstones = std::mem::take(&mut fleet.network);
    fleet.submit(0, request(&key, "once", false));
    fleet.network.extend(tombstones);
    fleet.settle();
    assert_eq!(fleet.run_count(&key), 1);
    fleet.answer_attempt(0, whole_answer);
    fleet.settle();
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Answered, OutcomeKind::Answered]);
}

// A fresh daemon has the VM list and no configuration yet, so it does not know how long the others
// remember keys. It is asked about an order that they have forgotten; it must not take that for
// "not run".
#[test]
fn daemon_without_configuration_proves_nothing() {
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
    assert_eq!(fleet.kinds(&key), [OutcomeKind::Unknown]);
}

/// A daemon that is no witness of `key`.
fn daemon_beside_the_witnesses(key: &RequestKey, fleet: &CoreFleet) -> usize {
    let witnesses = WitnessSet::choose(key, &fleet.roster);
    let beside = (0..fleet.nodes.len()).find(|index| !witnesses.contains(&vm_name(*index)));
    beside.expect("six daemons and three witnesses")
}
