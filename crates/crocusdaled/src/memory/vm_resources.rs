use anyhow::{Context as _, Result};
use crocusdale_core::configuration::LimitSettings;
use nix::sys::resource::{Resource, getrlimit};
use procfs::Current as _;
use procfs::process::Process;

/// Largest memory of a process whose settings name none, in bytes.
const MAX_DEFAULT_MEMORY_BYTES: usize = 512_000_000;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmResources {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Maximum number of open descriptors.
    pub descriptors: usize,
}

impl VmResources {
    /// Returns what `limits` names, and what the operating system reports for the rest.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the limit of descriptors.
    pub fn read(limits: &LimitSettings) -> Result<Self> {
        let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE)
            .context("the limit of open descriptors can't be read")?;
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        Ok(Self {
            memory_bytes: limits.memory_bytes.unwrap_or_else(default_memory),
            descriptors: limits.descriptors.map_or(limit, |descriptors| descriptors.min(limit)),
        })
    }
}

/// Memory of the VM, or a smaller default.
fn default_memory() -> usize {
    let total = procfs::Meminfo::current().ok().and_then(|info| info.mem_total.try_into().ok());
    total.map_or(MAX_DEFAULT_MEMORY_BYTES, |total: usize| total.min(MAX_DEFAULT_MEMORY_BYTES))
}

/// Reads the resident memory of this process.
#[derive(Debug)]
pub(super) struct ResidentMemory {
    process: Option<Process>,
}

impl ResidentMemory {
    pub(super) fn open() -> Self {
        Self { process: Process::myself().ok() }
    }

    /// Resident memory in bytes. `None` if the operating system does not report it.
    pub(super) fn read(&self) -> Option<usize> {
        let pages = self.process.as_ref()?.statm().ok()?.resident;
        usize::try_from(pages * procfs::page_size()).ok()
    }
}
