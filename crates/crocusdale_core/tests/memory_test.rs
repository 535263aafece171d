//! Memory and descriptors that callers may take, and the connections that are closed for others.

use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::configuration::{LimitSettings, ProcessSettings};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::memory::{
    ByteBudget, ByteLease, ConnectionPhase, ConnectionProgress, HoldClass, MemoryPlan, MemoryUsage,
    PlaceChoice, ProgressLimits, SMALL_BODY_BYTES, byte_victims, place_victim,
};
use proptest::prelude::*;

const MB: usize = 1_000_000;
/// Largest body that the deployments allow, in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Largest memory of a process without callers, in bytes, on VMs of 160 MB and more.
const LARGEST_REST: usize = 65 * MB;
/// Memory in MB and descriptors of the VMs of the deployments.
const VM_SIZES: [(usize, usize); 7] = [
    (120, 3_075),
    (120, 4_100),
    (160, 4_100),
    (260, 4_100),
    (260, 4_200),
    (400, 10_250),
    (512, 8_192),
];

const SETTINGS: &str = "[daemon]\nname = a\nzone = a\n[listen]\ncaller = 127.0.0.1:1\n\
    peer = 127.0.0.1:2\noperator = 127.0.0.1:3\n[platform]\nconfiguration = 127.0.0.1:4\n\
    vm_list = 127.0.0.1:5\n";

fn limits(keys: &str) -> LimitSettings {
    let text = format!("{SETTINGS}[limits]\n{keys}");
    ProcessSettings::check("entry.ini", &text).expect("the settings are valid").limits
}

