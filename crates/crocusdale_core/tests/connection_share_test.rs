//! How many connections to an upstream a daemon keeps.

use std::time::Duration;

use crocusdale_core::configuration::{AllowedRegions, DeclarationsBuilder, PoolKind, StageRules};
use crocusdale_core::identity::{CallId, MonotonicTime};
use crocusdale_core::routing::{DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter};

/// Connections kept to an upstream that takes `declared`, by each of `daemons`.
fn kept(declared: Option<u32>, daemons: usize) -> usize {
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
    };
    let grant = router.acquire(request, MonotonicTime::from_millis(0));
    grant.expect("the pool is there").expect("a place is free").max_idle_connections
}

// Sixty daemons keep a few idle connections each to an upstream that takes a hundred from all. The
// next that is opened is reset with an order on it that nobody may repeat: its caller never learns
// whether it ran. What all keep together must leave half of the places free.
#[test]
fn idle_connections_leave_room_for_those_in_use() {
    for (declared, daemons) in [(100, 60), (180, 60), (48, 6), (96, 6), (480, 83)] {
        let all = kept(Some(declared), daemons) * daemons;
        assert!(all <= declared as usize / 2, "{all} of {declared} by {daemons} daemons");
    }
    assert_eq!(kept(Some(48), 6), 4);
    assert_eq!(kept(None, 60), usize::MAX, "nothing is declared");
}
