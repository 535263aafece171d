use std::sync::Arc;

use crocusdale_core::identity::StorePosition;

use super::{ServiceReader, StoreReader};
use crate::engine::DaemonEngine;

/// Reads what the platform publishes, from services or from a key-value store.
#[derive(Debug)]
pub enum PlatformReader {
    /// Reads from a configuration service and a VM list service.
    Services(ServiceReader),
    /// Reads from a key-value store.
    Store(StoreReader),
}

impl PlatformReader {
    /// Waits for a configuration with another revision than `known`, and passes it to the core.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>, known: u64) {
        match self {
            Self::Services(reader) => reader.watch_configuration(engine, known),
            Self::Store(reader) => reader.watch_configuration(engine),
        }
    }

    /// Reads the VM list if its revision is newer than `known`, and passes it to the core.
    pub fn read_vm_list(&self, engine: &Arc<DaemonEngine>, known: u64) {
        match self {
            Self::Services(reader) => reader.read_vm_list(engine, known),
            Self::Store(_) => debug_assert!(false, "a VM list is only read from services"),
        }
    }

    /// Reads the changes of the published upstreams after `since`, or all upstreams, and passes them
    /// to the core.
    pub fn read_directory(&self, engine: &Arc<DaemonEngine>, since: StorePosition) {
        match self {
            Self::Services(_) => debug_assert!(false, "a directory is only read from a store"),
            Self::Store(reader) => reader.read_directory(engine, since),
        }
    }
}
