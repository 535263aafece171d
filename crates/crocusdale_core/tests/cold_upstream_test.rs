//! Upstreams that have just started and take few requests a second from all daemons together.

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

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use support::virtual_fleet::VirtualFleet;

/// What an engine takes while it is cold.
const COLD: ColdRules = ColdRules { duration: Duration::from_secs(3), requests_per_s: 22.0 };
const LIMITS: ColdLimits = ColdLimits { overshoot: 1.5, slack: 5.0 };
/// Requests in one second that follow from these.
const BOUND: u32 = 38;
/// Pause between two requests of one daemon.
const REQUEST_PACE: Duration = Duration::from_millis(50);

fn declarations() -> Declarations {
    let rules = EngineRules { slots: 128, token_memory: 500_000 };
    let stage = StageRules::published(PoolKind::Engine(rules), None).cold(Some(COLD));
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

/// The router of the daemon at `index` of `names`, before the engine `old`, which is warm.
fn router(names: &[String], index: usize) -> UpstreamRouter {
    let limiter = RateLimiter::default();
    limiter.set_share(RateShare::new(&names[index], names.iter().map(String::as_str)));
    let router = UpstreamRouter::new("a", index as u64).cold_limits(LIMITS);
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
    }
}

/// Most of `times` within one second.
fn most_in_a_second(mut times: Vec<MonotonicTime>) -> usize {
    times.sort_unstable();
    let second = Duration::from_secs(1);
    let from = |index: usize| {
        times[index..].iter().take_while(|each| each.since(times[index]) < second).count()
    };
    (0..times.len()).map(from).max().unwrap_or_default()
}

/// Guards against daemons whose shares come to more than the bound, in fleets of any size.
#[test]
fn shares_of_all_daemons_come_to_the_bound_at_most() {
    for daemons in [1, 3, 6, 20, 37, 38, 39, 74, 195, 410] {
        let names = names(daemons);
        let shares: Vec<RateShare> = names
            .iter()
            .map(|name| RateShare::new(name, names.iter().map(String::as_str)))
            .collect();
        for upstream in 0..100_u64 {
            let hash = upstream.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let sum: u32 = shares.iter().map(|share| share.request_share(hash, BOUND)).sum();
            assert!(sum <= BOUND, "{daemons} daemons, upstream {upstream}: {sum}");
            assert!(sum > BOUND / 2, "{daemons} daemons, upstream {upstream}: {sum} only");
        }
    }
}

/// Guards against a daemon that takes a larger share because it knows daemons that others don't.
#[test]
fn knowing_more_daemons_never_raises_a_share() {
    let names = names(120);
    for upstream in 0..200_u64 {
        let share = |known: usize| {
            RateShare::new(&names[0], names[..known].iter().map(String::as_str))
                .request_share(upstream, BOUND)
        };
        for known in 1..120 {
            assert!(share(known + 1) <= share(known), "{known} known, upstream {upstream}");
        }
    }
}

/// Guards against a herd: every daemon has more requests than it can place, and an engine starts. Each
/// request is written as late after its choice as it may be, or at once.
#[test]
fn longest_delays_of_all_daemons_keep_the_bound() {
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
                now = now + REQUEST_PACE;
                let Ok(Some(grant)) = router.acquire(request(number, now), now) else { continue };
                if grant.upstream.starts_with("new") && now.since(start) < COLD.duration {
                    let late = random.random_bool(0.5);
                    writes.push(if late { now + CONNECT_TIMEOUT } else { now });
                }
                router.release(&grant.upstream, grant.request.call, AttemptReport::Unmeasured, now);
            }
        }
        let most = most_in_a_second(writes);
        assert!(most <= BOUND as usize, "{daemons} daemons: {most}");
        assert!(most > 0, "{daemons} daemons: an engine that nobody calls");
    }
}

/// Guards against a request that waits, is handed to a cold engine as soon as that has room, and is not
/// counted there.
#[test]
fn waiting_requests_keep_the_bound() {
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
    assert!(sent <= BOUND as usize, "{sent}");
}

