//! Orders that a daemon sends to an engine, given the order that the engine holds.

mod support;

use crocusdale_core::configuration::Declarations;
use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::orders::{EngineOrder, OrderReconciler, ReconcileAction};
use support::CoreFleet;

fn declarations_with_version(version: &str) -> String {
    let placement = "[placement p]\nupstreams = stage = work\nmodel = letters\n";
    format!("{}{placement}version = {version}\n", support::DECLARATIONS)
}

fn held_order(fence: u64, version: &str) -> EngineOrder {
    EngineOrder {
        fence,
        model: "letters".into(),
        version: version.into(),
        ..EngineOrder::default()
    }
}

#[test]
fn order_is_sent_only_where_the_held_one_differs() {
    let declarations =
        Declarations::check("test", &declarations_with_version("v2")).expect("they are right");
    let reconciler = OrderReconciler::new(&declarations, 5);
    assert_eq!(reconciler.decide("u1", &held_order(2, "v2")), ReconcileAction::Nothing);
    let ReconcileAction::Send { order, .. } = reconciler.decide("u1", &held_order(2, "v1")) else {
        panic!("engine with version v1 must be sent the declared version v2");
    };
    assert_eq!(order, held_order(5, "v2"));
}

/// Guards against a daemon that restores an old model version on an engine. It was partitioned
/// while a later configuration revision came into force, and another daemon ordered the new
/// version. It still holds the old revision when it reads the order that the engine holds.
#[test]
fn order_of_a_later_revision_is_not_replaced() {
    let mut fleet = CoreFleet::new(3);
    fleet.declarations = declarations_with_version("v1");
    fleet.restart(0);
    let event =
        DaemonEvent::EngineOrderRead { upstream: "u1".into(), held: Some(held_order(9, "v2")) };
    let mut commands = Vec::new();
    fleet.nodes[0].core.handle(event, fleet.now, &mut commands);
    let sends_order =
        commands.iter().any(|command| matches!(command, Command::SendEngineOrder { .. }));
    assert!(!sends_order, "{commands:?}");
}
