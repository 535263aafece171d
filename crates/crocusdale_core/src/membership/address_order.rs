use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::{MemberStatus, MemberView, VmRoster, VmState};
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
}

impl<'a> AddressOrder<'a> {
    /// Orders the daemons of `roster` as `view` sees them.
    #[must_use]
    pub fn new(roster: &'a VmRoster, view: &'a MemberView, hold: Duration) -> Self {
        Self { roster, view, hold }
    }

    /// Answers the caller `caller` in `zone`: reachable before suspected, own zone before others,
    /// and within those in an order that differs from caller to caller, so that callers spread
    /// over the daemons without anyone keeping count. Leaving daemons are left out.
    #[must_use]
    pub fn answer(&self, caller: &str, zone: &str) -> AddressAnswer {
        let mut ranked: Vec<_> = self
            .roster
            .entries()
            .filter(|vm| vm.state == VmState::Live && !self.view.is_leaving(&vm.name))
            .filter_map(|vm| {
                let status = self.view.status(&vm.name)?;
                let weight = stable_hash(&[caller, &vm.name]);
                matches!(status, MemberStatus::Alive | MemberStatus::Suspect).then_some((
                    status,
                    vm.zone != zone,
                    weight,
                    vm.caller?,
                ))
            })
            .collect();
        ranked.sort_unstable();
        AddressAnswer {
            addresses: ranked.into_iter().map(|(.., address)| address).collect(),
            hold_ms: u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
