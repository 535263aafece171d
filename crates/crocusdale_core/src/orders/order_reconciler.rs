use std::net::SocketAddr;

use super::EngineOrder;
use crate::configuration::{Declarations, UpstreamRules};
use crate::identity::stable_hash;
use crate::membership::{MemberStatus, MemberView, VmList};

/// Reconciles model engines with the declarations: chooses the engines that this daemon manages,
/// and compares the order that each of them holds with the desired one.
///
/// Each engine is managed by one daemon, as far as membership is known. In a network partition
/// there may be two. Guards against an order that replaces a newer one, after which the engine
/// would return to an older model. Engines that check the fencing token reject such an order. Not
/// all engines check it. The daemon therefore reads the order that an engine holds before it sends
/// another, and leaves a newer order unchanged. At an engine that doesn't check the token, a newer
/// order can be lost only if another daemon writes it between this daemon's read and write.
#[derive(Debug)]
pub struct OrderReconciler<'a> {
    declarations: &'a Declarations,
    revision: u64,
}

/// What to do about a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconcileAction {
    /// Nothing: the engine already fulfils its order, or no order applies to it.
    Nothing,
    /// Nothing: the engine holds an order with a later revision than the one in force in this
    /// daemon.
    NewerHeld,
    /// Send the engine this order.
    Send {
        /// Address on which the engine accepts requests.
        address: SocketAddr,
        /// Order to send.
        order: EngineOrder,
    },
}

impl<'a> OrderReconciler<'a> {
    /// Reconciles engines with `declarations`, which are in force as `revision`.
    #[must_use]
    pub fn new(declarations: &'a Declarations, revision: u64) -> Self {
        Self { declarations, revision }
    }

    /// Engines that this daemon manages. Each engine is assigned by rendezvous hashing to one of
    /// the daemons that are reachable and not leaving, as this daemon sees them.
    pub fn managed_engines<'b>(
        &'b self,
        roster: &'b VmList,
        view: &'b MemberView,
    ) -> impl Iterator<Item = &'a UpstreamRules> + 'b {
        let own = view.own().instance.vm.as_str();
        let candidates: Vec<&str> = roster
            .entries()
            .map(|vm| vm.name.as_str())
            .filter(|vm| !view.is_leaving(vm) && view.status(vm) == Some(MemberStatus::Alive))
            .collect();
        let upstreams = self.declarations.upstreams().iter();
        upstreams.filter(|rules| self.declarations.placement_for(&rules.labels).is_some()).filter(
            move |rules| {
                let rank = |vm: &&&str| stable_hash(&["engine keeper", &rules.name, vm]);
                candidates.iter().max_by_key(rank) == Some(&own)
            },
        )
    }

    /// Address of the engine `upstream` and the order that it must fulfil. `None` if no placement
    /// applies to it.
    #[must_use]
    pub fn order_for(&self, upstream: &str) -> Option<(SocketAddr, EngineOrder)> {
        let rules = self.declarations.upstreams().iter().find(|rules| rules.name == upstream)?;
        let placement = self.declarations.placement_for(&rules.labels)?;
        Some((rules.address, EngineOrder { fence: self.revision, ..placement.order.clone() }))
    }

    /// Decides what to do about the engine `upstream`, which reports `held` as the latest order
    /// that it has accepted.
    #[must_use]
    pub fn decide(&self, upstream: &str, held: &EngineOrder) -> ReconcileAction {
        match self.order_for(upstream) {
            None => ReconcileAction::Nothing,
            Some(_) if held.fence > self.revision => ReconcileAction::NewerHeld,
            Some((_, order)) if order.is_fulfilled_by(held) => ReconcileAction::Nothing,
            Some((address, order)) => ReconcileAction::Send { address, order },
        }
    }
}
