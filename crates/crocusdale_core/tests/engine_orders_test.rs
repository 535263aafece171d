//! What a keeper tells an engine, given what the engine holds.

mod support;

use crocusdale_core::configuration::Declarations;
use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::orders::{EngineOrder, OrderReconciler, ReconcileAction};
use support::CoreFleet;

fn declared(version: &str) -> String {
    let placement = "[placement p]\nupstreams = stage = work\nmodel = letters\n";
    format!("{}{placement}version = {version}\n", support::DECLARATIONS)
}

fn held(fence: u64, version: &str) -> EngineOrder {
    EngineOrder {
        fence,
        model: "letters".into(),
        version: version.into(),
        ..EngineOrder::default()
    }
}

#[test]
fn order_is_given_only_where_something_differs() {
    let declarations = Declarations::check("test", &declared("v2")).expect("they are right");
    let reconciler = OrderReconciler::new(&declarations, 5);
    assert_eq!(reconciler.decide("u1", &held(2, "v2")), ReconcileAction::Nothing);
    let ReconcileAction::Send { order, .. } = reconciler.decide("u1", &held(2, "v1")) else {
        panic!("it must be given the declared version");
    };
    assert_eq!(order, held(5, "v2"));
}

// A keeper was cut off while a later revision came into force elsewhere and another keeper ordered
// the new version. It still has the old revision in force when it reads what the engine holds; an
// order from it would bring the old version back.
#[test]
fn order_of_a_later_revision_is_left_alone() {
    let mut fleet = CoreFleet::new(3);
    fleet.declarations = declared("v1");
    fleet.restart(0);
    let event = DaemonEvent::EngineOrderRead { upstream: "u1".into(), held: Some(held(9, "v2")) };
    let mut commands = Vec::new();
    fleet.nodes[0].core.handle(event, fleet.now, &mut commands);
    let gives = commands.iter().any(|command| matches!(command, Command::SendEngineOrder { .. }));
    assert!(!gives, "{commands:?}");
}
