//! Upstreams whose process restarts under the same id.

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
use crocusdale_core::streams::AllowedVersion;

fn entry_started_at(id: &str, started_at_ms: u64) -> DirectoryEntry {
    DirectoryEntry { started_at_ms: Some(started_at_ms), ..entry(id, "a") }
}

fn leaving_entry(id: &str, started_at_ms: u64) -> DirectoryEntry {
    DirectoryEntry { leaving: true, ..entry_started_at(id, started_at_ms) }
}

fn available_names(directory: &UpstreamDirectory) -> Vec<String> {
    let available = directory.entries().filter(|entry| !entry.leaving);
    available.map(DirectoryEntry::name).collect()
}

/// Guards against a restarted upstream that gets no requests: the leaving notice of the process
/// before would count for the new one.
#[test]
fn leaving_notice_ends_with_its_process() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(4, leaving_entry("u1", 1_000))], None);
    assert!(available_names(&directory).is_empty());
    assert!(directory.replace(9, vec![(8, entry_started_at("u1", 2_000))], None));
    assert_eq!(available_names(&directory), ["u1 born 2000"]);
    assert_eq!(directory.take_restarted(), [entry("u1", "a").address]);
    assert!(directory.take_restarted().is_empty(), "a restart must be reported once");
}

/// Guards against late entries of an earlier process that replace those of the current one. They
/// may say that it leaves, or that it runs at its old address, and reach the platform after the
/// first entry of the new process.
#[test]
fn late_entries_of_an_earlier_process_are_ignored() {
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(4, entry_started_at("u1", 2_000))], None);
    assert!(!directory.replace(9, vec![(8, leaving_entry("u1", 1_000))], None));
    assert_eq!(available_names(&directory), ["u1 born 2000"]);
    directory.replace(12, Vec::new(), None);
    assert!(
        !directory.replace(14, vec![(13, entry_started_at("u1", 1_000))], None),
        "an earlier process must be ignored after the removal too"
    );
    assert!(available_names(&directory).is_empty());
    assert!(
        directory.replace(16, vec![(15, entry_started_at("u1", 2_000))], None),
        "the same process must be accepted after its entry expired"
    );
}

/// Guards against pieces that wait for the timeout of a call whose upstream lost its power and
/// restarted under the same id. The connection stays silent, so the pieces must be sent again at
/// once. A late answer of the ended process must be ignored, as its results are lost.
#[test]
fn call_to_an_ended_process_is_lost_at_once() {
    let mut bench = Bench::new(&[("u1", "a")]);
    let order = bench.order(4, 3_000);
    let attempt = bench.submit_pieces(order);
    let ended = bench.calls.remove(0);
    bench.advance(50);
    republish(&mut bench, entry_started_at("u1", 2_000));
    assert_eq!(bench.cancelled, [ended.batch]);
    let (upstream, process) = (bench.calls[0].upstream.clone(), bench.calls[0].process.clone());
    assert_eq!((upstream.as_str(), process.as_str()), ("u1 born 2000", "u1"));
    assert_eq!(bench.calls[0].items.len(), 4);
    let mut steps = Vec::new();
    let outcome = BatchOutcome::Answered((0..4).map(successful_item).collect());
    bench.dispatcher.handle_outcome(ended.batch, outcome, bench.now, &mut steps);
    bench.take(steps);
    assert!(bench.outcomes.is_empty(), "results of the ended process must be ignored");
    bench.advance(200);
    bench.end_call(successful_item);
    assert_eq!(
        bench.outcomes.pop().map(|(each, successful_item)| (each, successful_item.is_ok())),
        Some((attempt, true))
    );
}

/// Guards against a restarted upstream that inherits the state of the process before, which was
/// slow, failed call after call and whose memory was full of results. It must get a full call at
/// once.
#[test]
fn restarted_upstream_starts_with_fresh_state() {
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
    assert!(bench.calls.is_empty(), "the failing process must get no call");
    republish(&mut bench, entry_started_at("u1", 2_000));
    assert_eq!(
        bench.calls.first().map(|call| call.items.len()),
        Some(12),
        "queued and failed pieces must be in the call"
    );
    let failed = bench.outcomes.iter().filter(|(_, end)| *end == Err(PieceFault::Failed)).count();
    assert_eq!(failed, 0);
}

/// Guards against an ejection that outlasts its process. A plain upstream that was ejected for its
/// failures restarts under the same id and address. It must be chosen at once, and an attempt at
/// the earlier process that ends late must not count against it.
#[test]
fn restarted_upstream_is_not_ejected() {
    let now = MonotonicTime::from_millis(1_000);
    let stage = StageRules::published(PoolKind::Plain, None);
    let declarations = DeclarationsBuilder::new("test", Duration::from_secs(1));
    let declarations = declarations.stage(batch_bench::POOL, stage).build();
    let mut directory = UpstreamDirectory::default();
    directory.replace(5, vec![(4, entry_started_at("u1", 1_000))], None);
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
        allowed_version: AllowedVersion::Any,
    };
    for call in 1..=3 {
        let grant =
            router.acquire(request(call), now).expect("a usable upstream").expect("a free slot");
        router.release(&grant.upstream, CallId(call), AttemptReport::Failed, now);
    }
    let open = router
        .acquire(request(4), now)
        .expect("a usable upstream")
        .expect("an ejected upstream is used if it is the only one");
    directory.replace(9, vec![(8, entry_started_at("u1", 2_000))], None);
    let router = router.reconfigured(&declarations, &directory, MonotonicTime::from_millis(0));
    router.release(&open.upstream, CallId(4), AttemptReport::Failed, now);
    let summary = router.summaries(now).remove(0);
    assert_eq!(
        (summary.name.as_str(), summary.ejected, summary.in_flight),
        ("u1 born 2000", false, 0)
    );
    let grant = router.acquire(request(5), now).expect("a usable upstream").expect("a free slot");
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
