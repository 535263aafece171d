//! Tests of cold upstreams: upstreams that have just started and accept only a limited request rate
//! from all daemons together.

mod support;

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, ColdRules, Declarations, DeclarationsBuilder, EngineRules, PoolKind, StageRules,
};
use crocusdale_core::identity::{CallId, MonotonicTime, RequestDigest};
use crocusdale_core::membership::KnownDaemons;
use crocusdale_core::rate_limiting::{RateLimiter, RateShare};
use crocusdale_core::routing::{
    AttemptReport, CONNECT_TIMEOUT, ColdLimits, ColdUpstream, DirectoryEntry, SlotRequest,
    UpstreamDirectory, UpstreamRouter,
};
use crocusdale_core::streams::AllowedVersion;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use support::virtual_fleet::VirtualFleet;

/// Duration of a cold start and request rate of a cold engine.
const COLD_RULES: ColdRules = ColdRules { duration: Duration::from_secs(3), requests_per_s: 22.0 };
const COLD_LIMITS: ColdLimits = ColdLimits { overshoot: 1.5, slack: 5.0 };
/// Maximum number of requests to a cold engine within one second: 22 * 1.5 + 5.
const MAX_REQUESTS_PER_SECOND: u32 = 38;
/// Interval between two requests of one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn declarations() -> Declarations {
    let rules = EngineRules { slots: 128, token_memory: 500_000 };
    let stage = StageRules::published(PoolKind::Engine(rules), None).cold(Some(COLD_RULES));
    DeclarationsBuilder::new("test", Duration::from_secs(1)).stage("reader", stage).build()
}

fn entry(id: &str) -> (u64, DirectoryEntry) {
    let entry = DirectoryEntry {
        id: id.to_owned(),
        started_at_ms: Some(1),
        pool: "reader".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 128,
        leaving: false,
        software_version: None,
    };
    (1, entry)
}

fn directory(position: u64, ids: &[&str]) -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    directory.replace(position, ids.iter().map(|id| entry(id)).collect(), None);
    directory
}

fn names(daemons: usize) -> Vec<String> {
    (0..daemons).map(|index| format!("entry-{index}")).collect()
}

/// Creates the router of the daemon at `index` of `names`, with the warm engine `old` as its only
/// upstream.
fn router(names: &[String], index: usize) -> UpstreamRouter {
    let limiter = RateLimiter::default();
    limiter.set_share(RateShare::new(&names[index], names.iter().map(String::as_str)));
    let router = UpstreamRouter::new("a", index as u64).cold_limits(COLD_LIMITS);
    let router = router.limiter(Arc::new(limiter));
    router.set_daemons(names.len());
    router.reconfigured(&declarations(), &directory(1, &["old"]), MonotonicTime::from_millis(0))
}

fn request(number: u64, now: MonotonicTime) -> SlotRequest {
    SlotRequest {
        call: CallId(number),
        branch: 0,
        stage: "reader".to_owned(),
        level: 0,
        deadline: now + Duration::from_secs(6),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: RequestDigest::of(&[b"request"]),
        allowed_regions: AllowedRegions::default(),
        allowed_version: AllowedVersion::Any,
    }
}

/// Returns the largest number of `times` that lie within one second.
fn max_within_one_second(mut times: Vec<MonotonicTime>) -> usize {
    times.sort_unstable();
    let second = Duration::from_secs(1);
    let count_from = |index: usize| {
        times[index..].iter().take_while(|each| each.since(times[index]) < second).count()
    };
    (0..times.len()).map(count_from).max().unwrap_or_default()
}

/// Guards against rate shares of the daemons whose sum exceeds the limit, in fleets of any size.
#[test]
fn shares_of_all_daemons_sum_to_at_most_the_limit() {
    for daemons in [1, 3, 6, 20, 37, 38, 39, 74, 195, 410] {
        let names = names(daemons);
        let shares: Vec<RateShare> = names
            .iter()
            .map(|name| RateShare::new(name, names.iter().map(String::as_str)))
            .collect();
        for upstream in 0..100_u64 {
            let hash = upstream.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let sum: u32 =
                shares.iter().map(|share| share.request_share(hash, MAX_REQUESTS_PER_SECOND)).sum();
            assert!(
                sum <= MAX_REQUESTS_PER_SECOND,
                "{daemons} daemons, upstream {upstream}: shares sum to {sum}, above the limit"
            );
            assert!(
                sum > MAX_REQUESTS_PER_SECOND / 2,
                "{daemons} daemons, upstream {upstream}: shares sum to {sum}, half the limit or less"
            );
        }
    }
}

