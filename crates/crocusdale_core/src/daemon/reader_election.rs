//! Election of the daemons that read the platform on behalf of others.

use std::collections::BTreeSet;

use super::fleet_state::FleetState;
use crate::identity::stable_hash;
use crate::membership::MemberStatus;

/// Hash input that ranks daemons for reading the list of upstreams from the store.
const DIRECTORY_READER_ROLE: &str = "directory reader";
/// Smallest number of daemons in each availability zone that read the store in the first turn after a
/// start. So few don't spend its rate limit, and the store may reject all but one of them.
const MIN_STARTUP_READERS: usize = 8;
/// Number of daemons in each availability zone that watch the configuration service.
const CONFIGURATION_WATCHERS_PER_ZONE: usize = 2;

impl FleetState {
    /// Whether this daemon watches the configuration service on behalf of its availability zone.
    #[must_use]
    pub(super) fn is_configuration_watcher(&self) -> bool {
        let own = self.view.own().instance.vm.as_str();
        self.rank_own_zone("configuration reader")
            .iter()
            .take(CONFIGURATION_WATCHERS_PER_ZONE)
            .any(|vm| *vm == own)
    }

    /// The daemon that this daemon asks for the age of its list: one of those in its availability
    /// zone that read the store. `None` if this daemon reads the store itself.
    ///
    /// With the default bounds, one daemon in sixteen reads the store; longer bounds allow fewer
    /// readers. Reads therefore grow much more slowly than the fleet. Each read is a call to the
    /// platform, and its cost on both sides grows with the length of the list.
    #[must_use]
    pub fn directory_reader(&self) -> Option<String> {
        let own = self.view.own().instance.vm.as_str();
        let ranked = self.rank_own_zone(DIRECTORY_READER_ROLE);
        let readers = &ranked[..ranked.len().div_ceil(self.intervals.daemons_per_reader())];
        if readers.contains(&own) {
            return None;
        }
        readers.iter().max_by_key(|vm| stable_hash(&[vm, own])).map(|vm| (*vm).to_owned())
    }

    /// Turn in which this daemon reads the store itself after a start, if it has got no list from a
    /// peer: 0 for a daemon that reads on behalf of others. Each turn doubles the number of readers.
    ///
    /// Guards against a fleet whose daemons, all started at one moment, spend the rate limit of the
    /// store on as many partial reads, so that none comes to its end.
    pub(super) fn startup_turn(&self) -> u32 {
        let own = self.view.own().instance.vm.as_str();
        let ranked = self.rank_own_zone(DIRECTORY_READER_ROLE);
        let rank = ranked.iter().position(|vm| *vm == own).unwrap_or_default();
        let mut reader_count = ranked.len().div_ceil(self.intervals.daemons_per_reader()).max(1);
        let mut turn = 0;
        while rank >= reader_count {
            reader_count = (reader_count * 2).max(MIN_STARTUP_READERS);
            turn += 1;
        }
        turn
    }

    /// All daemons in all availability zones, except this one, that read the store on behalf of
    /// others.
    pub(super) fn all_directory_readers(&self) -> Vec<String> {
        let own = self.view.own().instance.vm.as_str();
        let zones: BTreeSet<&str> =
            self.history.current().entries().map(|vm| vm.zone.as_str()).collect();
        let mut readers = Vec::new();
        for zone in zones {
            let ranked = self.rank_daemons(zone, DIRECTORY_READER_ROLE);
            let reader_count = ranked.len().div_ceil(self.intervals.daemons_per_reader());
            readers.extend(ranked.into_iter().take(reader_count).filter(|vm| *vm != own));
        }
        readers.into_iter().map(str::to_owned).collect()
    }

    /// Daemons in the availability zone of this daemon that are neither leaving nor suspected of
    /// failure, itself included, ranked by a hash of `role` and their names. VMs with less than
    /// half of the capacity of the largest one come last, because the transfer of a list of
    /// thousands of upstreams would fill a slow link.
    fn rank_own_zone(&self, role: &str) -> Vec<&str> {
        self.rank_daemons(&self.zone, role)
    }

    fn rank_daemons(&self, zone: &str, role: &str) -> Vec<&str> {
        let own = self.view.own().instance.vm.as_str();
        let is_eligible = |vm: &str| {
            let is_suspected = self.view.status(vm).is_some_and(|status| {
                matches!(status, MemberStatus::Suspect | MemberStatus::Unreachable)
            });
            vm == own || !(self.view.is_leaving(vm) || is_suspected)
        };
        let vm_list = self.history.current();
        let other_daemons = vm_list.entries().filter(|vm| vm.zone == zone && vm.name != own);
        let own_entry = (zone == self.zone).then_some(own);
        let candidates = other_daemons.map(|vm| vm.name.as_str()).chain(own_entry);
        let mut ranked: Vec<&str> = candidates.filter(|vm| is_eligible(vm)).collect();
        let largest = ranked.iter().filter_map(|vm| self.view.capacity(vm)).max();
        let has_capacity = |vm: &str| {
            let capacity = self.view.capacity(vm).zip(largest);
            capacity.is_none_or(|(capacity, largest)| capacity.is_at_least_half_of(largest))
        };
        ranked.sort_by_cached_key(|vm| {
            (!has_capacity(vm), std::cmp::Reverse(stable_hash(&[role, vm])))
        });
        ranked
    }
}
