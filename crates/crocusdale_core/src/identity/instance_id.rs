use std::fmt;

use serde::Serialize;

use super::stable_hash;

/// One life of one process on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct InstanceId {
    /// Name of the VM.
    pub vm: String,
    /// Grows with each process start on that VM.
    pub incarnation: u64,
}

impl InstanceId {
    /// Names the life `incarnation` of the process on `vm`.
    #[must_use]
    pub fn new(vm: impl Into<String>, incarnation: u64) -> Self {
        Self { vm: vm.into(), incarnation }
    }

    /// Number that tells this life from those of all VMs.
    ///
    /// Guards against two processes that take each other's attempts for their own. Incarnations only
    /// grow on one VM: of 190 processes that start in one millisecond, two have the same one in a
    /// quarter of all starts. Their first calls have the same numbers too, and a dispatcher gave one the
    /// results that it had made for the other.
    #[must_use]
    pub fn mark(&self) -> u64 {
        stable_hash(&[&self.vm, &self.incarnation.to_string()])
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.vm, self.incarnation)
    }
}
