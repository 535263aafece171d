//! Upstreams that name how many requests a second they take from all daemons together.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
#[path = "support/limited_upstream.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod limited_upstream;
mod support;

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::AllowedRegions;
use crocusdale_core::daemon::{DaemonEvent, StalenessBounds};
use crocusdale_core::identity::{CallId, MonotonicTime, RequestDigest, stable_hash};
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind, RefusalReason};
use crocusdale_core::rate_limiting::{
    LIMIT_WINDOW, RateLimiter, RateNotice, RateQuota, RateShare, RateUse, RequestRate,
};
use crocusdale_core::routing::{
    CONNECT_TIMEOUT, SlotRequest, UpstreamDirectory, UpstreamNotice, UpstreamRouter,
};

use forward_daemon::{Daemon, read};
use limited_upstream::{LIMITED, RateLimitedFleet, max_allowed_requests};
use support::vm_name;

/// Rates that upstreams name, in requests a second.
const RATES: [f64; 10] = [0.0, 0.1, 0.2, 0.5, 1.0, 2.5, 7.0, 20.0, 100.0, 1_000.0];
/// Sizes of fleets.
const SIZES: [usize; 9] = [1, 2, 3, 6, 7, 20, 74, 195, 410];

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn limited(per_second: f64) -> UpstreamNotice {
    let rate = RateNotice::Limited(rate(per_second));
    UpstreamNotice { rate, ..UpstreamNotice::default() }
}

/// The answer of `upstream` to a request that was sent just now says `notice`.
fn hear(daemon: &mut Daemon, upstream: &str, notice: UpstreamNotice) {
    let sent = daemon.now;
    hear_late(daemon, upstream, notice, sent);
}

fn hear_late(daemon: &mut Daemon, upstream: &str, notice: UpstreamNotice, sent: MonotonicTime) {
    let upstream = upstream.to_owned();
    daemon.feed(DaemonEvent::UpstreamNoticed { upstream, notice, sent });
}

/// A daemon of a fleet of one that has settled.
fn settled() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.advance(4_000);
    daemon.publish(&["n1", "n2"], &[]);
    daemon
}

/// Sends a request each 20 ms for `millis`; returns the upstreams that got them.
fn ask_for(daemon: &mut Daemon, millis: u64) -> Vec<String> {
    let mut asked = Vec::new();
    for _ in 0..millis / 20 {
        daemon.submit("/ask/it");
        asked.extend(answer_relays(daemon));
        daemon.advance(20);
        asked.extend(answer_relays(daemon));
    }
    asked
}

fn answer_relays(daemon: &mut Daemon) -> Vec<String> {
    let mut asked = Vec::new();
    for relay in std::mem::take(&mut daemon.relays) {
        asked.push(relay.upstream.clone());
        daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
        daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
    }
    asked
}

fn count_of(asked: &[String], upstream: &str) -> usize {
    asked.iter().filter(|each| *each == upstream).count()
}

/// Guards against an upstream that names a rate and gets as many requests as before.
#[test]
fn limited_upstream_gets_what_it_takes_from_all_daemons_together() {
    for (size, per_second) in [(6, 1.0), (6, 4.0), (74, 1.0)] {
        let mut upstream = RateLimitedFleet::new(size, 2, 1);
        upstream.load = 60.0;
        upstream.run(Duration::from_secs(2));
        upstream.announce_rate(per_second);
        let bound_from = upstream.fleet.now + StalenessBounds::default().recovery_time;
        upstream.run(Duration::from_secs(15));
        let most = upstream.max_of_informed(bound_from);
        assert!(
            most <= max_allowed_requests(per_second),
            "{size} daemons, {per_second} a second: {most} requests in a window"
        );
    }
}

