use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of a VM in the deployment.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// The VM runs a daemon.
    Entry,
    /// The VM runs upstreams.
    Upstream,
}

/// State of a VM in the VM list.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The platform is going to remove the VM.
    Leaving,
}

/// Entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Unique name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Role of the VM.
    pub role: VmRole,
    /// Whether the VM is in use or about to be removed.
    pub state: VmState,
    /// Address on which the daemon of the VM accepts other daemons. `None` if it runs no daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Address on which the daemon of the VM accepts callers. `None` if it runs no daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<SocketAddr>,
    /// Address on which the daemon of the VM accepts operators. `None` if it is unknown or the VM
    /// runs no daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
}

/// The platform's list of VMs, as of the last read. It may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the list, which the platform increases with each change.
    pub revision: u64,
    /// All VMs of the deployment, with and without daemons.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Entries of the VMs that run daemons.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.iter().filter(|vm| vm.role == VmRole::Entry)
    }

    /// Entry of the VM `name`, or `None` if it is not in the list.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&VmEntry> {
        self.vms.iter().find(|vm| vm.name == name)
    }

    /// Whether the VM `name` has the state [`VmState::Leaving`]. `false` if it is not in the list.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.get(name).is_some_and(|vm| vm.state == VmState::Leaving)
    }
}
