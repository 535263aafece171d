//! Requests that may be processed in some regions only.

use std::time::Duration;

use crocusdale_core::configuration::{
    AllowedRegions, Declarations, DeclarationsBuilder, EngineRules, LabelSet, PoolKind, RegionMap,
    StageRules,
};
use crocusdale_core::identity::{CallId, MonotonicTime, RequestDigest};
use crocusdale_core::routing::{
    AttemptReport, DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter,
};
use crocusdale_core::streams::AllowedVersion;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn declarations() -> Declarations {
    let rules = EngineRules { slots: 1, token_memory: 500_000 };
    DeclarationsBuilder::new("test", Duration::from_secs(1))
        .stage("notify", StageRules::published(PoolKind::Plain, None))
        .stage("reader", StageRules::published(PoolKind::Engine(rules), None))
        .build()
}

/// A router in zone `a`. Each pool has an upstream in zone `a` of region `lakes`, in zone `b` of
/// region `coast`, and in zone `c`, whose region is not known.
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
        software_version: None,
    };
    let pairs =
        ["notify", "reader"].into_iter().flat_map(|pool| ["a", "b", "c"].map(|zone| (pool, zone)));
    let mut directory = UpstreamDirectory::default();
    directory.replace(1, pairs.map(|(pool, zone)| (1, entry(pool, zone))).collect(), None);
    router.reconfigured(&declarations(), &directory, NOW)
}

fn request(number: u64, stage: &str, regions: &[&str]) -> SlotRequest {
    SlotRequest {
        call: CallId(number),
        branch: 0,
        stage: stage.to_owned(),
        level: 0,
        deadline: NOW + Duration::from_secs(6),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: RequestDigest::of(&[b"request"]),
        allowed_regions: AllowedRegions::new(regions.iter().map(|region| (*region).to_owned())),
        allowed_version: AllowedVersion::Any,
    }
}

fn acquired_upstream(router: &UpstreamRouter, request: SlotRequest) -> Result<Option<String>, ()> {
    let granted = router.acquire(request, NOW);
    granted.map(|grant| grant.map(|grant| grant.upstream)).map_err(|_| ())
}

/// Guards against a request that is sent to an upstream outside its allowed regions, at once or
/// after it was queued.
#[test]
fn request_is_sent_within_its_allowed_regions_only() {
    for pool in ["notify", "reader"] {
        let router = router();
        let first = acquired_upstream(&router, request(1, pool, &["coast"]));
        assert_eq!(first, Ok(Some(format!("{pool}-b"))));
        assert_eq!(
            acquired_upstream(&router, request(2, pool, &["coast"])),
            Ok(None),
            "the request must be queued"
        );
        let grants = router.serve_waiting(&[pool.to_owned()], NOW);
        assert!(grants.is_empty(), "upstreams outside coast must not be used: {grants:?}");
        let call = CallId(1);
        let served = router.release(&format!("{pool}-b"), call, AttemptReport::Unmeasured, NOW);
        let served: Vec<&str> = served.iter().map(|grant| grant.upstream.as_str()).collect();
        assert_eq!(served, [format!("{pool}-b")]);
    }
}

/// Guards against a request that is queued until its deadline although no upstream is in its
/// allowed regions.
#[test]
fn request_without_an_upstream_in_its_regions_is_refused_at_once() {
    for regions in [&["island"][..], &["nowhere", "island"]] {
        assert_eq!(acquired_upstream(&router(), request(1, "notify", regions)), Err(()));
        assert_eq!(acquired_upstream(&router(), request(1, "reader", regions)), Err(()));
    }
}

/// Guards against a request with allowed regions that is sent to an upstream whose region is not
/// known.
#[test]
fn upstream_of_an_unknown_region_is_not_allowed() {
    let router = router();
    for (number, zone) in [(1, "a"), (2, "b")] {
        let upstream = acquired_upstream(&router, request(number, "notify", &["lakes", "coast"]));
        assert_eq!(upstream, Ok(Some(format!("notify-{zone}"))));
    }
    assert_eq!(acquired_upstream(&router, request(3, "notify", &["lakes", "coast"])), Ok(None));
    assert_eq!(
        acquired_upstream(&router, request(4, "notify", &[])),
        Ok(Some("notify-c".to_owned()))
    );
}

/// Guards against allowed regions of a route that override those of its workspace, or the other way
/// round.
#[test]
fn regions_of_route_and_workspace_both_apply() {
    let allowed_regions =
        |regions: &[&str]| AllowedRegions::new(regions.iter().map(|each| (*each).to_owned()));
    let both = allowed_regions(&["lakes", "coast"]).and(&allowed_regions(&["coast", "island"]));
    let allowed = ["lakes", "coast", "island"].map(|region| both.allows(Some(region)));
    assert_eq!(allowed, [false, true, false]);
    assert!(
        !allowed_regions(&["lakes"]).and(&allowed_regions(&["coast"])).allows(Some("lakes")),
        "no region may be allowed by both"
    );
    assert!(allowed_regions(&[]).and(&allowed_regions(&[])).allows(None));
}
