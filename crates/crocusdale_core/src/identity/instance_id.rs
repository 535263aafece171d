use std::fmt;

use serde::Serialize;

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
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.vm, self.incarnation)
    }
}
