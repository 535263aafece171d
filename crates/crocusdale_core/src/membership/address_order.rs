use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::{MemberStatus, MemberView, VmList, VmState};
use crate::configuration::RegionMap;
use crate::identity::stable_hash;

/// Daemon addresses for one caller, in the order in which the caller should try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AddressAnswer {
    /// Addresses for callers, most preferred first.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may cache the addresses, in milliseconds.
    pub hold_ms: u64,
}

/// Ranks the daemons of the fleet for callers.
#[derive(Debug)]
pub struct AddressOrder<'a> {
    vm_list: &'a VmList,
    view: &'a MemberView,
    cache_time: Duration,
    regions: RegionMap,
}

impl<'a> AddressOrder<'a> {
    /// Ranks the daemons in the VM list `vm_list` by their status in `view`. Callers may cache an
    /// answer for `cache_time`.
    #[must_use]
    pub fn new(vm_list: &'a VmList, view: &'a MemberView, cache_time: Duration) -> Self {
        Self { vm_list, view, cache_time, regions: RegionMap::default() }
    }

    /// Sets the regions of the availability zones. Without this call, all zones count as one
    /// region.
    #[must_use]
    pub fn regions(mut self, regions: &RegionMap) -> Self {
        self.regions = regions.clone();
        self
    }

    /// Addresses for the caller `caller` in the availability zone `zone`. Alive daemons come before
    /// suspected ones, daemons that can connect to all pools before others, and daemons in the
    /// caller's zone before others. Daemons that tie are ordered by a hash of the caller and the VM,
    /// which spreads callers over the daemons without shared state. Leaving daemons are excluded, and so are daemons in other regions while the caller's
    /// region has a usable one.
    ///
    /// Guards against an empty answer, which would leave the caller without a daemon to call: a
    /// draining daemon on a VM that is short of CPU time considers all others unreachable. It then
    /// returns the unreachable daemons, because it is more likely that its own VM was cut off.
    #[must_use]
    pub fn answer(&self, caller: &str, zone: &str) -> AddressAnswer {
        let is_usable = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
        let mut addresses = self.rank_addresses(caller, zone, is_usable);
        if addresses.is_empty() {
            addresses =
                self.rank_addresses(caller, zone, |status| status == MemberStatus::Unreachable);
        }
        let hold_ms = u64::try_from(self.cache_time.as_millis()).unwrap_or(u64::MAX);
        AddressAnswer { addresses, hold_ms }
    }

    fn rank_addresses(
        &self,
        caller: &str,
        zone: &str,
        is_usable: impl Fn(MemberStatus) -> bool,
    ) -> Vec<SocketAddr> {
        let candidates = self
            .vm_list
            .entries()
            .filter(|vm| vm.state == VmState::Live && !self.view.is_leaving(&vm.name));
        let mut ranked: Vec<_> = candidates
            .filter_map(|vm| {
                let status = self.view.status(&vm.name).filter(|status| is_usable(*status))?;
                let weight = stable_hash(&[caller, &vm.name]);
                let is_other_region = self.regions.region(&vm.zone) != self.regions.region(zone);
                let links = self.view.links(&vm.name);
                let has_lost_links = links.is_some_and(|links| !links.is_complete());
                let rank = (is_other_region, status, has_lost_links, vm.zone != zone);
                Some((rank, weight, vm.caller?))
            })
            .collect();
        ranked.sort_unstable();
        let same_region_count =
            ranked.iter().filter(|((is_other_region, ..), ..)| !is_other_region).count();
        if same_region_count > 0 {
            ranked.truncate(same_region_count);
        }
        ranked.into_iter().map(|(.., address)| address).collect()
    }
}
