use std::sync::Arc;

use super::{ServiceReader, StoreReader};
use crate::engine::DaemonEngine;

/// Reads what the platform publishes, in whichever way it does.
#[derive(Debug)]
pub enum PlatformReader {
    /// From a configuration service and a VM list.
    Services(ServiceReader),
    /// From a store.
    Store(StoreReader),
}

impl PlatformReader {
    /// Waits for a configuration other than the one with the revision `known`.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>, known: u64) {
        match self {
            Self::Services(reader) => reader.watch_configuration(engine, known),
            Self::Store(reader) => reader.watch_configuration(engine),
        }
    }

    /// Reads the VM list, if it is newer than `known`.
    pub fn read_vm_list(&self, engine: &Arc<DaemonEngine>, known: u64) {
        match self {
            Self::Services(reader) => reader.read_vm_list(engine, known),
            Self::Store(_) => debug_assert!(false, "a store has no VM list"),
        }
    }

    /// Reads the published upstreams.
    pub fn read_directory(&self, engine: &Arc<DaemonEngine>) {
        match self {
            Self::Services(_) => debug_assert!(false, "upstreams are declared"),
            Self::Store(reader) => reader.read_directory(engine),
        }
    }
}
