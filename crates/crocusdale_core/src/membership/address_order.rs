use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::{MemberStatus, MemberView, VmRoster, VmState};
use crate::configuration::RegionMap;
use crate::identity::stable_hash;

/// Addresses that a caller may use, in the order in which it should try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AddressAnswer {
    /// Addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept, in milliseconds.
    pub hold_ms: u64,
}

/// Orders the daemons for one caller.
#[derive(Debug)]
pub struct AddressOrder<'a> {
    roster: &'a VmRoster,
    view: &'a MemberView,
    hold: Duration,
    regions: RegionMap,
}

impl<'a> AddressOrder<'a> {
    /// Orders the daemons of `roster` as `view` sees them.
    #[must_use]
    pub fn new(roster: &'a VmRoster, view: &'a MemberView, hold: Duration) -> Self {
        Self { roster, view, hold, regions: RegionMap::default() }
    }

    /// Sets the regions of the availability zones.
    #[must_use]
    pub fn regions(mut self, regions: &RegionMap) -> Self {
        self.regions = regions.clone();
        self
    }

    /// Answers the caller `caller` in `zone`: reachable before suspected, own zone before others,
    /// and within those in an order that differs from caller to caller, so that callers spread
    /// over the daemons without anyone keeping count. Leaving daemons are left out, and those of other
    /// regions as long as there is one in the caller's.
    ///
    /// Guards against an answer without any address, which leaves its caller with nowhere to go: a
    /// daemon that drains on a starved VM takes all others for unreachable. It names them then,
    /// since more likely it is the one that was away.
    #[must_use]
    pub fn answer(&self, caller: &str, zone: &str) -> AddressAnswer {
        let usable = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
        let mut addresses = self.ranked(caller, zone, usable);
        if addresses.is_empty() {
            addresses = self.ranked(caller, zone, |status| status == MemberStatus::Unreachable);
        }
        let hold_ms = u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX);
        AddressAnswer { addresses, hold_ms }
    }

    fn ranked(
        &self,
        caller: &str,
        zone: &str,
        usable: impl Fn(MemberStatus) -> bool,
    ) -> Vec<SocketAddr> {
        let candidates = self
            .roster
            .entries()
            .filter(|vm| vm.state == VmState::Live && !self.view.is_leaving(&vm.name));
        let mut ranked: Vec<_> = candidates
            .filter_map(|vm| {
                let status = self.view.status(&vm.name).filter(|status| usable(*status))?;
                let weight = stable_hash(&[caller, &vm.name]);
                let far = self.regions.region(&vm.zone) != self.regions.region(zone);
                Some((far, status, vm.zone != zone, weight, vm.caller?))
            })
            .collect();
        ranked.sort_unstable();
        let near = ranked.iter().filter(|(far, ..)| !far).count();
        if near > 0 {
            ranked.truncate(near);
        }
        ranked.into_iter().map(|(.., address)| address).collect()
    }
}