/// Guards against parts that come to more than the bound: every daemon has all that it may have at one
/// moment, goes on at its rate, and writes each request as late as it may.
#[test]
fn quotas_of_all_daemons_come_to_the_bound_at_most() {
    let longest = (LIMIT_WINDOW + CONNECT_TIMEOUT).as_secs_f64();
    for size in SIZES {
        let names: Vec<String> = (0..size).map(vm_name).collect();
        let share = |name: &String| RateShare::new(name, names.iter().map(String::as_str));
        let shares: Vec<RateShare> = names.iter().map(share).collect();
        for (per_second, upstream) in RATES.into_iter().zip(["n1@7", "n2@7"].iter().cycle()) {
            let hash = stable_hash(&[upstream]);
            let quota = |share| RateQuota::new(rate(per_second), hash, share, RateUse::Shared);
            let quotas: Vec<RateQuota> = shares.iter().filter_map(quota).collect();
            let most = |quota: &RateQuota| f64::from(quota.depth) + quota.per_second * longest;
            let sum: usize = quotas.iter().map(|quota| most(quota).floor() as usize).sum();
            assert!(
                sum <= max_allowed_requests(per_second),
                "{size} daemons, {per_second} a second: {sum}"
            );
            let used: f64 = quotas.iter().map(|quota| quota.per_second).sum();
            assert!(used > 0.999 * per_second, "{size} daemons, {per_second} a second: {used}");
            let sole = RateQuota::new(rate(per_second), hash, &shares[0], RateUse::Sole);
            // Before and after a change of the dispatcher.
            let sole = sole.expect("a dispatcher has a quota");
            let sum = 2.0 * f64::from(sole.depth) + sole.per_second * longest;
            assert!(
                sum.floor() as usize <= max_allowed_requests(per_second),
                "dispatcher, {per_second}: {sum}"
            );
        }
    }
}

/// Guards against a daemon that uses more than its part because it knows more daemons than others do.
#[test]
fn knowing_more_daemons_never_raises_a_quota() {
    let names: Vec<String> = (0..120).map(vm_name).collect();
    for per_second in RATES {
        let quota = |known: usize| {
            let share = RateShare::new(&names[0], names[..known].iter().map(String::as_str));
            let quota = RateQuota::new(rate(per_second), 77, &share, RateUse::Shared);
            quota.map_or((0, 0.0), |quota| (quota.depth, quota.per_second))
        };
        for known in 1..120 {
            let (before, after) = (quota(known), quota(known + 1));
            assert!(after.0 <= before.0 && after.1 <= before.1, "{known} known, {per_second}");
        }
    }
}

/// Guards against daemons that hear of a rate too late. One daemon is told by an answer, and each part of
/// the way to the others takes its longest time: news gather, are under way to the readers, each daemon has
/// just asked its reader, its next question and the answer are as late, and what was chosen a moment before
/// is written as late as it may be.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bound() {
    for (size, seeds) in [(6, 12), (60, 3), (410, 1)] {
        let mut worst = Duration::ZERO;
        for seed in 0..seeds {
            let mut upstream = RateLimitedFleet::new(size, 2, seed);
            upstream.fleet.restrict_gossip_to_readers();
            upstream.fleet.heartbeats_are_late = true;
            upstream.deliver_notice(seed as usize % size, limited(1.0));
            let told = upstream.fleet.now;
            while upstream.informed_daemons() < size {
                upstream.run(Duration::from_millis(10));
                assert!(upstream.fleet.now.since(told) < Duration::from_secs(20));
            }
            worst = worst.max(upstream.fleet.now.since(told));
        }
        let sum = worst + CONNECT_TIMEOUT;
        println!("{size} daemons: {sum:?}");
        assert!(sum < StalenessBounds::default().recovery_time, "{size} daemons: {sum:?}");
    }
}

