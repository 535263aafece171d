//! Processes of upstreams that start again under the id that they had.

#[path = "support/batch_bench.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod batch_bench;

use std::collections::HashMap;
use std::time::Duration;

use batch_bench::{Bench, declarations, entry, successful_item};
use crocusdale_core::batching::BatchOutcome;
use crocusdale_core::configuration::{AllowedRegions, DeclarationsBuilder, PoolKind, StageRules};
use crocusdale_core::identity::{CallId, MonotonicTime};
use crocusdale_core::pipeline::PieceFault;
use crocusdale_core::routing::{
    AttemptReport, DirectoryEntry, SlotRequest, UpstreamDirectory, UpstreamRouter,
};

fn born(id: &str, born: u64) -> DirectoryEntry {
    DirectoryEntry { started_at_ms: Some(born), ..entry(id, "a") }
}

fn leaving(id: &str, birth: u64) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..born(id, birth) }
}

fn names(directory: &UpstreamDirectory) -> Vec<String> {
    let staying = directory.entries().filter(|entry| !entry.leaving);
    staying.map(DirectoryEntry::name).collect()
}

/// An upstream gives notice, ends, and starts again under its id. Its operator sees a sound process
/// that never gets a request: the notice of the life before was taken for its own.
#[test]
fn notice_ends_with_the_life_that_gave_it() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(4, leaving("u1", 1_000))], None);
    assert!(names(&directory).is_empty());
    assert!(directory.replace(9, vec![(8, born("u1", 2_000))], None));
    assert_eq!(names(&directory), ["u1 born 2000"]);
    assert_eq!(directory.take_restarted(), [entry("u1", "a").address]);
    assert!(directory.take_restarted().is_empty(), "told once");
}

/// The last words of an earlier life reach the platform behind the first ones of the next: that it
/// leaves, or that it is well at its old address. Neither says anything of the process that is there.
#[test]
fn late_words_of_an_earlier_life_take_nothing_back() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(4, born("u1", 2_000))], None);
    assert!(!directory.replace(9, vec![(8, leaving("u1", 1_000))], None));
    assert_eq!(names(&directory), ["u1 born 2000"]);
    directory.replace(12, Vec::new(), None);
    assert!(!directory.replace(14, vec![(13, born("u1", 1_000))], None), "also once it is removed");
    assert!(names(&directory).is_empty());
    assert!(directory.replace(16, vec![(15, born("u1", 2_000))], None), "it had only lapsed");
}

/// An upstream loses its power amid a call, and starts again under its id. The call's connection
/// stays silent; its pieces must go on at once, not after the patience of the call, and what the
/// ended life may still say must settle nothing: its results are gone with it.
#[test]
fn call_of_an_ended_life_is_lost_at_once() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(4, 3_000);
    let attempt = bench.submit_pieces(order);
    let ended = bench.calls.remove(0);
    bench.advance(50);
    republish(&mut bench, born("u1", 2_000));
    assert_eq!(bench.cancelled, [ended.batch]);
    let (upstream, process) = (bench.calls[0].upstream.clone(), bench.calls[0].process.clone());
    assert_eq!((upstream.as_str(), process.as_str()), ("u1 born 2000", "u1"));
    assert_eq!(bench.calls[0].items.len(), 4);
    let mut steps = Vec::new();
    let outcome = BatchOutcome::Answered((0..4).map(successful_item).collect());
    bench.dispatcher.handle_outcome(ended.batch, outcome, bench.now, &mut steps);
    bench.take(steps);
    assert!(bench.outcomes.is_empty(), "results that are gone were settled");
    bench.advance(200);
    bench.end_call(successful_item);
    assert_eq!(
        bench.outcomes.pop().map(|(each, successful_item)| (each, successful_item.is_ok())),
        Some((attempt, true))
    );
}

/// The life before had failed call after call, was slow, and its memory was full of results. The
/// next one holds nothing and is sound: it gets a full call at once.
#[test]
fn next_life_begins_with_nothing_believed_of_it() {
    let mut bench = Bench::new(&[("u1", "a")]);
    for _ in 0..4 {
        let order = bench.order(1, 500);
        bench.submit_pieces(order);
        while !bench.calls.is_empty() {
            bench.end_call_as(BatchOutcome::Broken);
        }
    }
    let mut order = bench.order(8, 900);
    order.result_bytes = batch_bench::RESULT_MEMORY_BYTES / 10;
    bench.submit_pieces(order);
    assert!(bench.calls.is_empty(), "the failing one rests");
    republish(&mut bench, born("u1", 2_000));
    assert_eq!(
        bench.calls.first().map(|call| call.items.len()),
        Some(12),
        "what waits and what failed"
    );
    let failed = bench.outcomes.iter().filter(|(_, end)| *end == Err(PieceFault::Failed)).count();
    assert_eq!(failed, 0);
}

/// A plain upstream was ejected for its failures when its process ended. The next life under the same
/// id and address is chosen at once, and an attempt that ends late at the earlier one is not counted
/// against it.
#[test]
fn router_knows_nothing_of_the_next_life() {
    let now = MonotonicTime::from_millis(1_000);
    let stage = StageRules::published(PoolKind::Plain, None);
    let declarations = DeclarationsBuilder::new("test", Duration::from_secs(1));
    let declarations = declarations.stage(batch_bench::POOL, stage).build();
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(4, born("u1", 1_000))], None);
    let router = UpstreamRouter::new("a", 1).reconfigured(
        &declarations,
        &directory,
        MonotonicTime::from_millis(0),
    );
    let request = |call| SlotRequest {
        call: CallId(call),
        branch: 0,
        stage: batch_bench::POOL.to_owned(),
        level: 0,
        deadline: now + Duration::from_secs(5),
        failed_upstreams: Vec::new(),
        demand: None,
        digest: Default::default(),
        allowed_regions: AllowedRegions::default(),
    };
    for call in 1..=3 {
        let grant = router.acquire(request(call), now).expect("hope").expect("a place");
        router.release(&grant.upstream, CallId(call), AttemptReport::Failed, now);
    }
    let open = router.acquire(request(4), now).expect("hope").expect("ejection closes no pool");
    directory.replace(9, vec![(8, born("u1", 2_000))], None);
    let router = router.reconfigured(&declarations, &directory, MonotonicTime::from_millis(0));
    router.release(&open.upstream, CallId(4), AttemptReport::Failed, now);
    let summary = router.summaries(now).remove(0);
    assert_eq!(
        (summary.name.as_str(), summary.ejected, summary.in_flight),
        ("u1 born 2000", false, 0)
    );
    let grant = router.acquire(request(5), now).expect("hope").expect("a place");
    assert_eq!((grant.upstream.as_str(), grant.process.as_str()), ("u1 born 2000", "u1"));
}

fn republish(bench: &mut Bench, entry: DirectoryEntry) {
    let mut directory = UpstreamDirectory::default();
    directory.replace(9, vec![(8, entry)], None);
    let mut steps = Vec::new();
    let away = HashMap::new();
    bench.dispatcher.reconfigure(&declarations(), &directory, &away, bench.now, &mut steps);
    bench.take(steps);
}
