//! Work that must not grow with the number of daemons or upstreams.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;
mod support;

use std::collections::HashMap;
use std::time::Duration;

use crocusdale_core::admission::AdmissionClass;
use crocusdale_core::batching::{BatchDispatcher, PoolSection};
use crocusdale_core::configuration::{
    BatchRules, Declarations, DeclarationsBuilder, EngineRules, PoolKind, StageRules,
};
use crocusdale_core::daemon::TimerKey;
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime, RequestDigest};
use crocusdale_core::pipeline::{PieceOrder, PieceSource};
use crocusdale_core::routing::{
    AttemptReport, DirectoryChange, DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter,
};
use crocusdale_core::streams::AllowedVersion;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use forward_daemon::Daemon;
use support::virtual_fleet::VirtualFleet;

const NOW: MonotonicTime = MonotonicTime::from_millis(40_000);
/// Maximum number of list fetches per daemon and second: one for each query of the daemon that
/// reads the platform, every 0.4 s with the default bounds, and some for restarts and late replies.
const MAX_FETCHES_PER_S: f64 = 3.5;

fn declarations() -> Declarations {
    let batch = BatchRules {
        slots: 1,
        pieces: 20,
        call_time: Duration::from_millis(200),
        piece_time: Duration::from_millis(5),
        result_bytes: 50_000_000,
        result_lifetime: Duration::from_secs(4),
    };
    let engine = EngineRules { slots: 64, token_memory: 500_000 };
    DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("notify", StageRules::published(PoolKind::Plain, None))
        .stage("reader", StageRules::published(PoolKind::Engine(engine), None))
        .stage("scan", StageRules::published(PoolKind::Batch(batch), None))
        .build()
}

fn entry(number: usize, pool: &str) -> DirectoryEntry {
    DirectoryEntry {
        id: format!("i-{number:05}"),
        started_at_ms: Some(7),
        pool: pool.to_owned(),
        address: "10.1.2.3:8080".parse().expect("an address"),
        zone: format!("z{}", number % 3),
        slots: 8,
        leaving: false,
        software_version: None,
    }
}

fn request(call: u64, pool: &str, failed_upstreams: Vec<String>) -> SlotRequest {
    SlotRequest {
        call: CallId(call),
        branch: 0,
        stage: pool.to_owned(),
        level: 0,
        deadline: NOW + Duration::from_secs(6),
        failed_upstreams,
        demand: None,
        digest: RequestDigest::of(&[b"request"]),
        allowed_regions: Default::default(),
        allowed_version: AllowedVersion::Any,
    }
}

/// Takes the changes from `directory` and applies them to `router`.
fn apply_changes(router: &mut UpstreamRouter, directory: &mut UpstreamDirectory) -> usize {
    let DirectoryChange::Upstreams(changes) = directory.take_change() else {
        panic!("the changes must be known one by one")
    };
    router.apply_changes(&declarations(), &changes, NOW);
    changes.len()
}

/// Checks that `router` can choose exactly the available upstreams of `pool`.
fn assert_routes(router: &UpstreamRouter, directory: &UpstreamDirectory, pool: &str, round: usize) {
    let available = directory.available_entries().filter(|entry| entry.pool == pool);
    let names: Vec<String> = available.map(DirectoryEntry::name).collect();
    for name in &names {
        let others = names.iter().filter(|other| *other != name).cloned().collect();
        let grant = router.acquire(request(1, pool, others), NOW);
        let grant = grant.expect("the pool has an upstream").expect("the upstream is free");
        assert_eq!(grant.upstream, *name, "round {round}");
        let _ = router.release(name, CallId(1), AttemptReport::Cancelled, NOW);
    }
    assert!(router.acquire(request(1, pool, names), NOW).is_err(), "round {round}: {pool}");
}

/// Guards against a router that differs from the list after a series of changes.
#[test]
fn changed_router_chooses_the_upstreams_of_the_list() {
    for seed in 0..8 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut directory = UpstreamDirectory::default();
        directory.replace(1, vec![(1, entry(0, "notify")), (1, entry(1, "reader"))], None);
        let _ = directory.take_change();
        let router = UpstreamRouter::new("z0", 1);
        let mut router = router.reconfigured(&declarations(), &directory, NOW);
        let mut published: HashMap<usize, DirectoryEntry> = HashMap::new();
        for round in 0..150 {
            let number = random.random_range(0..12);
            let pool = *["notify", "reader", "scan", "none"].choose(&mut random).expect("a pool");
            match random.random_range(0..4) {
                0 => drop(published.remove(&number)),
                1 => {
                    published.entry(number).and_modify(|entry| entry.leaving = true);
                }
                2 => {
                    let started_at_ms = Some(round as u64);
                    published
                        .insert(number, DirectoryEntry { started_at_ms, ..entry(number, pool) });
                }
                _ => {
                    published.entry(number).or_insert_with(|| entry(number, pool));
                }
            }
            let revision = 10 + round as u64;
            let list = published.values().map(|entry| (revision, entry.clone())).collect();
            directory.replace(revision, list, None);
            apply_changes(&mut router, &mut directory);
            assert_routes(&router, &directory, "notify", round);
            assert_routes(&router, &directory, "reader", round);
        }
    }
}

