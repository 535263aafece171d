use std::sync::Arc;

use crocusdale_core::memory::ByteLease;

use super::{CallerConnection, CallerMemory};

/// Memory that is held for a body or an answer. It is given back when this is dropped, whatever ends
/// the request.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    memory: Arc<CallerMemory>,
    lease: ByteLease,
    /// Number of bytes that have arrived, and so are part of the resident memory.
    arrived: usize,
    /// Connection of the caller. `None` if the bytes came from another daemon.
    connection: Option<Arc<CallerConnection>>,
}

impl HeldBytes {
    pub(super) fn new(
        memory: Arc<CallerMemory>,
        lease: ByteLease,
        connection: Option<Arc<CallerConnection>>,
    ) -> Self {
        if let Some(connection) = &connection {
            connection.add_held(lease.bytes());
        }
        Self { memory, lease, arrived: 0, connection }
    }

    /// Number of bytes that are held.
    pub(crate) fn bytes(&self) -> usize {
        self.lease.bytes()
    }

    /// Records that `bytes` have arrived.
    pub(crate) fn record_arrival(&mut self, bytes: usize) {
        self.arrived += bytes;
        self.memory.add_arrived(bytes);
    }

    /// Adds the bytes of `lease`.
    pub(super) fn extend(&mut self, lease: ByteLease) {
        if let Some(connection) = &self.connection {
            connection.add_held(lease.bytes());
        }
        self.lease.merge(lease);
    }

    /// Gives back what exceeds the bytes that have arrived.
    pub(crate) fn shrink_to_arrived(&mut self) {
        let surplus = self.lease.bytes().saturating_sub(self.arrived);
        if let Some(connection) = &self.connection {
            connection.remove_held(surplus);
        }
        self.lease.shrink_to(self.arrived);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.remove_arrived(self.arrived);
        if let Some(connection) = &self.connection {
            connection.remove_held(self.lease.bytes());
        }
    }
}
