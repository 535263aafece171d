//! Rate limits that upstreams announce for the requests of all daemons together.

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
use crocusdale_core::streams::AllowedVersion;

use forward_daemon::{Daemon, read};
use limited_upstream::{LIMITED, RateLimitedFleet, max_allowed_requests};
use support::vm_name;

/// Rate limits of upstreams, in requests a second.
const RATES: [f64; 10] = [0.0, 0.1, 0.2, 0.5, 1.0, 2.5, 7.0, 20.0, 100.0, 1_000.0];
/// Numbers of daemons in a fleet.
const FLEET_SIZES: [usize; 9] = [1, 2, 3, 6, 7, 20, 74, 195, 410];

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn rate_notice(per_second: f64) -> UpstreamNotice {
    let rate = RateNotice::Limited(rate(per_second));
    UpstreamNotice { rate, ..UpstreamNotice::default() }
}

/// Handles a notice of `upstream` in the answer to a request that was sent now.
fn handle_notice(daemon: &mut Daemon, upstream: &str, notice: UpstreamNotice) {
    let sent = daemon.now;
    handle_late_notice(daemon, upstream, notice, sent);
}

fn handle_late_notice(
    daemon: &mut Daemon,
    upstream: &str,
    notice: UpstreamNotice,
    sent: MonotonicTime,
) {
    let upstream = upstream.to_owned();
    daemon.feed(DaemonEvent::UpstreamNoticed { upstream, notice, sent });
}

/// The only daemon of a fleet, 4 s after its start, with the upstreams `n1` and `n2`.
fn settled_daemon() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.advance(4_000);
    daemon.publish(&["n1", "n2"], &[]);
    daemon
}

/// Sends a request every 20 ms for `millis` milliseconds. Returns the upstreams that got them.
fn send_requests_for(daemon: &mut Daemon, millis: u64) -> Vec<String> {
    let mut called_upstreams = Vec::new();
    for _ in 0..millis / 20 {
        daemon.submit("/ask/it");
        called_upstreams.extend(answer_relays(daemon));
        daemon.advance(20);
        called_upstreams.extend(answer_relays(daemon));
    }
    called_upstreams
}

fn answer_relays(daemon: &mut Daemon) -> Vec<String> {
    let mut called_upstreams = Vec::new();
    for relay in std::mem::take(&mut daemon.relays) {
        called_upstreams.push(relay.upstream.clone());
        daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
        daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
    }
    called_upstreams
}

fn count_calls(called_upstreams: &[String], upstream: &str) -> usize {
    called_upstreams.iter().filter(|each| *each == upstream).count()
}

/// Guards against an upstream that announces a rate limit and gets as many requests as before.
#[test]
fn requests_of_all_daemons_stay_within_the_rate_limit() {
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
            "{size} daemons, limit {per_second} a second: {most} requests in a window"
        );
    }
}

/// Guards against quotas whose sum exceeds the rate limit. Every daemon uses its full burst at one
/// moment, goes on at its rate, and writes each request as late as it may.
#[test]
fn quotas_of_all_daemons_stay_within_the_rate_limit() {
    let longest = (LIMIT_WINDOW + CONNECT_TIMEOUT).as_secs_f64();
    for size in FLEET_SIZES {
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
                "{size} daemons, limit {per_second} a second: sum of quotas {sum}"
            );
            let used: f64 = quotas.iter().map(|quota| quota.per_second).sum();
            assert!(
                used > 0.999 * per_second,
                "{size} daemons, limit {per_second} a second: only {used} usable"
            );
            let sole = RateQuota::new(rate(per_second), hash, &shares[0], RateUse::Sole);
            // The dispatchers before and after a change may each use a full burst.
            let sole = sole.expect("a dispatcher has a quota");
            let sum = 2.0 * f64::from(sole.depth) + sole.per_second * longest;
            assert!(
                sum.floor() as usize <= max_allowed_requests(per_second),
                "dispatcher, limit {per_second} a second: quota {sum}"
            );
        }
    }
}

