//! Requests that may be worked on in some regions only.

use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, Declarations, DeclarationsBuilder, EngineRules, LabelSet, PoolKind, RegionMap,
    StageRules,
};
use crocusdale_core::identity::{CallId, MonotonicTime, RequestDigest};
use crocusdale_core::routing::{
    AttemptReport, DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter,
};

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn declarations() -> Declarations {
    let rules = EngineRules { slots: 1, token_memory: 500_000 };
    DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("notify", StageRules::published(PoolKind::Plain, None))
        .stage("reader", StageRules::published(PoolKind::Engine(rules), None))
        .build()
}

/// A router in zone `a`, with an upstream of each pool in zones `a` of region `lakes`, `b` of region `coast`
/// and `c` of no region that is known.
fn router() -> UpstreamRouter {
    let regions = LabelSet::parse("a=lakes, b=coast").expect("labels");
    let router = UpstreamRouter::new("a", 1).regions(RegionMap::from(regions));
    let entry = |pool: &str, zone: &str| DirectoryEntry {
        id: format!("{pool}-{zone}"),
        started_at_ms: None,
        pool: pool.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 1,
        leaving: false,
    };
    let pairs =
        ["notify", "reader"].into_iter().flat_map(|pool| ["a", "b", "c"].map(|zone| (pool, zone)));
    let mut directory = UpstreamDirectory::default();
    directory.replace(1, pairs.map(|(pool, zone)| (1, entry(pool, zone))).collect(), None);
    router.reconfigured(&declarations(), &directory, NOW)
}

fn request(number: u64, stage: &str, homes: &[&str]) -> SlotRequest {
    SlotRequest {
        call: CallId(number),
        branch: 0,
        stage: stage.to_owned(),
        level: 0,
        deadline: NOW + Duration::from_secs(6),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: RequestDigest::of(&[b"request"]),
        allowed_regions: AllowedRegions::new(homes.iter().map(|home| (*home).to_owned())),
    }
}

fn chosen(router: &UpstreamRouter, request: SlotRequest) -> Result<Option<String>, ()> {
    let granted = router.acquire(request, NOW);
    granted.map(|grant| grant.map(|grant| grant.upstream)).map_err(|_| ())
}

/// Guards against a request that is worked on outside its homes, at first or after a wait.
#[test]
fn request_reaches_upstreams_in_its_homes_only() {
    for pool in ["notify", "reader"] {
        let router = router();
        let first = chosen(&router, request(1, pool, &["coast"]));
        assert_eq!(first, Ok(Some(format!("{pool}-b"))));
        assert_eq!(chosen(&router, request(2, pool, &["coast"])), Ok(None), "it waits");
        let near = router.serve_waiting(&[pool.to_owned()], NOW);
        assert!(near.is_empty(), "other zones have room: {near:?}");
        let call = CallId(1);
        let served = router.release(&format!("{pool}-b"), call, AttemptReport::Unmeasured, NOW);
        let served: Vec<&str> = served.iter().map(|grant| grant.upstream.as_str()).collect();
        assert_eq!(served, [format!("{pool}-b")]);
    }
}

/// Guards against a request that waits for its deadline though no upstream may ever work on it.
#[test]
fn request_without_an_upstream_in_its_homes_is_refused_at_once() {
    for homes in [&["island"][..], &["nowhere", "island"]] {
        assert_eq!(chosen(&router(), request(1, "notify", homes)), Err(()));
        assert_eq!(chosen(&router(), request(1, "reader", homes)), Err(()));
    }
}

/// Guards against an upstream whose region is not known and that is taken for a home.
#[test]
fn upstream_of_an_unknown_region_is_no_home() {
    let router = router();
    for (number, zone) in [(1, "a"), (2, "b")] {
        let upstream = chosen(&router, request(number, "notify", &["lakes", "coast"]));
        assert_eq!(upstream, Ok(Some(format!("notify-{zone}"))));
    }
    assert_eq!(chosen(&router, request(3, "notify", &["lakes", "coast"])), Ok(None));
    assert_eq!(chosen(&router, request(4, "notify", &[])), Ok(Some("notify-c".to_owned())));
}

/// Guards against a route's homes that go before those of its workspace, or the other way round.
#[test]
fn homes_of_route_and_workspace_both_bind() {
    let homes =
        |regions: &[&str]| AllowedRegions::new(regions.iter().map(|each| (*each).to_owned()));
    let both = homes(&["lakes", "coast"]).and(&homes(&["coast", "island"]));
    let allowed = ["lakes", "coast", "island"].map(|region| both.allows(Some(region)));
    assert_eq!(allowed, [false, true, false]);
    assert!(!homes(&["lakes"]).and(&homes(&["coast"])).allows(Some("lakes")), "none is left");
    assert!(homes(&[]).and(&homes(&[])).allows(None));
}