/// Guards against requests of a daemon that has just started: others may not know it, or it them.
#[test]
fn daemon_that_has_started_sends_nothing_to_cold_upstreams() {
    let share = RateShare::new("entry-0", std::iter::empty()).withheld(true);
    assert_eq!(share.request_share(7, BOUND), 0);
}

/// Guards against an engine that crashed and starts again under its id and address, before that is
/// published.
#[test]
fn engine_that_failed_may_have_started_again() {
    let names = names(6);
    let router = router(&names, 0);
    let now = MonotonicTime::from_millis(10_000);
    let grant = router.acquire(request(1, now), now).ok().flatten().expect("a warm engine");
    router.release(&grant.upstream, grant.request.call, AttemptReport::Failed, now);
    let granted = (2..40).filter(|number| {
        router.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
    });
    assert!(granted.count() < BOUND as usize / 6, "of its share, one is used up");
    let later = now + COLD.duration;
    assert!(router.acquire(request(90, later), later).is_ok_and(|grant| grant.is_some()));
}

/// Guards against limits on engines that were there before a daemon started: it knows of no start.
#[test]
fn first_list_names_no_engine_that_may_have_started() {
    let names = names(6);
    let router = router(&names, 0);
    let now = MonotonicTime::from_millis(0);
    let granted = (0..40).filter(|number| {
        router.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
    });
    assert_eq!(granted.count(), 40);
}

/// Guards against an engine that publishes that it is cold again, without another start.
#[test]
fn engine_that_turns_cold_again_is_spared_by_daemons_and_their_peers() {
    let mut known = directory(1, &["old"]);
    let now = MonotonicTime::from_millis(10_000);
    let cold = ColdUpstream { name: entry("old").1.name(), remaining: Duration::from_secs(2) };
    assert!(known.record_cold(vec![cold.clone()], now));
    assert!(!known.record_cold(vec![cold.clone()], now), "that is no news");
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

/// Guards against a part of the fleet that forgets the daemons which it can't reach, and shares what an
/// engine takes among the rest.
#[test]
fn daemons_that_cannot_be_reached_keep_their_share() {
    let mut known = KnownDaemons::default();
    let (all, reachable) = (names(74), names(50));
    assert!(known.update(all.iter().map(String::as_str), MonotonicTime::from_millis(0)));
    for second in 1..500 {
        let now = MonotonicTime::from_millis(second * 1_000);
        known.update(reachable.iter().map(String::as_str), now);
        assert_eq!(known.names().count(), 74, "after {second} s");
    }
}

/// Guards against daemons that share by fewer members than there are, once they have settled.
#[test]
fn settled_daemons_know_each_other() {
    for size in [6, 74, 250] {
        let mut fleet = VirtualFleet::new(size);
        fleet.run(Duration::from_millis(4_100));
        for core in &fleet.cores {
            assert_eq!(core.dump(fleet.now).sharing_daemons, size, "{size} daemons");
        }
        for index in 0..size / 2 {
            fleet.restart(index);
        }
        fleet.run(Duration::from_millis(8_500));
        for core in &fleet.cores {
            assert_eq!(core.dump(fleet.now).sharing_daemons, size, "half of {size} restarted");
        }
    }
}

/// Guards against engines of zones that were evacuated all at once, and are opened cold: the pool was empty,
/// but its engines were known.
#[test]
fn engines_of_an_emptied_pool_may_have_started_again() {
    let names = names(74);
    let now = MonotonicTime::from_millis(10_000);
    let empty = router(&names, 0).reconfigured(&declarations(), &directory(2, &[]), now);
    let opened = empty.reconfigured(&declarations(), &directory(3, &["old"]), now);
    let granted = (0..40).filter(|number| {
        opened.acquire(request(*number, now), now).is_ok_and(|grant| grant.is_some())
    });
    assert!(granted.count() <= 1);
}