/// Guards against a daemon that exceeds its share because it knows more daemons than its peers do.
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
            assert!(
                after.0 <= before.0 && after.1 <= before.1,
                "{known} daemons known, limit {per_second} a second: {before:?} to {after:?}"
            );
        }
    }
}

/// Guards against daemons that learn of a rate limit too late. One daemon gets it in an answer, and
/// each step of its propagation takes its longest time: updates are collected, and are late to
/// reach the readers; each daemon has just queried its reader, and its next query and the reply are
/// late; requests chosen a moment before are written as late as they may be.
#[test]
fn longest_times_of_all_parts_add_up_to_less_than_the_bound() {
    for (size, seeds) in [(6, 12), (60, 3), (410, 1)] {
        let mut longest_time = Duration::ZERO;
        for seed in 0..seeds {
            let mut upstream = RateLimitedFleet::new(size, 2, seed);
            upstream.fleet.restrict_gossip_to_readers();
            upstream.fleet.heartbeats_are_late = true;
            upstream.deliver_notice(seed as usize % size, rate_notice(1.0));
            let notice_time = upstream.fleet.now;
            while upstream.informed_daemons() < size {
                upstream.run(Duration::from_millis(10));
                assert!(upstream.fleet.now.since(notice_time) < Duration::from_secs(20));
            }
            longest_time = longest_time.max(upstream.fleet.now.since(notice_time));
        }
        let sum = longest_time + CONNECT_TIMEOUT;
        println!("{size} daemons: {sum:?}");
        assert!(sum < StalenessBounds::default().recovery_time, "{size} daemons: {sum:?} in all");
    }
}

/// Guards against more requests than the rate limit allows from all daemons, also from those that
/// got no answer with the limit, where updates and writes are as late as they may be.
#[test]
fn all_daemons_keep_the_rate_limit_with_late_updates_and_writes() {
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
        let informed_requests = upstream.max_of_informed(bound_from);
        assert!(
            informed_requests <= max_allowed_requests(per_second),
            "{size} daemons: {informed_requests} requests of daemons that know the limit"
        );
        let all = upstream.max_in_window(bound_from, |arrival| arrival.at >= bound_from);
        assert!(
            all <= max_allowed_requests(per_second),
            "{size} daemons: {all} requests in a window"
        );
    }
}

/// Guards against a limited upstream that stays idle although requests are queued, where most
/// daemons have no share of its rate.
#[test]
fn announced_rate_is_used_up() {
    for (size, load) in [(3, 30.0), (6, 30.0), (74, 200.0), (410, 600.0)] {
        let mut upstream = RateLimitedFleet::new(size, 0, 5);
        upstream.load = load;
        upstream.announce_rate(1.0);
        upstream.run(Duration::from_secs(8));
        let from = upstream.fleet.now;
        upstream.run(Duration::from_secs(20));
        let used = upstream.arrival_rate(from);
        assert!((0.9..=1.1).contains(&used), "{size} daemons: {used} requests a second");
    }
}

/// Guards against a rate that goes unused while some daemons are partitioned, restart or have just
/// joined.
#[test]
fn rate_is_used_while_some_daemons_are_unreachable() {
    let mut upstream = RateLimitedFleet::new(12, 2, 5);
    upstream.load = 100.0;
    upstream.announce_rate(2.0);
    upstream.run(Duration::from_secs(5));
    upstream.fleet.partitioned.extend([0, 1]);
    upstream.fleet.restart(2);
    let bound_from = upstream.fleet.now;
    upstream.run(Duration::from_secs(20));
    let used = upstream.arrival_rate(bound_from);
    assert!((1.0..=2.2).contains(&used), "{used} requests a second");
    let all = upstream.max_in_window(bound_from + LIMIT_WINDOW, |_| true);
    assert!(all <= max_allowed_requests(2.0), "{all} requests in a window");
}

