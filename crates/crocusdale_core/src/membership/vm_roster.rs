use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a VM is for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// Runs a daemon of the system.
    Entry,
    /// Runs upstreams.
    Upstream,
}

/// Whether a VM stays.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// Going away.
    Leaving,
}

/// One line of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// What it is for.
    pub role: VmRole,
    /// Whether it stays.
    pub state: VmState,
    /// Where its daemon listens for other daemons.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Where its daemon listens for callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<SocketAddr>,
    /// Where its daemon listens for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
}

/// The platform's list of VMs, as it was last read. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRoster {
    /// Grows with each change of the list.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

impl VmRoster {
    /// VMs that run daemons.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.iter().filter(|vm| vm.role == VmRole::Entry)
    }

    /// The VM `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&VmEntry> {
        self.vms.iter().find(|vm| vm.name == name)
    }

    /// Whether the list says that `name` is going away.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.get(name).is_some_and(|vm| vm.state == VmState::Leaving)
    }
}
