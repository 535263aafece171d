//! Load figures that upstreams report in their answers.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;
#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::time::Duration;

use batch_bench::Bench;
use crocusdale_core::daemon::{Command, CounterName, DaemonEvent};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::routing::{
    AttemptReport, LoadFigures, LoadNotice, UpstreamNotice, UpstreamState,
};

use forward_daemon::Daemon;

/// Time for which a reported pace counts.
const PACE_LIFETIME_MS: u64 = 300;

/// Upstream that gets a call, among two that are alike but for the pace that `slow` reported
/// `age_ms` ago.
fn called_upstream(slow: &str, age_ms: u64) -> String {
    let mut bench = Bench::new(&[("u1", "a"), ("u2", "a")]);
    bench.dispatcher.record_pace(slow, 250, bench.now);
    bench.advance(age_ms);
    let order = bench.order(1, 900);
    bench.submit_pieces(order);
    bench.calls[0].upstream.clone()
}

/// Guards against calls to an upstream that is slow for some tenths of a second, while another is
/// not, and against an upstream that is avoided for longer.
#[test]
fn call_goes_to_the_upstream_with_the_usual_pace() {
    assert_eq!(called_upstream("u1", 0), "u2");
    assert_eq!(called_upstream("u2", 0), "u1");
    let first = called_upstream("u1", PACE_LIFETIME_MS);
    assert_eq!(called_upstream("u2", PACE_LIFETIME_MS), first, "an old pace must not count");
}

/// Guards against requests to a plain upstream that reports that its work takes longer.
#[test]
fn cost_of_a_plain_upstream_follows_its_pace() {
    let at = MonotonicTime::from_millis;
    let mut state = UpstreamState::new("u", 4);
    state.start_attempt();
    state.end_attempt(AttemptReport::Answered(Duration::from_millis(10)), at(0));
    let usual = state.cost(at(0));
    state.record_pace(250, at(0));
    assert!((state.cost(at(PACE_LIFETIME_MS - 1)) - 2.5 * usual).abs() < 1e-9);
    assert!((state.cost(at(PACE_LIFETIME_MS)) - usual).abs() < 1e-9);
}

/// Upstream that gets a request after both have reported a pace.
fn relayed_upstream(paces: [(&str, u32); 2]) -> String {
    let mut daemon = Daemon::new();
    for (upstream, pace) in paces {
        let figures = LoadFigures { running: 1, waiting: 0, slots: 8, pace: Some(pace) };
        let notice =
            UpstreamNotice { load: LoadNotice::Figures(figures), ..UpstreamNotice::default() };
        let (upstream, sent) = (upstream.to_owned(), daemon.now);
        daemon.feed(DaemonEvent::UpstreamNoticed { upstream, notice, sent });
    }
    daemon.submit("/ask/7");
    daemon.last_relay().upstream
}

/// Guards against figures that are read from answers and never reach the router.
#[test]
fn request_goes_to_the_upstream_with_the_usual_pace() {
    assert_eq!(relayed_upstream([("n1", 200), ("n2", 100)]), "n2");
    assert_eq!(relayed_upstream([("n1", 100), ("n2", 200)]), "n1");
}

/// Guards against malformed figures that go unnoticed.
#[test]
fn malformed_figures_are_counted() {
    let daemon = Daemon::new();
    let notice = UpstreamNotice { load: LoadNotice::Unreadable, ..UpstreamNotice::default() };
    let (upstream, sent) = ("n1".to_owned(), daemon.now);
    let event = DaemonEvent::UpstreamNoticed { upstream, notice, sent };
    let mut commands = Vec::new();
    daemon.core.handle(event, daemon.now, &mut commands);
    let is_count =
        |command: &Command| matches!(command, Command::Count(CounterName::LoadFiguresUnreadable));
    assert_eq!(commands.iter().filter(|command| is_count(command)).count(), 1);
}
