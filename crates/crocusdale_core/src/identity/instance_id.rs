use std::fmt;

use serde::Serialize;

use super::stable_hash;

/// Identifier of one daemon process on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct InstanceId {
    /// Name of the VM that runs the process.
    pub vm: String,
    /// Number that increases with each process start on the VM.
    pub incarnation: u64,
}

impl InstanceId {
    /// Creates the identifier of the process with the number `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: impl Into<String>, incarnation: u64) -> Self {
        Self { vm: vm.into(), incarnation }
    }

    /// Hash of the VM and the incarnation, which identifies the process in the whole fleet.
    ///
    /// Guards against attempts of different processes with equal identifiers. An incarnation alone
    /// is unique on one VM only: if 190 processes start within one millisecond, two of them have
    /// the same incarnation in a quarter of all cases. The numbers of their first calls are equal
    /// too, so a dispatcher returned results of one process to the other.
    #[must_use]
    pub fn process_hash(&self) -> u64 {
        stable_hash(&[&self.vm, &self.incarnation.to_string()])
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.vm, self.incarnation)
    }
}
