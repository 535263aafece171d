//! Tests of the number of idle connections that a daemon keeps open to an upstream.

use std::time::Duration;

use crocusdale_core::configuration::{AllowedRegions, DeclarationsBuilder, PoolKind, StageRules};
use crocusdale_core::identity::{CallId, MonotonicTime};
use crocusdale_core::routing::{DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter};
use crocusdale_core::streams::AllowedVersion;

/// Returns the maximum number of idle connections that each of `daemons` daemons keeps open to an
/// upstream with a concurrency limit of `declared`. `None` declares no limit.
fn max_idle_connections_per_daemon(declared: Option<u32>, daemons: usize) -> usize {
    let stage = StageRules::published(PoolKind::Plain, declared);
    let declarations =
        DeclarationsBuilder::new("test", Duration::from_secs(1)).stage("desk", stage).build();
    let entry = DirectoryEntry {
        started_at_ms: None,
        id: "u1".to_owned(),
        pool: "desk".to_owned(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 6,
        leaving: false,
        software_version: None,
    };
    let mut directory = UpstreamDirectory::default();
    directory.replace(1, vec![(1, entry)], None);
    let router = UpstreamRouter::new("a", 1).reconfigured(
        &declarations,
        &directory,
        MonotonicTime::from_millis(0),
    );
    router.set_daemons(daemons);
    let request = SlotRequest {
        call: CallId(1),
        branch: 0,
        stage: "desk".to_owned(),
        level: 0,
        deadline: MonotonicTime::from_millis(1_000),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: Default::default(),
        allowed_regions: AllowedRegions::default(),
        allowed_version: AllowedVersion::Any,
    };
    let grant = router.acquire(request, MonotonicTime::from_millis(0));
    grant.expect("the pool exists").expect("the upstream has a free slot").max_idle_connections
}

// Guards against connections that an upstream resets because idle connections use up its limit.
// Sixty daemons with a few idle connections each exhaust an upstream that accepts a hundred in
// total. A request on the next connection is reset, and if it must not be repeated, its caller
// never learns whether it ran. All idle connections together may use half of the limit.
#[test]
fn idle_connections_use_at_most_half_of_the_declared_limit() {
    for (declared, daemons) in [(100, 60), (180, 60), (48, 6), (96, 6), (480, 83)] {
        let total = max_idle_connections_per_daemon(Some(declared), daemons) * daemons;
        assert!(
            total <= declared as usize / 2,
            "{daemons} daemons keep {total} idle connections, more than half of {declared}"
        );
    }
    assert_eq!(max_idle_connections_per_daemon(Some(48), 6), 4);
    assert_eq!(
        max_idle_connections_per_daemon(None, 60),
        usize::MAX,
        "an upstream without a declared limit has no limit on idle connections"
    );
}