/// Guards against a rate limit that never ends. Daemons without a share send no requests to the
/// upstream, so no answer tells them that the limit has ended.
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
        assert_eq!(upstream.informed_daemons(), 0, "none of {size} daemons may keep the limit");
        let from = upstream.fleet.now;
        upstream.run(Duration::from_secs(5));
        assert!(
            upstream.arrival_rate(from) > load / 6.0,
            "{size} daemons: {}",
            upstream.arrival_rate(from)
        );
    }
}

/// Guards against a restarted daemon that serves before it has learned of a rate limit.
#[test]
fn restarted_daemon_knows_the_rate_limit_before_it_serves() {
    let mut upstream = RateLimitedFleet::new(6, 2, 1);
    upstream.deliver_notice(3, rate_notice(1.0));
    upstream.run(Duration::from_secs(3));
    upstream.fleet.restart(0);
    while !upstream.fleet.cores[0].is_ready() {
        upstream.run(Duration::from_millis(10));
    }
    assert_eq!(upstream.informed_daemons(), 6);
}

/// Guards against an outdated answer that ends or raises a rate limit. Its request was sent before
/// the upstream set the limit, and it arrives after the answer that announces the limit.
#[test]
fn outdated_answer_does_not_end_a_limit() {
    let mut daemon = settled_daemon();
    let before = daemon.now;
    daemon.advance(100);
    handle_notice(&mut daemon, LIMITED_UPSTREAM, rate_notice(0.5));
    handle_late_notice(&mut daemon, LIMITED_UPSTREAM, UpstreamNotice::default(), before);
    handle_late_notice(&mut daemon, LIMITED_UPSTREAM, rate_notice(50.0), before);
    let called_upstreams = send_requests_for(&mut daemon, 4_000);
    assert!(
        count_calls(&called_upstreams, LIMITED_UPSTREAM) <= 3,
        "{} requests",
        count_calls(&called_upstreams, LIMITED_UPSTREAM)
    );
    handle_notice(&mut daemon, LIMITED_UPSTREAM, UpstreamNotice::default());
    assert!(count_calls(&send_requests_for(&mut daemon, 1_000), LIMITED_UPSTREAM) > 10);
}

/// Guards against a rate limit that is lost when the upstream's entry expires and returns.
#[test]
fn limit_outlasts_the_return_of_an_entry() {
    let mut daemon = settled_daemon();
    handle_notice(&mut daemon, LIMITED_UPSTREAM, rate_notice(0.5));
    daemon.publish(&["n2"], &[]);
    daemon.advance(3_000);
    daemon.publish(&["n1", "n2"], &[]);
    assert!(count_calls(&send_requests_for(&mut daemon, 2_000), LIMITED_UPSTREAM) <= 3);
}

