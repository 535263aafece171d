use std::net::SocketAddr;

use super::EngineOrder;
use crate::configuration::{Declarations, UpstreamRules};
use crate::identity::stable_hash;
use crate::membership::{MemberStatus, MemberView, VmRoster};

/// Decides which engines this daemon keeps in order, and what it tells them.
///
/// Each engine has one keeper at a time, as far as membership can tell: in a partition there may be
/// two. Guards against an order that undoes a newer one: it shows as an engine that falls back to
/// an older model. Engines that honour the fencing number refuse such an order themselves. From
/// one that ignores it the keeper reads what it holds first and leaves a newer order alone, so
/// that only an order between another keeper's reading and writing can be undone.
#[derive(Debug)]
pub struct OrderKeeper<'a> {
    declarations: &'a Declarations,
    revision: u64,
}

/// What a keeper does about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Nothing: it holds what it must.
    Nothing,
    /// Nothing: it holds the order of a later revision than the one in force here.
    Newer,
    /// Give it this order.
    Give {
        /// Where the engine listens.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
}

impl<'a> OrderKeeper<'a> {
    /// Keeps engines in order by `declarations`, in force as `revision`.
    #[must_use]
    pub fn new(declarations: &'a Declarations, revision: u64) -> Self {
        Self { declarations, revision }
    }

    /// Engines that this daemon keeps: by rendezvous hashing over the daemons that it takes to be
    /// reachable and to stay.
    pub fn kept<'b>(
        &'b self,
        roster: &'b VmRoster,
        view: &'b MemberView,
    ) -> impl Iterator<Item = &'a UpstreamRules> + 'b {
        let own = view.own().instance.vm.as_str();
        let usable: Vec<&str> = roster
            .entries()
            .map(|vm| vm.name.as_str())
            .filter(|vm| !view.is_leaving(vm) && view.status(vm) == Some(MemberStatus::Alive))
            .collect();
        let upstreams = self.declarations.upstreams().iter();
        upstreams.filter(|rules| self.declarations.placement_for(&rules.labels).is_some()).filter(
            move |rules| {
                let weight = |vm: &&&str| stable_hash(&["engine keeper", &rules.name, vm]);
                usable.iter().max_by_key(weight) == Some(&own)
            },
        )
    }

    /// What the engine `upstream` must hold.
    #[must_use]
    pub fn order_for(&self, upstream: &str) -> Option<(SocketAddr, EngineOrder)> {
        let rules = self.declarations.upstreams().iter().find(|rules| rules.name == upstream)?;
        let placement = self.declarations.placement_for(&rules.labels)?;
        Some((rules.address, EngineOrder { fence: self.revision, ..placement.order.clone() }))
    }

    /// Decides about the engine `upstream`, which says that it holds `held`.
    #[must_use]
    pub fn decide(&self, upstream: &str, held: &EngineOrder) -> OrderStep {
        match self.order_for(upstream) {
            None => OrderStep::Nothing,
            Some(_) if held.fence > self.revision => OrderStep::Newer,
            Some((_, order)) if order.is_fulfilled_by(held) => OrderStep::Nothing,
            Some((address, order)) => OrderStep::Give { address, order },
        }
    }
}
