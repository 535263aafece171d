//! Which addresses a caller is given.

mod support;

use std::time::Duration;

use crocusdale_core::configuration::{LabelSet, RegionMap};
use crocusdale_core::identity::{InstanceId, MonotonicTime};
use crocusdale_core::membership::{
    AddressOrder, ExchangeMessage, MemberRecord, MemberStatus, MemberView, MemberViewBuilder,
    VmList,
};
use support::{entry, vm_name};

const DAEMONS: usize = 6;

fn roster() -> VmList {
    VmList { revision: 1, vms: (0..DAEMONS).map(entry).collect() }
}

/// The view of daemon 0, which has heard that each other one has `status`.
fn view(status: MemberStatus) -> MemberView {
    let now = MonotonicTime::from_millis(0);
    let mut view = MemberViewBuilder::new(InstanceId::new(vm_name(0), 1)).build();
    view.update_peers(&roster(), now);
    view.become_ready();
    for index in 1..DAEMONS {
        let instance = InstanceId::new(vm_name(index), 1);
        let message = ExchangeMessage {
            sender: MemberRecord { refutation: 1, status, ..MemberRecord::new(instance, None) },
            sender_leaving: false,
            revision: 1,
            digest: 1,
            records: Vec::new(),
            leaving: Vec::new(),
            leaving_upstreams: Vec::new(),
            directory: 0.into(),
            directory_age: None,
            known_members: None,
            crash_summary: 0,
            limit_digest: 0,
            limits: Vec::new(),
            crashes: Vec::new(),
        };
        view.merge_message(&message, now);
    }
    view
}

fn answer(view: &MemberView, caller: &str, zone: &str) -> Vec<std::net::SocketAddr> {
    AddressOrder::new(&roster(), view, Duration::ZERO).answer(caller, zone).addresses
}

#[test]
fn own_zone_comes_first_and_callers_spread() {
    let view = view(MemberStatus::Alive);
    let mut firsts = std::collections::HashMap::new();
    for number in 0..300 {
        let addresses = answer(&view, &format!("caller-{number}"), "z1");
        assert_eq!(addresses.len(), DAEMONS);
        let near: Vec<_> = [1, 4].iter().filter_map(|index| entry(*index).caller).collect();
        assert!(near.contains(&addresses[0]) && near.contains(&addresses[1]));
        *firsts.entry(addresses[0]).or_insert(0) += 1;
    }
    // Two daemons of the zone share 300 callers; fixed names, so the split is always the same.
    assert!(firsts.values().all(|count| (120..=180).contains(count)), "{firsts:?}");
}

// A daemon drains on a VM that is starved of time: its calls fail, and it takes all others for
// unreachable. A caller that asks it must still be told of someone.
#[test]
fn drained_daemon_that_reaches_nobody_names_the_others() {
    let mut view = view(MemberStatus::Unreachable);
    view.leave();
    assert_eq!(answer(&view, "caller", "z0").len(), DAEMONS - 1);
}

#[test]
fn unreachable_daemons_are_left_out_while_others_can_be_had() {
    let view = view(MemberStatus::Unreachable);
    assert_eq!(answer(&view, "caller", "z0").len(), 1);
}

/// Guards against callers that are sent to daemons of another region while their own has some.
#[test]
fn daemons_of_the_callers_region_alone_are_named_while_there_are_any() {
    let regions = LabelSet::parse("z0=lakes, z1=lakes, z2=coast").expect("labels");
    let regions = RegionMap::from(regions);
    let answer = |view: &MemberView, roster: &VmList, zone: &str| {
        let order = AddressOrder::new(roster, view, Duration::ZERO).regions(&regions);
        order.answer("caller", zone).addresses
    };
    let (view, all) = (view(MemberStatus::Alive), roster());
    let caller = |index| entry(index).caller.expect("it serves callers");
    let mut coast = answer(&view, &all, "z2");
    coast.sort_unstable();
    assert_eq!(coast, [caller(2), caller(5)]);
    assert_eq!(answer(&view, &all, "z0").len(), 4);
    let lakes =
        VmList { revision: 2, vms: all.vms.into_iter().filter(|vm| vm.zone != "z2").collect() };
    assert_eq!(answer(&view, &lakes, "z2").len(), 4, "none of its own is left");
}
