//! Members that find each other without a VM list.

use crocusdale_core::batching::DispatcherChoice;
use crocusdale_core::identity::{InstanceId, MonotonicTime};
use crocusdale_core::membership::{
    DirectoryVersion, ExchangeMessage, MemberCapacity, MemberPlace, MemberRecord, MemberStatus,
    MemberView, MemberViewBuilder, VmList,
};

fn place(index: usize) -> MemberPlace {
    let address = format!("10.0.{}.{}:1", index / 200, index % 200 + 1);
    let address = address.parse().expect("an address");
    let capacity = MemberCapacity::new(0.25, 1_000.0);
    MemberPlace { zone: "a".to_owned(), caller: address, peer: address, capacity }
}

fn view(index: usize) -> MemberView {
    let own = InstanceId::new(format!("entry-{index}"), 1);
    MemberViewBuilder::new(own).place(place(index)).seed(index as u64).build()
}

fn record(index: usize, status: MemberStatus) -> MemberRecord {
    let instance = InstanceId::new(format!("entry-{index}"), 1);
    MemberRecord { refutation: 1, status, ..MemberRecord::new(instance, Some(place(index))) }
}

fn told(records: Vec<MemberRecord>) -> ExchangeMessage {
    ExchangeMessage {
        sender: record(1, MemberStatus::Alive),
        sender_leaving: false,
        revision: 0,
        digest: 0,
        records,
        leaving: Vec::new(),
        leaving_upstreams: Vec::new(),
        directory: 0.into(),
        directory_age: None,
        known_members: None,
        crash_summary: 0,
        limit_digest: 0,
        limits: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Every process of a large fleet starts anew, or one does. It asks one seed; if it learned of the
/// others a few at a time, it would choose other dispatchers than they do for many seconds.
#[test]
fn starting_member_learns_of_all_from_one_answer() {
    let now = MonotonicTime::from_millis(0);
    let mut seed = view(0);
    let others = (1..100).map(|index| record(index, MemberStatus::Alive)).collect();
    seed.merge_message(&told(others), now);
    let mut fresh = view(200);
    fresh.merge_message(
        &seed.full_sync_message("entry-200", 0, (0, 0), DirectoryVersion::default()),
        now,
    );
    assert_eq!(fresh.peer_count(), 100);
    assert_eq!(fresh.places().len(), 101);
}

/// All processes of a large fleet were killed at one moment. Each has heard of another few that
/// they serve again; if each chose its dispatcher among those, a hundred daemons would call one pool
/// of a few upstreams, each with calls of its own.
#[test]
fn fleet_that_starts_agrees_on_a_dispatcher() {
    let now = MonotonicTime::from_millis(0);
    let chosen: Vec<String> = (0..8)
        .map(|own| {
            let mut view = view(own);
            let alive = |index: usize| index % 8 == own;
            let others = (0..100).filter(|index| *index != own).map(|index| {
                let status =
                    if alive(index) { MemberStatus::Alive } else { MemberStatus::Starting };
                record(index, status)
            });
            view.merge_message(&told(others.collect()), now);
            let roster = VmList { revision: 1, vms: view.places() };
            DispatcherChoice::new(&roster, &view).dispatcher("rerank", &[]).to_owned()
        })
        .collect();
    assert!(chosen.iter().all(|vm| *vm == chosen[0]), "{chosen:?}");
}

/// One process starts anew in a fleet that serves. Until it is ready, pieces must pass it by.
#[test]
fn single_starting_daemon_dispatches_nothing() {
    let mut view = view(0);
    view.become_ready();
    let roster = |view: &MemberView| VmList { revision: 1, vms: view.places() };
    let others = (1..6).map(|index| record(index, MemberStatus::Alive)).collect();
    view.merge_message(&told(others), MonotonicTime::from_millis(0));
    let first = DispatcherChoice::new(&roster(&view), &view).dispatcher("rerank", &[]).to_owned();
    let index = first.trim_start_matches("entry-").parse().expect("a number");
    let mut restarted: MemberRecord = record(index, MemberStatus::Starting);
    restarted.instance.incarnation = 2;
    restarted.generation = 2;
    view.merge_message(&told(vec![restarted]), MonotonicTime::from_millis(10));
    let second = DispatcherChoice::new(&roster(&view), &view).dispatcher("rerank", &[]).to_owned();
    assert_ne!(second, first);
}

/// A member that nobody has reached for long is told of by one that still remembers it. It must not
/// come back as a newcomer, to be asked and given up again and again.
#[test]
fn lost_member_is_no_newcomer() {
    let mut view = view(0);
    let lost = record(7, MemberStatus::Unreachable);
    view.merge_message(&told(vec![lost]), MonotonicTime::from_millis(0));
    assert!(view.status("entry-7").is_none());
}

/// A fleet of a few large VMs and many small ones. All pieces of a pool pass its dispatcher; on a
/// small VM they fill its link, and most users of the pool are served too late.
#[test]
fn small_vms_dispatch_only_without_large_ones() {
    let now = MonotonicTime::from_millis(0);
    let sized = |index: usize, cpu_share, link_mbps| {
        let mut record = record(index, MemberStatus::Alive);
        let place = record.place.as_mut().expect("it tells its place");
        place.capacity = MemberCapacity::new(cpu_share, link_mbps);
        record
    };
    let small = (1..50).map(|index| sized(index, 0.12, 10.0));
    let large = (50..54).map(|index| sized(index, 0.5, 200.0));
    let mut view = view(0);
    view.become_ready();
    view.merge_message(&told(small.chain(large).collect()), now);
    let roster = |view: &MemberView| VmList { revision: 1, vms: view.places() };
    for pool in ["scan", "retrieve", "rerank", "generate"] {
        let chosen = DispatcherChoice::new(&roster(&view), &view).dispatcher(pool, &[]).to_owned();
        let index: usize = chosen.trim_start_matches("entry-").parse().expect("a number");
        assert!((50..54).contains(&index), "{pool}: {chosen}");
    }
    let lost = (50..54).map(|index| MemberRecord {
        status: MemberStatus::Unreachable,
        ..sized(index, 0.5, 200.0)
    });
    view.merge_message(&told(lost.collect()), now);
    let chosen = DispatcherChoice::new(&roster(&view), &view).dispatcher("scan", &[]).to_owned();
    let index: usize = chosen.trim_start_matches("entry-").parse().expect("a number");
    assert!(index < 50, "{chosen}");
}
