//! Work that must not grow with the number of daemons or upstreams.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::collections::HashMap;
use std::time::Duration;

use crocusdale_core::batching::{BatchDispatcher, PoolSection};
use crocusdale_core::configuration::{
    BatchRules, Declarations, DeclarationsBuilder, EngineRules, PoolKind, StageRules,
};
use crocusdale_core::daemon::TimerKey;
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime};
use crocusdale_core::pipeline::{PieceOrder, PieceSource};
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};
use forward_daemon::Daemon;

const NOW: MonotonicTime = MonotonicTime::from_millis(40_000);
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