fn deployed_limits() -> LimitSettings {
    limits("body_bytes = 4194304\nconnections = 2000\n")
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

const PROGRESS: ProgressLimits =
    ProgressLimits { grace: Duration::from_millis(1_000), bytes_per_second: 16_384 };

fn connection(phase: ConnectionPhase, since: u64) -> ConnectionProgress {
    let mut progress = ConnectionProgress::new(PROGRESS, at(since));
    progress.begin(phase, at(since));
    progress
}

/// Guards against connections, bodies and the process at rest that together exceed the memory of a
/// VM, and against a plan in which one body of the largest size has no room.
#[test]
fn parts_of_the_plan_add_up_to_the_memory_of_each_vm() {
    for (memory_mb, descriptors) in VM_SIZES {
        let memory = memory_mb * MB;
        let plan = MemoryPlan::new(memory, descriptors, &deployed_limits());
        for rest in [20 * MB, 40 * MB, LARGEST_REST] {
            let room = plan.room(MemoryUsage { resident_bytes: rest, ..MemoryUsage::default() });
            let connections = plan.connection_bytes(plan.connections());
            let sum = plan.margin_bytes() + connections + plan.lookup_bytes() + rest + room;
            assert!(sum <= memory, "{sum} bytes on a VM of {memory_mb} MB with {rest} at rest");
            let backlog = MemoryPlan::backlog(plan.connections()) * deployed_limits().receive_bytes;
            assert!(backlog <= plan.margin_bytes(), "{backlog} bytes wait to be accepted");
            let budget = Arc::new(ByteBudget::new(room));
            assert!(budget.try_hold(BODY_LIMIT, HoldClass::of(BODY_LIMIT)).is_some(), "{room}");
        }
    }
}

/// Guards against listeners that together leave no descriptors for the store, other daemons and
/// upstreams.
#[test]
fn listeners_leave_a_quarter_of_the_sockets() {
    for (memory_mb, descriptors) in VM_SIZES {
        let plan = MemoryPlan::new(memory_mb * MB, descriptors, &deployed_limits());
        let listeners =
            plan.connections() + plan.lookup_connections() + 2 * plan.operator_connections();
        let sockets = descriptors - 200;
        assert!(listeners <= sockets * 3 / 4, "{listeners} of {sockets} sockets");
    }
}

/// Guards against a room that stays as it was while the rest of the process grows.
#[test]
fn room_shrinks_as_the_process_grows() {
    let plan = MemoryPlan::new(120 * MB, 3_075, &deployed_limits());
    let usage = MemoryUsage { resident_bytes: 20 * MB, body_bytes: 0, connections: 0 };
    let room = plan.room(usage);
    let grown = MemoryUsage { resident_bytes: 40 * MB, ..usage };
    assert_eq!(plan.room(grown), room - 20 * MB);
    let with_bodies = MemoryUsage { resident_bytes: 30 * MB, body_bytes: 10 * MB, ..usage };
    assert_eq!(plan.room(with_bodies), room, "bodies are not part of the rest");
    let with_connections = MemoryUsage { connections: 100, ..usage };
    assert!(plan.room(with_connections) > room, "connections are part of what is resident");
    let full = MemoryUsage { resident_bytes: 200 * MB, ..usage };
    assert_eq!(plan.room(full), 120 * MB / 16);
}

/// Guards against a body limit that no request can use, as the memory does not suffice for it.
#[test]
fn body_limit_beyond_the_memory_is_rejected() {
    let text = format!("{SETTINGS}[limits]\nmemory_mb = 15\nbody_bytes = 4194304\n");
    let errors = ProcessSettings::check("entry.ini", &text).expect_err("too large a body");
    let error = errors[0].to_string();
    assert!(error.contains("[limits] body_bytes") && error.contains("3750000"), "{error}");
    assert_eq!(limits("memory_mb = 16.8\nbody_bytes = 4194304\n").memory_bytes, Some(16_800_000));
}

/// Guards against large bodies that leave no room for smaller ones.
#[test]
fn large_bodies_leave_a_quarter_of_the_room() {
    let budget = Arc::new(ByteBudget::new(16 << 20));
    let class = HoldClass::of(BODY_LIMIT);
    let leases: Vec<_> = (0..8).filter_map(|_| budget.try_hold(BODY_LIMIT, class)).collect();
    assert_eq!(leases.len(), 3);
    assert!(budget.try_hold(64 << 10, HoldClass::of(64 << 10)).is_some());
    assert_eq!(budget.missing(BODY_LIMIT, class), BODY_LIMIT);
}

#[derive(Clone, Debug)]
enum BudgetStep {
    Hold(usize),
    Extend(usize, usize),
    Shrink(usize, usize),
    Drop(usize),
    Capacity(usize),
}

fn budget_step() -> impl Strategy<Value = BudgetStep> {
    prop_oneof![
        (0..300_000_usize).prop_map(BudgetStep::Hold),
        (0..8_usize, 0..300_000_usize).prop_map(|(lease, bytes)| BudgetStep::Extend(lease, bytes)),
        (0..8_usize, 0..300_000_usize).prop_map(|(lease, bytes)| BudgetStep::Shrink(lease, bytes)),
        (0..8_usize).prop_map(BudgetStep::Drop),
        (0..2_000_000_usize).prop_map(BudgetStep::Capacity),
    ]
}

proptest! {
    /// Guards against bytes that are counted twice, never given back, or held beyond the capacity.
    #[test]
    fn held_bytes_are_the_sum_of_the_leases(steps in prop::collection::vec(budget_step(), 1..100)) {
        let budget = Arc::new(ByteBudget::new(1_000_000));
        let mut leases: Vec<ByteLease> = Vec::new();
        for step in steps {
            match step {
                BudgetStep::Hold(bytes) => {
                    let lease = budget.try_hold(bytes, HoldClass::of(bytes));
                    let is_small = HoldClass::of(bytes) == HoldClass::Small;
                    let is_within = budget.held() <= budget.capacity();
                    prop_assert!(lease.is_none() || is_small || is_within);
                    prop_assert!(lease.is_some() || !is_small);
                    leases.extend(lease);
                }
                BudgetStep::Extend(index, bytes) => {
                    if let Some(lease) = leases.get_mut(index)
                        && let Some(more) = budget.try_hold(bytes, HoldClass::Medium)
                    {
                        lease.merge(more);
                    }
                }
                BudgetStep::Shrink(index, bytes) => {
                    if let Some(lease) = leases.get_mut(index) {
                        lease.shrink_to(bytes);
                    }
                }
                BudgetStep::Drop(index) => {
                    if index < leases.len() {
                        leases.swap_remove(index);
                    }
                }
                BudgetStep::Capacity(capacity) => budget.set_capacity(capacity),
            }
            prop_assert_eq!(budget.held(), leases.iter().map(ByteLease::bytes).sum::<usize>());
        }
        leases.clear();
        prop_assert_eq!(budget.held(), 0);
    }

    /// Guards against a caller that sends a byte now and then and is never overdue.
    #[test]
    fn slow_bytes_do_not_keep_a_connection(pause_ms in 1_u64..900, bytes in 1_usize..10) {
        prop_assume!(bytes as u64 * 1_000 < pause_ms * PROGRESS.bytes_per_second as u64);
        let mut progress = connection(ConnectionPhase::Body, 0);
        let mut now = 0;
        while progress.overdue_since(at(now)).is_none() {
            now += pause_ms;
            progress.record_bytes(bytes, at(now));
            // A connection may stay twice as long if its bytes come at half of the required rate.
            let required_ms = pause_ms as f64 * PROGRESS.bytes_per_second as f64 / 1_000.0;
            let longest = 1_000.0 / (1.0 - bytes as f64 / required_ms) + pause_ms as f64;
            prop_assert!(now as f64 <= longest + 1.0, "still open after {now} ms");
        }
    }

    /// Guards against a caller that sends fast enough and is closed for others.
    #[test]
    fn fast_bytes_keep_a_connection(pause_ms in 1_u64..900, surplus in 1_usize..100_000) {
        let bytes = pause_ms as usize * PROGRESS.bytes_per_second / 1_000 + surplus;
        let mut progress = connection(ConnectionPhase::Body, 0);
        for round in 1..100 {
            let now = at(round * pause_ms);
            prop_assert_eq!(progress.overdue_since(now), None);
            progress.record_bytes(bytes, now);
        }
    }
}

/// Guards against the close of a connection whose request is served.
#[test]
fn served_requests_are_never_closed() {
    let served = (0, connection(ConnectionPhase::Serving, 0));
    assert_eq!(place_victim([served.clone()], at(60_000)), PlaceChoice::AllServing);
    let held = (served.0, served.1, BODY_LIMIT);
    assert!(byte_victims([held], 1, at(60_000)).is_empty());
}

/// Guards against callers with idle connections that are closed before requests that never end.
#[test]
fn unfinished_requests_make_place_before_idle_connections() {
    let connections = [
        ("idle", connection(ConnectionPhase::Idle, 0)),
        ("new head", connection(ConnectionPhase::Head, 4_500)),
        ("body", connection(ConnectionPhase::Body, 2_000)),
        ("older head", connection(ConnectionPhase::Head, 1_000)),
    ];
    assert_eq!(place_victim(connections.clone(), at(5_000)), PlaceChoice::Close("older head"));
    let rest = connections.into_iter().filter(|(name, _)| !name.contains("older"));
    assert_eq!(place_victim(rest.clone(), at(5_000)), PlaceChoice::Close("body"));
    let rest = rest.filter(|(name, _)| *name != "body");
    assert_eq!(place_victim(rest.clone(), at(5_000)), PlaceChoice::Close("idle"));
    let rest = rest.filter(|(name, _)| *name != "idle");
    assert_eq!(place_victim(rest, at(5_000)), PlaceChoice::Wait(at(5_500)));
}

/// Guards against connections that are closed although the room would still not suffice.
#[test]
fn connections_are_closed_only_if_that_makes_enough_room() {
    let holders = [
        ("fresh", connection(ConnectionPhase::Body, 9_500), 5_000),
        ("late", connection(ConnectionPhase::Body, 3_000), 2_000),
        ("later", connection(ConnectionPhase::Idle, 2_000), 1_000),
        ("empty", connection(ConnectionPhase::Body, 0), 0),
    ];
    let victims = |bytes| byte_victims(holders.clone(), bytes, at(10_000));
    assert_eq!(victims(500), ["later"]);
    assert_eq!(victims(1_500), ["later", "late"]);
    assert!(victims(3_001).is_empty());
}

/// Guards against small requests that are refused by a daemon without any room.
#[test]
fn small_bodies_are_always_held() {
    let budget = Arc::new(ByteBudget::new(0));
    assert!(budget.try_hold(SMALL_BODY_BYTES, HoldClass::of(SMALL_BODY_BYTES)).is_some());
    assert!(budget.try_hold(1, HoldClass::Medium).is_none());
}

/// Guards against ordinary bodies that count as large.
#[test]
fn ordinary_bodies_may_fill_the_room() {
    assert_eq!(HoldClass::of(20_000), HoldClass::Medium);
    assert_eq!(HoldClass::of(BODY_LIMIT), HoldClass::Large);
}
