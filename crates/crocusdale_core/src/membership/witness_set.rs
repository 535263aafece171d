use super::{VmRoster, VmState};
use crate::identity::{RequestKey, stable_hash};

/// Witnesses that a key has.
pub const WITNESS_COUNT: usize = 3;
/// Witnesses that must agree.
pub const WITNESS_QUORUM: usize = 2;

/// The VMs that keep the register of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessSet {
    vms: Vec<String>,
}

impl WitnessSet {
    /// Chooses the witnesses of `key` by rendezvous hashing, one a zone while zones last.
    ///
    /// A change of one VM in the list changes at most one witness of any key.
    #[must_use]
    pub fn choose(key: &RequestKey, roster: &VmRoster) -> Self {
        let mut ranked: Vec<(u64, &str, &str)> = roster
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
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        for (_, zone, name) in ranked {
            if zones.contains(&zone) {
                rest.push(name);
            } else {
                zones.push(zone);
                first.push(name);
            }
        }
        let vms = first.into_iter().chain(rest).take(WITNESS_COUNT).map(str::to_owned).collect();
        Self { vms }
    }

    /// Names the witnesses that a peer sees.
    #[must_use]
    pub fn from_names(vms: Vec<String>) -> Self {
        Self { vms }
    }

    /// The witnesses, best first.
    #[must_use]
    pub fn vms(&self) -> &[String] {
        &self.vms
    }

    /// Whether `vm` is among the witnesses.
    #[must_use]
    pub fn contains(&self, vm: &str) -> bool {
        self.vms.iter().any(|each| each == vm)
    }

    /// Whether two views of the witnesses have a quorum in common.
    ///
    /// Guards against VM lists that differ: two daemons could then each gather a quorum that the
    /// other never meets, which shows as a doubled run. Sets that differ by one witness share two,
    /// and any two quorums of which one holds a shared witness meet there.
    #[must_use]
    pub fn agrees_with(&self, other: &Self) -> bool {
        self.vms.iter().filter(|vm| other.contains(vm)).count() >= WITNESS_QUORUM
    }
}