/// Guards against a daemon that uses a larger share because it knows more daemons than others.
#[test]
fn knowing_more_daemons_never_increases_a_share() {
    let names = names(120);
    for upstream in 0..200_u64 {
        let share = |known: usize| {
            RateShare::new(&names[0], names[..known].iter().map(String::as_str))
                .request_share(upstream, MAX_REQUESTS_PER_SECOND)
        };
        for known in 1..120 {
            assert!(
                share(known + 1) <= share(known),
                "share grew from {known} known daemons to one more, upstream {upstream}"
            );
        }
    }
}

/// Guards against a thundering herd on an engine that starts while every daemon has more requests
/// than it can send. Each request is written either at once or after the longest possible delay.
#[test]
fn delayed_writes_of_all_daemons_stay_within_the_limit() {
    for daemons in [6, 74, 410] {
        let names = names(daemons);
        let mut random = SmallRng::seed_from_u64(daemons as u64);
        let mut writes = Vec::new();
        for index in 0..daemons {
            let offset = Duration::from_millis(random.random_range(0..200));
            let start = MonotonicTime::from_start(Duration::from_secs(10) + offset);
            let list = directory(2, &["old", "new"]);
            let router = router(&names, index).reconfigured(&declarations(), &list, start);
            let mut now = start;
            for number in 0..50 {
                now = now + REQUEST_INTERVAL;
                let Ok(Some(grant)) = router.acquire(request(number, now), now) else { continue };
                if grant.upstream.starts_with("new") && now.since(start) < COLD_RULES.duration {
                    let is_delayed = random.random_bool(0.5);
                    writes.push(if is_delayed { now + CONNECT_TIMEOUT } else { now });
                }
                router.release(&grant.upstream, grant.request.call, AttemptReport::Unmeasured, now);
            }
        }
        let max_requests = max_within_one_second(writes);
        assert!(
            max_requests <= MAX_REQUESTS_PER_SECOND as usize,
            "{daemons} daemons: {max_requests} requests within one second exceed the limit"
        );
        assert!(max_requests > 0, "{daemons} daemons: the cold engine got no request");
    }
}

/// Guards against requests from the queue that are not counted against the limit of a cold engine.
/// They are granted when a slot becomes free, not when they arrive.
#[test]
fn queued_requests_stay_within_the_limit() {
    let names = names(74);
    let start = MonotonicTime::from_millis(10_000);
    let mut sent = 0;
    for index in 0..74 {
        let list = directory(2, &["new"]);
        let router = router(&names, index).reconfigured(&declarations(), &list, start);
        for number in 0..20 {
            sent += usize::from(
                router.acquire(request(number, start), start).is_ok_and(|grant| grant.is_some()),
            );
        }
        sent += router.serve_all_waiting(start + Duration::from_millis(900)).len();
    }
    assert!(
        sent <= MAX_REQUESTS_PER_SECOND as usize,
        "expected at most {MAX_REQUESTS_PER_SECOND} requests, got {sent}"
    );
}

/// Guards against requests that exceed the limit because a new daemon takes a share. It may not
/// know all daemons yet, and the others may not know it.
#[test]
fn daemon_with_withheld_share_sends_nothing_to_cold_upstreams() {
    let share = RateShare::new("entry-0", std::iter::empty()).withheld(true);
    assert_eq!(share.request_share(7, MAX_REQUESTS_PER_SECOND), 0);
}

