use super::{VmList, VmState};
use crate::identity::{RequestKey, stable_hash};

/// Number of witnesses of each request key.
pub const WITNESS_COUNT: usize = 3;
/// Number of witnesses that must agree on a claim.
pub const WITNESS_QUORUM: usize = 2;

/// VMs whose daemons keep the register of one request key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessSet {
    vms: Vec<String>,
}

impl WitnessSet {
    /// Chooses the witnesses of `key` by rendezvous hashing, in different availability zones as far
    /// as there are enough.
    ///
    /// Adding or removing one VM changes at most one witness of each key.
    #[must_use]
    pub fn choose(key: &RequestKey, vm_list: &VmList) -> Self {
        let mut ranked: Vec<(u64, &str, &str)> = vm_list
            .entries()
            .filter(|vm| vm.state == VmState::Live)
            .map(|vm| {
                (
                    stable_hash(&[&key.workspace, &key.key, &vm.name]),
                    vm.zone.as_str(),
                    vm.name.as_str(),
                )
            })
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        let mut zones: Vec<&str> = Vec::with_capacity(WITNESS_COUNT);
        let (mut one_per_zone, mut others) = (Vec::new(), Vec::new());
        for (_, zone, name) in ranked {
            if zones.contains(&zone) {
                others.push(name);
            } else {
                zones.push(zone);
                one_per_zone.push(name);
            }
        }
        let vms =
            one_per_zone.into_iter().chain(others).take(WITNESS_COUNT).map(str::to_owned).collect();
        Self { vms }
    }

    /// Set of witnesses that a peer has chosen from its own VM list.
    #[must_use]
    pub fn from_names(vms: Vec<String>) -> Self {
        Self { vms }
    }

    /// Names of the VMs, highest rank first.
    #[must_use]
    pub fn vms(&self) -> &[String] {
        &self.vms
    }

    /// Whether the VM `vm` is one of the witnesses.
    #[must_use]
    pub fn contains(&self, vm: &str) -> bool {
        self.vms.iter().any(|witness| witness == vm)
    }

    /// Whether both sets share at least a quorum of witnesses.
    ///
    /// Guards against a duplicate run of a key when daemons have different VM lists: each of them
    /// could win a quorum of witnesses that the other one never asks. Sets that differ in one
    /// witness share the other two, and two quorums that contain the same shared witness can't both
    /// grant a claim.
    #[must_use]
    pub fn shares_quorum_with(&self, other: &Self) -> bool {
        self.vms.iter().filter(|vm| other.contains(vm)).count() >= WITNESS_QUORUM
    }
}