/// Guards against load and failures of upstreams that are forgotten when another one changes.
#[test]
fn changed_router_keeps_the_state_of_other_upstreams() {
    let mut directory = UpstreamDirectory::default();
    let list = |count: usize| (0..count).map(|number| (1, entry(number, "notify"))).collect();
    directory.replace(1, list(4), None);
    let _ = directory.take_change();
    let router = UpstreamRouter::new("z0", 1);
    let mut router = router.reconfigured(&declarations(), &directory, NOW);
    let others: Vec<String> = (0..3).map(|number| entry(number, "notify").name()).collect();
    let grant = router.acquire(request(1, "notify", others), NOW);
    let busy = grant.expect("a usable upstream").expect("a free slot").upstream;
    directory.replace(2, list(9).into_iter().skip(1).collect(), None);
    assert_eq!(apply_changes(&mut router, &mut directory), 6);
    let summaries = router.summaries(NOW);
    let summary = summaries.iter().find(|summary| summary.name == busy).expect("it is listed");
    assert_eq!(summary.in_flight, 1);
}

/// Guards against changes that each cost a walk over the whole list.
#[test]
fn one_changed_upstream_is_one_change_in_a_list_of_any_length() {
    for upstreams in [3_000, 6_000] {
        let mut directory = UpstreamDirectory::default();
        let list = |revision| (0..upstreams).map(move |number| (revision, entry(number, "scan")));
        directory.replace(1, list(1).collect(), None);
        let _ = directory.take_change();
        let mut renewed: Vec<_> = list(2).collect();
        renewed[7].1.leaving = true;
        directory.replace(2, renewed, None);
        let DirectoryChange::Upstreams(changes) = directory.take_change() else {
            panic!("the change must be known")
        };
        assert_eq!(changes.len(), 1, "{upstreams} upstreams");
    }
}

fn order(pool: &str, now: MonotonicTime) -> PieceOrder {
    PieceOrder {
        attempt: AttemptId { incarnation: 1, call: CallId(1), sequence: 1 },
        request: "request".to_owned(),
        digest: None,
        pool: pool.to_owned(),
        step: 0,
        pieces: 1,
        result_bytes: 1_000,
        source: PieceSource::Caller("letter".to_owned()),
        zone: None,
        level: 1,
        target_end: now + Duration::from_millis(900),
        expires: now + Duration::from_secs(2),
        inputs_pool: None,
        is_flood: false,
        admission: AdmissionClass::Local,
        is_resubmission: false,
    }
}

/// Guards against daemons that keep state for, and regularly walk over, all sections of all pools,
/// although each daemon dispatches few of them.
#[test]
fn section_is_open_only_while_it_has_work() {
    for upstreams in [1_000, 2_000] {
        let mut directory = UpstreamDirectory::default();
        let list = (0..upstreams).map(|number| (1, entry(number, "scan")));
        directory.replace(1, list.collect(), None);
        let mut dispatcher = BatchDispatcher::default();
        let mut actions = Vec::new();
        dispatcher.reconfigure(&declarations(), &directory, &HashMap::new(), NOW, &mut actions);
        assert_eq!(dispatcher.open_sections(), 0, "{upstreams} upstreams");
        let section_count = dispatcher.section_count("scan");
        let section = PoolSection::new("scan", 1, section_count).to_string();
        dispatcher.submit(order(&section, NOW), 0, NOW, &mut actions);
        assert_eq!(dispatcher.open_sections(), 1, "{upstreams} upstreams");
        for second in 1..60 {
            dispatcher.run_cycle(NOW + Duration::from_secs(second), &mut actions);
        }
        assert_eq!(dispatcher.open_sections(), 0, "{upstreams} upstreams");
    }
}

/// Guards against a timer that wakes an idle daemon dozens of times a second.
#[test]
fn daemon_without_results_sets_no_timer_for_their_release() {
    let mut daemon = Daemon::new();
    daemon.publish(&["n1"], &[]);
    let is_release = |timer: &TimerKey| matches!(timer, TimerKey::ResultRelease);
    for _ in 0..20 {
        daemon.advance(50);
        assert!(!daemon.timers.values().any(is_release), "nothing has to be released");
    }
}

/// Guards against messages between daemons that grow with the rate of changes or with the number of
/// daemons: in a large fleet some upstream changes all the time.
#[test]
fn daemon_fetches_changes_at_the_pace_of_its_queries() {
    for size in [60, 120] {
        let mut fleet = VirtualFleet::new(size);
        fleet.published = (1_000, vec![(900, entry(0, "notify"))]);
        fleet.run(Duration::from_secs(5));
        let (fetches, heartbeats) = (fleet.fetches, fleet.heartbeats);
        for step in 1..=200_u64 {
            let revision = 1_000 + step;
            fleet.published = (revision, vec![(revision, entry(step as usize, "notify"))]);
            fleet.run(Duration::from_millis(5_000 + step * 50));
        }
        let per_daemon_second = |count: u64| count as f64 / size as f64 / 10.0;
        let fetches = per_daemon_second(fleet.fetches - fetches);
        assert!(fetches <= MAX_FETCHES_PER_S, "{size} daemons: {fetches:.1} fetches a second each");
        let heartbeats = per_daemon_second(fleet.heartbeats - heartbeats);
        assert!(heartbeats <= 6.0, "{size} daemons: {heartbeats:.1} heartbeats a second each");
    }
}
