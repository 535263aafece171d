//! Large batched pools, which are divided into sections with a dispatcher each.

#[path = "support/forward_daemon.rs"]
#[allow(dead_code, reason = "no test file uses all of it")]
mod forward_daemon;

use std::collections::{BTreeMap, BTreeSet};

use crocusdale_core::batching::PoolSection;
use crocusdale_core::identity::stable_hash;
use crocusdale_core::pipeline::{AttemptEvent, ExecutionStatus, OutcomeKind};

use forward_daemon::Daemon;

/// Bound on the number of upstreams in one section.
const MAX_SECTION_UPSTREAMS: usize = 64;
/// Pieces of one request.
const PIECES_PER_REQUEST: usize = 3;

fn process_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i-{index:x} born {}", index * 7)).collect()
}

/// Answers all requests that are forwarded to engines, and those that get the freed slots.
fn answer_relays(daemon: &mut Daemon) {
    while !daemon.relays.is_empty() {
        for relay in std::mem::take(&mut daemon.relays) {
            daemon.receive_head(relay.attempt, 200, ExecutionStatus::Ran);
            daemon.attempt(relay.attempt, AttemptEvent::ResponseForwarded);
        }
    }
}

/// Guards against a dispatcher with hundreds of upstreams to call, and against small pools whose
/// calls are formed by two dispatchers.
#[test]
fn sections_are_small_and_hold_each_upstream_once() {
    for upstreams in [1, 5, 20, 43, 48, 49, 96, 97, 250, 600, 1_500] {
        let count = PoolSection::count(upstreams);
        assert_eq!(count == 1, upstreams <= 48, "{upstreams} upstreams");
        let sections: Vec<PoolSection> = PoolSection::all("scan", count).collect();
        let mut sizes = vec![0; count];
        for name in process_names(upstreams) {
            let holding_sections = sections
                .iter()
                .enumerate()
                .filter(|(_, section)| section.contains_hash(stable_hash(&[&name])));
            let holding_sections: Vec<usize> = holding_sections.map(|(index, _)| index).collect();
            assert_eq!(
                holding_sections.len(),
                1,
                "sections that hold {name} of {upstreams} upstreams"
            );
            sizes[holding_sections[0]] += 1;
        }
        assert!(
            sizes.iter().all(|size| *size <= MAX_SECTION_UPSTREAMS),
            "{upstreams} upstreams in sections of {sizes:?}"
        );
    }
}

/// Guards against daemons whose lists differ and that take one section name for different
/// upstreams.
#[test]
fn section_name_determines_its_upstreams() {
    for count in [1, 2, 8, 16] {
        for section in PoolSection::all("scan", count) {
            assert_eq!(PoolSection::from_name(&section.to_string()), section);
        }
    }
    assert_eq!(PoolSection::from_name("scan"), PoolSection::new("scan", 0, 1));
    assert_eq!(PoolSection::new("scan", 0, 1).to_string(), "scan");
    for pool_name in ["scan#", "scan#1", "scan#x/2", "a#b"] {
        assert_eq!(
            PoolSection::from_name(pool_name),
            PoolSection::new(pool_name, 0, 1),
            "{pool_name} is a pool name"
        );
    }
}

/// Guards against sections that get no requests, and against a request without a second choice.
#[test]
fn requests_draw_two_different_sections_evenly() {
    for count in [2, 4, 8, 16] {
        let mut drawn: BTreeMap<String, usize> = BTreeMap::new();
        for request in 0..4_000 {
            let hash = stable_hash(&[&format!("request-{request}")]);
            let [first, second] = PoolSection::candidates("scan", count, hash);
            assert_ne!(first, second);
            for section in [first, second] {
                *drawn.entry(section.to_string()).or_default() += 1;
            }
        }
        assert_eq!(drawn.len(), count);
        let (least, most) = (drawn.values().min(), drawn.values().max());
        assert!(
            most < least.map(|least| least * 2).as_ref(),
            "sections must be drawn evenly: {drawn:?}"
        );
    }
}

/// Guards against pieces that are called by a section other than their own, results that are freed
/// at a dispatcher which doesn't count them, and upstreams that get no calls.
#[test]
fn pool_of_many_upstreams_works_in_sections() {
    let mut daemon = Daemon::new();
    daemon.stages = (0..100).map(|index| format!("s{index}")).collect();
    daemon.publish(&["n1"], &[]);
    let (mut called, mut calls) = (BTreeSet::new(), Vec::new());
    for round in 0..50 {
        for _ in 0..if round < 40 { 20 } else { 0 } {
            calls.push(daemon.submit("/digest/it"));
        }
        for order in &daemon.batches {
            called.insert(order.upstream.clone());
        }
        while !daemon.batches.is_empty() {
            daemon.complete_batch();
        }
        answer_relays(&mut daemon);
        daemon.advance(200);
    }
    let answered =
        |call| daemon.answer(call).is_some_and(|(kind, _)| kind == OutcomeKind::Answered);
    assert_eq!(calls.iter().filter(|call| answered(**call)).count(), calls.len());
    assert!(
        called.len() > 30,
        "{} upstreams of both sections were called, more than 30 expected",
        called.len()
    );
    assert_eq!(daemon.freed.len(), calls.len() * PIECES_PER_REQUEST, "all results must be freed");
    let waiting = daemon.core.dump(daemon.now).waiting_pieces;
    let sections = waiting.iter().filter(|(name, _)| PoolSection::from_name(name).pool == "scan");
    assert_eq!(sections.count(), PoolSection::count(100));
}

/// Guards against queued pieces that are lost when the number of sections changes because upstreams
/// joined or left.
#[test]
fn queued_pieces_survive_a_change_of_the_sections() {
    let mut daemon = Daemon::new();
    daemon.stages = (0..60).map(|index| format!("s{index}")).collect();
    daemon.publish(&["n1"], &[]);
    let calls: Vec<_> = (0..200).map(|_| daemon.submit("/digest/it")).collect();
    daemon.stages.truncate(20);
    daemon.publish(&["n1"], &[]);
    for _ in 0..20 {
        while !daemon.batches.is_empty() {
            daemon.complete_batch();
        }
        answer_relays(&mut daemon);
        daemon.advance(100);
    }
    let answered =
        |call| daemon.answer(call).is_some_and(|(kind, _)| kind == OutcomeKind::Answered);
    let answered = calls.iter().filter(|call| answered(**call)).count();
    assert_eq!(answered, calls.len(), "all requests must be answered");
    daemon.submit("/digest/it");
    let waiting = daemon.core.dump(daemon.now).waiting_pieces;
    assert!(waiting.iter().any(|(name, _)| name == "scan"), "{waiting:?}");
    assert!(waiting.iter().all(|(name, _)| !name.starts_with("scan#")), "{waiting:?}");
}
