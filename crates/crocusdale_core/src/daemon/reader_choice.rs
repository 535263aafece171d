//! Who reads the platform for the others.

use std::collections::BTreeSet;

use super::fleet_state::FleetState;
use crate::identity::stable_hash;
use crate::membership::MemberStatus;

/// Ranks the daemons that read the store for others.
const DIRECTORY_DUTY: &str = "directory reader";
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
        let ranked = self.zone_ranks(DIRECTORY_DUTY);
        let readers = &ranked[..ranked.len().div_ceil(self.intervals.daemons_per_reader())];
        if readers.contains(&own) {
            return None;
        }
        readers.iter().max_by_key(|vm| stable_hash(&[vm, own])).map(|vm| (*vm).to_owned())
    }

    /// All other daemons that others ask, in all zones.
    pub(super) fn all_directory_readers(&self) -> Vec<String> {
        let own = self.view.own().instance.vm.as_str();
        let zones: BTreeSet<&str> =
            self.history.current().entries().map(|vm| vm.zone.as_str()).collect();
        let mut readers = Vec::new();
        for zone in zones {
            let ranked = self.ranks_in(zone, DIRECTORY_DUTY);
            let count = ranked.len().div_ceil(self.intervals.daemons_per_reader());
            readers.extend(ranked.into_iter().take(count).filter(|vm| *vm != own));
        }
        readers.into_iter().map(str::to_owned).collect()
    }

    /// Usable daemons of this daemon's zone, itself included, ranked for `duty`. VMs with half of the
    /// capacity of the largest one come first: a list of thousands of upstreams fills a small link.
    fn zone_ranks(&self, duty: &str) -> Vec<&str> {
        self.ranks_in(&self.zone, duty)
    }

    fn ranks_in(&self, zone: &str, duty: &str) -> Vec<&str> {
        let own = self.view.own().instance.vm.as_str();
        let usable = |vm: &str| {
            let doubted = self.view.status(vm).is_some_and(|status| {
                matches!(status, MemberStatus::Suspect | MemberStatus::Unreachable)
            });
            vm == own || !(self.view.is_leaving(vm) || doubted)
        };
        let roster = self.history.current();
        let others = roster.entries().filter(|vm| vm.zone == zone && vm.name != own);
        let own_too = (zone == self.zone).then_some(own);
        let all = others.map(|vm| vm.name.as_str()).chain(own_too);
        let mut ranked: Vec<&str> = all.filter(|vm| usable(vm)).collect();
        let largest = ranked.iter().filter_map(|vm| self.view.capacity(vm)).max();
        let carries = |vm: &str| {
            let capacity = self.view.capacity(vm).zip(largest);
            capacity.is_none_or(|(capacity, largest)| capacity.carries(largest))
        };
        ranked.sort_by_cached_key(|vm| (!carries(vm), std::cmp::Reverse(stable_hash(&[duty, vm]))));
        ranked
    }
}