/// Guards against more requests than the bound from all daemons, those included that no answer has told,
/// where news and writes are as late as they may be.
#[test]
fn all_daemons_keep_the_bound_with_late_news_and_writes() {
    for (size, per_second, load) in
        [(3, 1.0, 60.0), (6, 1.0, 60.0), (6, 0.3, 60.0), (74, 2.0, 150.0), (410, 1.0, 400.0)]
    {
        let mut upstream = RateLimitedFleet::new(size, 2, 3);
        upstream.load = load;
        upstream.fleet.restrict_gossip_to_readers();
        upstream.fleet.heartbeats_are_late = true;
        upstream.writes_are_late = true;
        upstream.run(Duration::from_secs(1));
        upstream.announce_rate(per_second);
        let bound_from = upstream.fleet.now + StalenessBounds::default().recovery_time;
        upstream.run(Duration::from_secs(14));
        let told = upstream.max_of_informed(bound_from);
        assert!(told <= max_allowed_requests(per_second), "{size} daemons: {told} of those told");
        let all = upstream.max_in_window(bound_from, |arrival| arrival.at >= bound_from);
        assert!(all <= max_allowed_requests(per_second), "{size} daemons: {all}");
    }
}

/// Guards against a limited upstream that is left idle although callers wait for it, where most daemons
/// have no part of its rate.
#[test]
fn rate_that_an_upstream_names_is_used() {
    for (size, load) in [(3, 30.0), (6, 30.0), (74, 200.0), (410, 600.0)] {
        let mut upstream = RateLimitedFleet::new(size, 0, 5);
        upstream.load = load;
        upstream.announce_rate(1.0);
        upstream.run(Duration::from_secs(8));
        let from = upstream.fleet.now;
        upstream.run(Duration::from_secs(20));
        let used = upstream.arrival_rate(from);
        assert!((0.9..=1.1).contains(&used), "{size} daemons: {used} a second");
    }
}

/// Guards against the loss of the whole rate where daemons are cut off, restart, or are new.
#[test]
fn rate_is_used_while_some_daemons_are_away() {
    let mut upstream = RateLimitedFleet::new(12, 2, 5);
    upstream.load = 100.0;
    upstream.announce_rate(2.0);
    upstream.run(Duration::from_secs(5));
    upstream.fleet.partitioned.extend([0, 1]);
    upstream.fleet.restart(2);
    let bound_from = upstream.fleet.now;
    upstream.run(Duration::from_secs(20));
    let used = upstream.arrival_rate(bound_from);
    assert!((1.0..=2.2).contains(&used), "{used} a second");
    let all = upstream.max_in_window(bound_from + LIMIT_WINDOW, |_| true);
    assert!(all <= max_allowed_requests(2.0), "{all}");
}

/// Guards against an upstream that is spared for good: those that may not call it can't hear that it takes
/// any number again.
#[test]
fn all_daemons_learn_that_a_limit_has_ended() {
    for (size, load) in [(6, 60.0), (74, 200.0)] {
        let mut upstream = RateLimitedFleet::new(size, 2, 7);
        upstream.load = load;
        upstream.announce_rate(1.0);
        upstream.run(Duration::from_secs(10));
        assert_eq!(upstream.informed_daemons(), size);
        upstream.rate = None;
        upstream.run(Duration::from_secs(10));
        assert_eq!(upstream.informed_daemons(), 0, "{size} daemons");
        let from = upstream.fleet.now;
        upstream.run(Duration::from_secs(5));
        assert!(
            upstream.arrival_rate(from) > load / 6.0,
            "{size} daemons: {}",
            upstream.arrival_rate(from)
        );
    }
}

/// Guards against a process that starts again and has heard nothing.
#[test]
fn daemon_that_starts_again_knows_the_rate_before_it_serves() {
    let mut upstream = RateLimitedFleet::new(6, 2, 1);
    upstream.deliver_notice(3, limited(1.0));
    upstream.run(Duration::from_secs(3));
    upstream.fleet.restart(0);
    while !upstream.fleet.cores[0].is_ready() {
        upstream.run(Duration::from_millis(10));
    }
    assert_eq!(upstream.informed_daemons(), 6);
}