/// Guards against requests that wait for their deadline at a limited upstream. A request that can
/// get no slot before its deadline is refused at once, with the time at which a slot is free.
#[test]
fn request_beyond_the_rate_limit_is_refused_at_once() {
    let mut daemon = settled_daemon();
    daemon.publish(&["n1"], &[]);
    handle_notice(&mut daemon, "n1", rate_notice(0.93));
    daemon.advance(1_000);
    let (mut refused, mut sent, mut admitted) = (0, 0, Vec::new());
    for _ in 0..300 {
        let call = daemon.submit("/ask/it");
        if daemon.answer(call).is_some() {
            let answer = &daemon.answers.last().expect("the refusal").1;
            assert_eq!(answer.kind, OutcomeKind::Refused);
            assert_eq!(answer.reason, Some(RefusalReason::Overload));
            assert!(answer.retry_after.is_some_and(|after| !after.is_zero()));
            refused += 1;
        } else {
            admitted.push(call);
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
    assert_eq!(late.count(), 0, "no request may wait for its deadline");
    let answered = Some((OutcomeKind::Answered, None));
    let served = admitted.iter().filter(|call| daemon.answer(**call) == answered).count();
    assert_eq!(served, admitted.len(), "all queued requests must be answered");
    assert!(refused > 200 && sent >= 5, "{refused} refused, {sent} sent");
}

/// Guards against later requests that take an upstream's next slot from a queued one.
#[test]
fn next_slot_goes_to_the_queued_request() {
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
        allowed_version: AllowedVersion::Any,
    };
    assert_eq!(router.acquire(request(1), start).map(|grant| grant.is_some()), Ok(false));
    let place = start + Duration::from_millis(1_010);
    assert_eq!(router.acquire(request(2), place).map(|grant| grant.is_some()), Ok(false));
    let granted: Vec<u64> =
        router.serve_all_waiting(place).iter().map(|grant| grant.request.call.0).collect();
    assert_eq!(granted, [1]);
}

/// Guards against a multi-step request that starts although no engine accepts its last step.
#[test]
fn chained_request_beyond_the_rate_limit_does_not_start() {
    let mut daemon = settled_daemon();
    for engine in ["r1", "r2"] {
        handle_notice(&mut daemon, engine, rate_notice(0.0));
    }
    let call = daemon.submit("/digest/it");
    assert_eq!(daemon.answer(call), Some((OutcomeKind::Refused, Some(RefusalReason::Overload))));
    assert!(daemon.batches.is_empty(), "no piece may be sent to a batched upstream");
}

/// Guards against streams that resume at a limited engine without counting against its rate limit.
#[test]
fn resumed_streams_count_against_the_rate_limit() {
    let mut daemon = settled_daemon();
    handle_notice(&mut daemon, "r1", rate_notice(0.5));
    let mut called_upstreams = Vec::new();
    for _ in 0..40 {
        daemon.submit("/digest/it");
        for _ in 0..10 {
            while !daemon.batches.is_empty() {
                daemon.complete_batch();
            }
            for relay in std::mem::take(&mut daemon.relays) {
                called_upstreams.push(relay.upstream.clone());
                daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
                // The connection breaks, and another engine resumes the stream.
                let cut = crocusdale_core::pipeline::BreakReason::Cut;
                daemon.attempt(relay.attempt, AttemptEvent::Broken(cut));
            }
            daemon.advance(10);
        }
    }
    assert!(count_calls(&called_upstreams, "r2") > 20, "streams must be sent to r2");
    assert!(
        count_calls(&called_upstreams, "r1") <= 4,
        "{} requests to r1 in 4 s",
        count_calls(&called_upstreams, "r1")
    );
}

/// Guards against a dispatcher that calls a limited upstream as soon as it is idle, and sends it
/// requests to free results on top.
#[test]
fn calls_of_a_batched_upstream_stay_within_the_rate_limit() {
    let mut daemon = settled_daemon();
    handle_notice(&mut daemon, "s1", rate_notice(1.0));
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
        // The dispatcher before this one may send calls for two more seconds.
        assert!(calls == 0 || round >= 10, "s1 was called in round {round}");
        daemon.relays.clear();
    }
    // The test takes 8 s, of which a dispatcher waits 2 s for the one before it.
    assert!((4..=8).contains(&calls), "{calls} calls in 8 s");
    assert!(others > 20, "calls to s2: {others}");
    assert!(!daemon.excluded_addresses.is_empty(), "no request to free results may be sent to s1");
}

/// Name of the limited upstream in tests with a single daemon.
const LIMITED_UPSTREAM: &str = "n1";

/// Guards against a rate limit that outlasts the process which announced it.
#[test]
fn rate_limit_ends_with_its_process() {
    let mut upstream = RateLimitedFleet::new(6, 1, 1);
    upstream.deliver_notice(0, rate_notice(0.0));
    upstream.run(Duration::from_secs(3));
    assert_eq!(upstream.informed_daemons(), 6);
    upstream.restart_upstream();
    upstream.run(Duration::from_secs(3));
    upstream.load = 60.0;
    let from = upstream.fleet.now;
    upstream.run(Duration::from_secs(5));
    assert!(
        upstream.arrival_rate(from) > 10.0,
        "restarted {LIMITED}: {} requests a second",
        upstream.arrival_rate(from)
    );
}
