//! Who reads the platform for the others.

use super::fleet_state::FleetState;
use crate::identity::stable_hash;
use crate::membership::MemberStatus;

/// Daemons of each zone that hold the watch on the configuration service.
const READERS_PER_ZONE: usize = 2;

impl FleetState {
    /// Whether this daemon watches the configuration service for its availability zone.
    #[must_use]
    pub(super) fn is_reader(&self) -> bool {
        let own = self.view.own().instance.vm.as_str();
        self.zone_ranks("configuration reader").iter().take(READERS_PER_ZONE).any(|vm| *vm == own)
    }

    /// Whom this daemon asks whether what it knows of the store is still the latest: one of the daemons
    /// of its zone that read the store, or `None` if it is one of them.
    ///
    /// One daemon of sixteen reads, of more if the bounds allow longer pauses, so that the reads of a
    /// fleet grow a good deal more slowly than the fleet: each costs the platform a call and both sides
    /// as much as the list is long.
    #[must_use]
    pub fn directory_reader(&self) -> Option<String> {
        let own = self.view.own().instance.vm.as_str();
        let ranked = self.zone_ranks("directory reader");
        let readers = &ranked[..ranked.len().div_ceil(self.pace.daemons_per_reader())];
        if readers.contains(&own) {
            return None;
        }
        readers.iter().max_by_key(|vm| stable_hash(&[vm, own])).map(|vm| (*vm).to_owned())
    }

    /// Usable daemons of this daemon's zone, itself included, ranked for `duty`.
    fn zone_ranks(&self, duty: &str) -> Vec<&str> {
        let own = self.view.own().instance.vm.as_str();
        let usable = |vm: &str| {
            let doubted = self.view.status(vm).is_some_and(|status| {
                matches!(status, MemberStatus::Suspect | MemberStatus::Unreachable)
            });
            vm == own || !(self.view.is_leaving(vm) || doubted)
        };
        let roster = self.history.current();
        let zone = roster.entries().filter(|vm| vm.zone == self.zone && vm.name != own);
        let mut ranked: Vec<&str> =
            zone.map(|vm| vm.name.as_str()).chain([own]).filter(|vm| usable(vm)).collect();
        ranked.sort_by_cached_key(|vm| std::cmp::Reverse(stable_hash(&[duty, vm])));
        ranked
    }
}