/// Guards against too many requests to an engine that crashed and restarted under the same id and
/// address, before the restart is published.
#[test]
fn failed_engine_is_limited_as_if_it_had_restarted() {
    let names = names(6);
    let router = router(&names, 0);
    let now = MonotonicTime::from_millis(10_000);
    let grant = router
        .acquire(request(1, now), now)
        .ok()
        .flatten()
        .expect("the warm engine has a free slot");
    router.release(&grant.upstream, grant.request.call, AttemptReport::Failed, now);
    let granted = (2..40).filter(|number| {
        router.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
    });
    assert!(
        granted.count() < MAX_REQUESTS_PER_SECOND as usize / 6,
        "the daemon has a sixth of {MAX_REQUESTS_PER_SECOND} requests, and has used one"
    );
    let later = now + COLD_RULES.duration;
    assert!(router.acquire(request(90, later), later).is_ok_and(|grant| grant.is_some()));
}

/// Guards against limits on engines that were running before the daemon started. The first list of
/// upstreams is no evidence that any of them has just started.
#[test]
fn engines_of_the_first_directory_are_not_limited() {
    let names = names(6);
    let router = router(&names, 0);
    let now = MonotonicTime::from_millis(0);
    let granted = (0..40).filter(|number| {
        router.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
    });
    assert_eq!(granted.count(), 40);
}

/// Guards against too many requests to an engine that becomes cold again without a restart, and
/// publishes it.
#[test]
fn engine_that_becomes_cold_again_is_limited_by_daemons_and_their_peers() {
    let mut known = directory(1, &["old"]);
    let now = MonotonicTime::from_millis(10_000);
    let cold = ColdUpstream { name: entry("old").1.name(), remaining: Duration::from_secs(2) };
    assert!(known.record_cold(vec![cold.clone()], now));
    assert!(!known.record_cold(vec![cold.clone()], now), "a repeated report changes nothing");
    let mut peer = directory(1, &["old"]);
    assert!(peer.merge(known.snapshot(now + Duration::from_secs(1)), now));
    for (list, until) in [(known, 12_000), (peer, 11_000)] {
        assert_eq!(list.cold_until(&cold.name), Some(MonotonicTime::from_millis(until)));
        let router = router(&names(74), 0).reconfigured(&declarations(), &list, now);
        let granted = (0..40).filter(|number| {
            router.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
        });
        assert!(granted.count() <= 1);
    }
}

/// Guards against a partition in which daemons drop unreachable peers and divide the limit of an
/// engine among the rest only. The other side of the partition still uses its shares.
#[test]
fn unreachable_daemons_keep_their_share() {
    let mut known = KnownDaemons::default();
    let (all, reachable) = (names(74), names(50));
    assert!(known.update(all.iter().map(String::as_str), MonotonicTime::from_millis(0)));
    for second in 1..500 {
        let now = MonotonicTime::from_millis(second * 1_000);
        known.update(reachable.iter().map(String::as_str), now);
        assert_eq!(known.names().count(), 74, "after {second} s");
    }
}

/// Guards against shares that are too large because a daemon counts fewer daemons than exist, after
/// the membership has converged.
#[test]
fn daemons_know_each_other_after_convergence() {
    for size in [6, 74, 250] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_millis(4_100));
        for core in &fleet.cores {
            assert_eq!(
                core.dump(fleet.now).sharing_daemons,
                size,
                "{size} daemons, after the start"
            );
        }
        for index in 0..size / 2 {
            fleet.restart(index);
        }
        fleet.run(Duration::from_millis(8_500));
        for core in &fleet.cores {
            assert_eq!(
                core.dump(fleet.now).sharing_daemons,
                size,
                "{size} daemons, after half of them restarted"
            );
        }
    }
}

/// Guards against too many requests to engines that return cold after the evacuation of all their
/// availability zones. The daemon knew these engines before the pool became empty.
#[test]
fn engines_that_return_to_an_empty_pool_are_limited() {
    let names = names(74);
    let now = MonotonicTime::from_millis(10_000);
    let emptied = router(&names, 0).reconfigured(&declarations(), &directory(2, &[]), now);
    let reopened = emptied.reconfigured(&declarations(), &directory(3, &["old"]), now);
    let granted = (0..40).filter(|number| {
        reopened.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
    });
    assert!(granted.count() <= 1);
}
