//! What a daemon knows of one upstream.

use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::routing::{AttemptReport, UpstreamState};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn answered(state: &mut UpstreamState, millis: u64) {
    state.start_attempt();
    state.end_attempt(AttemptReport::Answered(Duration::from_millis(millis)), at(0));
}

/// Attempts that it takes at one time now.
fn room(state: &mut UpstreamState) -> u32 {
    let mut open = 0;
    while state.has_free_slot() {
        state.start_attempt();
        open += 1;
    }
    for _ in 0..open {
        state.end_attempt(AttemptReport::Cancelled, at(0));
    }
    open
}

// An upstream said that it was leaving, left, and its VM runs a new process. Nobody gives work to
// one that is leaving, so nobody would ever hear from the new process that it stays.
#[test]
fn upstream_whose_vm_is_live_again_gets_work() {
    let mut state = UpstreamState::new("u", 4);
    state.record_leaving("first life");
    state.set_listed_leaving(true);
    assert!(state.is_leaving());
    state.set_listed_leaving(false);
    assert!(!state.is_leaving());
}

// The list lags behind the upstream's own word: it still shows the VM as live.
#[test]
fn word_of_the_upstream_outlasts_a_lagging_list() {
    let mut state = UpstreamState::new("u", 4);
    state.record_leaving("first life");
    state.set_listed_leaving(false);
    assert!(state.is_leaving());
}

// An upstream that fails at once always has room, and would attract the work of its pool.
#[test]
fn failing_upstream_is_ejected_for_longer_each_time() {
    let mut state = UpstreamState::new("u", 4);
    for _ in 0..3 {
        state.start_attempt();
        state.end_attempt(AttemptReport::Failed, at(0));
    }
    assert!(state.is_ejected(at(499)) && !state.is_ejected(at(500)));
    state.start_attempt();
    state.end_attempt(AttemptReport::Failed, at(500));
    assert!(state.is_ejected(at(1_499)) && !state.is_ejected(at(1_500)));
    answered(&mut state, 10);
    assert!(!state.is_ejected(at(501)));
}

// Answers get slower because calls wait inside the upstream; fewer are sent there until they are
// fast again.
#[test]
fn window_follows_the_upstream() {
    let mut state = UpstreamState::new("u", 16);
    for _ in 0..200 {
        answered(&mut state, 10);
    }
    assert_eq!(room(&mut state), 16);
    for _ in 0..10 {
        answered(&mut state, 50);
    }
    assert!(room(&mut state) <= 2);
    for _ in 0..200 {
        answered(&mut state, 10);
    }
    assert_eq!(room(&mut state), 16);
}

// Orders that must not repeat have one attempt each. An upstream that failed the last one must not
// be given the next while others do well.
#[test]
fn upstream_that_failed_costs_more_until_it_answers() {
    let (mut good, mut bad) = (UpstreamState::new("good", 4), UpstreamState::new("bad", 4));
    answered(&mut good, 10);
    answered(&mut bad, 2);
    assert!(bad.cost() < good.cost());
    bad.start_attempt();
    bad.end_attempt(AttemptReport::Failed, at(0));
    assert!(bad.cost() > good.cost());
    answered(&mut bad, 2);
    assert!(bad.cost() < good.cost());
}