/// Guards against an answer that was begun before the upstream named a rate and comes after the one that
/// names it.
#[test]
fn answer_that_was_overtaken_does_not_end_a_limit() {
    let mut daemon = settled();
    let before = daemon.now;
    daemon.advance(100);
    hear(&mut daemon, LIMITED_HERE, limited(0.5));
    hear_late(&mut daemon, LIMITED_HERE, UpstreamNotice::default(), before);
    hear_late(&mut daemon, LIMITED_HERE, limited(50.0), before);
    let asked = ask_for(&mut daemon, 4_000);
    assert!(count_of(&asked, LIMITED_HERE) <= 3, "{}", count_of(&asked, LIMITED_HERE));
    hear(&mut daemon, LIMITED_HERE, UpstreamNotice::default());
    assert!(count_of(&ask_for(&mut daemon, 1_000), LIMITED_HERE) > 10);
}

/// Guards against a limit that goes with the upstream's entry, which lapses and comes back.
#[test]
fn entry_that_comes_back_is_still_limited() {
    let mut daemon = settled();
    hear(&mut daemon, LIMITED_HERE, limited(0.5));
    daemon.publish(&["n2"], &[]);
    daemon.advance(3_000);
    daemon.publish(&["n1", "n2"], &[]);
    assert!(count_of(&ask_for(&mut daemon, 2_000), LIMITED_HERE) <= 3);
}

/// Guards against callers that wait until their deadline for an upstream that takes no more: who can't have
/// a place before it is refused at once, with the time at which there is one.
#[test]
fn request_beyond_the_rates_is_refused_at_once() {
    let mut daemon = settled();
    daemon.publish(&["n1"], &[]);
    hear(&mut daemon, "n1", limited(0.93));
    daemon.advance(1_000);
    let (mut refused, mut sent, mut let_in) = (0, 0, Vec::new());
    for _ in 0..300 {
        let call = daemon.submit("/ask/it");
        if daemon.answer(call).is_some() {
            let answer = &daemon.answers.last().expect("the refusal").1;
            assert_eq!(answer.kind, OutcomeKind::Refused);
            assert_eq!(answer.reason, Some(RefusalReason::Overload));
            assert!(answer.retry_after.is_some_and(|after| !after.is_zero()));
            refused += 1;
        } else {
            let_in.push(call);
        }
        sent += answer_relays(&mut daemon).len();
        daemon.advance(20);
        sent += answer_relays(&mut daemon).len();
    }
    for _ in 0..150 {
        daemon.advance(20);
        sent += answer_relays(&mut daemon).len();
    }
    let late =
        daemon.answers.iter().filter(|(_, answer)| answer.reason == Some(RefusalReason::Deadline));
    assert_eq!(late.count(), 0, "nobody is held to the deadline");
    let answered = Some((OutcomeKind::Answered, None));
    let served = let_in.iter().filter(|call| daemon.answer(**call) == answered).count();
    assert_eq!(served, let_in.len(), "later ones don't take the places of those that wait");
    assert!(refused > 200 && sent >= 5, "{refused} refused, {sent} sent");
}

/// Guards against requests that wait for an upstream's next place while later ones take it.
#[test]
fn place_goes_to_the_request_that_has_waited() {
    let limiter = Arc::new(RateLimiter::default());
    let declarations = read("", "first").expect("declarations");
    let mut list = UpstreamDirectory::default();
    list.replace(1, vec![(1, limited_upstream::entry(LIMITED))], None);
    let start = MonotonicTime::from_millis(10_000);
    let router = UpstreamRouter::new("z0", 1).limiter(Arc::clone(&limiter));
    let router = router.reconfigured(&declarations, &list, start);
    let name = limited_upstream::entry(LIMITED).name();
    limiter.record_notice(&name, RateNotice::Limited(rate(1.0)), start, start);
    let request = |call| SlotRequest {
        call: CallId(call),
        branch: 0,
        stage: "notify".to_owned(),
        level: 0,
        deadline: start + Duration::from_secs(6),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: RequestDigest::of(&[b"request"]),
        allowed_regions: AllowedRegions::default(),
    };
    assert_eq!(router.acquire(request(1), start).map(|grant| grant.is_some()), Ok(false));
    let place = start + Duration::from_millis(1_010);
    assert_eq!(router.acquire(request(2), place).map(|grant| grant.is_some()), Ok(false));
    let granted: Vec<u64> =
        router.serve_all_waiting(place).iter().map(|grant| grant.request.call.0).collect();
    assert_eq!(granted, [1]);
}

