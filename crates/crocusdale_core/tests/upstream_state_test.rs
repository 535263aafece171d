//! State that a daemon keeps for one upstream.

use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::routing::{AttemptReport, UpstreamState};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record_answer(state: &mut UpstreamState, millis: u64) {
    state.start_attempt();
    state.end_attempt(AttemptReport::Answered(Duration::from_millis(millis)), at(0));
}

/// Number of concurrent attempts that the upstream accepts now.
fn concurrency_window(state: &mut UpstreamState) -> u32 {
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

/// Guards against an upstream that gets no requests after a restart. The old process announced that
/// it was leaving, and its VM now runs a new process. A leaving upstream gets no requests, so no
/// answer could tell that the new process stays.
#[test]
fn upstream_that_is_listed_as_live_again_is_not_leaving() {
    let mut state = UpstreamState::new("u", 4);
    state.record_leaving("first life");
    state.set_listed_leaving(true);
    assert!(state.is_leaving());
    state.set_listed_leaving(false);
    assert!(!state.is_leaving());
}

/// Guards against a stale list that overrides a notice from the upstream itself: the list still
/// shows the VM as live.
#[test]
fn leaving_notice_outlasts_a_stale_list() {
    let mut state = UpstreamState::new("u", 4);
    state.record_leaving("first life");
    state.set_listed_leaving(false);
    assert!(state.is_leaving());
}

/// Guards against an upstream that fails at once: it always has free slots, and would attract the
/// requests of its pool.
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
    record_answer(&mut state, 10);
    assert!(!state.is_ejected(at(501)));
}

/// Guards against a window that ignores queueing inside the upstream. Slower answers mean that
/// calls wait there, so the window shrinks until answers are fast again.
#[test]
fn window_follows_the_answer_time() {
    let mut state = UpstreamState::new("u", 16);
    for _ in 0..200 {
        record_answer(&mut state, 10);
    }
    assert_eq!(concurrency_window(&mut state), 16);
    for _ in 0..10 {
        record_answer(&mut state, 50);
    }
    assert!(concurrency_window(&mut state) <= 2);
    for _ in 0..200 {
        record_answer(&mut state, 10);
    }
    assert_eq!(concurrency_window(&mut state), 16);
}

/// Guards against requests with a single attempt that go to an upstream which has failed the last
/// one while others answer.
#[test]
fn upstream_that_failed_costs_more_until_it_answers() {
    let (mut good, mut bad) = (UpstreamState::new("good", 4), UpstreamState::new("bad", 4));
    record_answer(&mut good, 10);
    record_answer(&mut bad, 2);
    assert!(bad.cost(at(0)) < good.cost(at(0)), "the faster upstream must cost less");
    bad.start_attempt();
    bad.end_attempt(AttemptReport::Failed, at(0));
    assert!(bad.cost(at(0)) > good.cost(at(0)), "the upstream that failed must cost more");
    record_answer(&mut bad, 2);
    assert!(bad.cost(at(0)) < good.cost(at(0)));
}