/// Guards against a chain of steps that is begun although no engine takes its last one.
#[test]
fn chained_request_beyond_the_rates_does_not_begin() {
    let mut daemon = settled();
    for engine in ["r1", "r2"] {
        hear(&mut daemon, engine, limited(0.0));
    }
    let call = daemon.submit("/digest/it");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
    assert!(daemon.batches.is_empty(), "no pieces are made in vain");
}

/// Guards against streams that go on at a limited engine without being counted.
#[test]
fn resumed_streams_keep_to_the_rate() {
    let mut daemon = settled();
    hear(&mut daemon, "r1", limited(0.5));
    let mut asked = Vec::new();
    for _ in 0..40 {
        daemon.submit("/digest/it");
        for _ in 0..10 {
            while !daemon.batches.is_empty() {
                daemon.complete_batch();
            }
            for relay in std::mem::take(&mut daemon.relays) {
                asked.push(relay.upstream.clone());
                daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
                // It is cut, and goes on at another engine.
                let cut = crocusdale_core::pipeline::BreakReason::Cut;
                daemon.attempt(relay.attempt, AttemptEvent::Broken(cut));
            }
            daemon.advance(10);
        }
    }
    assert!(count_of(&asked, "r2") > 20, "streams are sent");
    assert!(count_of(&asked, "r1") <= 4, "{} in 4 s", count_of(&asked, "r1"));
}

/// Guards against a dispatcher that calls a limited upstream as soon as it is free, and tells it of each
/// result besides.
#[test]
fn batched_upstream_that_names_a_rate_gets_as_many_calls() {
    let mut daemon = settled();
    hear(&mut daemon, "s1", limited(1.0));
    let (mut calls, mut others) = (0, 0);
    for round in 0..40 {
        for _ in 0..10 {
            daemon.submit("/digest/it");
        }
        daemon.advance(200);
        while let Some(batch) = daemon.batches.first() {
            calls += usize::from(batch.upstream == "s1");
            others += usize::from(batch.upstream == "s2");
            daemon.complete_batch();
        }
        // The dispatcher before it may call it for two seconds more.
        assert!(calls == 0 || round >= 10, "called in round {round}");
        daemon.relays.clear();
    }
    // Eight seconds, of which a dispatcher waits two for the one before it.
    assert!((4..=8).contains(&calls), "{calls} calls in 8 s");
    assert!(others > 20, "the other one works: {others}");
    assert!(!daemon.excluded_addresses.is_empty(), "it is not told of results");
}

/// Name of the limited upstream of a single daemon.
const LIMITED_HERE: &str = "n1";

/// Guards against a limit of the process that had the id before.
#[test]
fn upstream_that_starts_again_has_said_nothing() {
    let mut upstream = RateLimitedFleet::new(6, 1, 1);
    upstream.deliver_notice(0, limited(0.0));
    upstream.run(Duration::from_secs(3));
    assert_eq!(upstream.informed_daemons(), 6);
    upstream.restart_upstream();
    upstream.run(Duration::from_secs(3));
    upstream.load = 60.0;
    let from = upstream.fleet.now;
    upstream.run(Duration::from_secs(5));
    assert!(
        upstream.arrival_rate(from) > 10.0,
        "{LIMITED} in its next life: {}",
        upstream.arrival_rate(from)
    );
}
