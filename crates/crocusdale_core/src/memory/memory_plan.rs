use crate::configuration::LimitSettings;

/// Largest body that is part of what its connection takes, in bytes. Larger ones are held in the
/// room that is left.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// Memory of a connection with a request: its task, two read buffers with the heads of the request
/// and of the next one, and a small body.
const CONNECTION_BYTES: usize = 40 << 10;
/// Part of the memory that callers' connections may take, as a divisor.
const CONNECTION_SHARE: usize = 4;
/// Memory of a connection to another listener than that of callers, without what is not read: its task
/// and two read buffers.
const LOOKUP_BYTES: usize = 24 << 10;
/// Received bytes of such a connection that the operating system keeps until they are read.
const LOOKUP_RECEIVE_BYTES: usize = 8 << 10;
/// Part of the memory that connections for lookups of addresses may take, as a divisor.
const LOOKUP_SHARE: usize = 32;
/// Part of the connections of a listener that may wait to be accepted, as a divisor.
const BACKLOG_SHARE: usize = 4;
/// Number of connections that may wait to be accepted at each listener however small the VM is.
const MIN_BACKLOG: usize = 128;
/// Part of the memory that is left free, as a divisor. It covers connections that are not accepted
/// yet, and what the allocator can't reuse.
const MARGIN_SHARE: usize = 16;
/// Part of the memory that bodies may take however much the process uses, as a divisor.
const LEAST_ROOM_SHARE: usize = 16;
/// Number of descriptors that are not used for sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the sockets that callers may take, as a divisor.
const CALLER_SOCKET_SHARE: usize = 2;
/// Part of the sockets that lookups of addresses may take, as a divisor.
const LOOKUP_SOCKET_SHARE: usize = 8;
/// Part of the sockets that operators, and probes of readiness, may take, as a divisor.
const OPERATOR_SOCKET_SHARE: usize = 16;
/// Maximum number of connections for lookups of addresses.
const MAX_LOOKUP_CONNECTIONS: usize = 1_024;
/// Maximum number of connections of operators, and of probes of readiness.
const MAX_OPERATOR_CONNECTIONS: usize = 32;
/// Number of connections that each listener has however small the VM is.
const MIN_CONNECTIONS: usize = 8;

/// How the memory and the descriptors of a VM are divided.
///
/// The memory is the sum of a margin, the connections of all listeners, the rest of the process, and
/// the room for bodies and answers that are not small.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    memory_bytes: usize,
    sockets: usize,
    connections: usize,
    receive_bytes: usize,
}

/// Memory that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Resident memory, in bytes.
    pub resident_bytes: usize,
    /// Part of it that holds bodies and answers, in bytes.
    pub body_bytes: usize,
    /// Number of open connections from callers.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides `memory_bytes` and `descriptors` of a VM with the settings `limits`.
    #[must_use]
    pub fn new(memory_bytes: usize, descriptors: usize, limits: &LimitSettings) -> Self {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connection_bytes = CONNECTION_BYTES + limits.receive_bytes;
        let connections = limits
            .connections
            .min(memory_bytes / CONNECTION_SHARE / connection_bytes)
            .min(sockets / CALLER_SOCKET_SHARE);
        Self {
            memory_bytes,
            sockets,
            connections: connections.max(MIN_CONNECTIONS.min(limits.connections)),
            receive_bytes: limits.receive_bytes,
        }
    }

    /// Maximum number of open connections from callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Maximum number of open connections for lookups of addresses.
    #[must_use]
    pub fn lookup_connections(&self) -> usize {
        let by_memory = self.memory_bytes / LOOKUP_SHARE / (LOOKUP_BYTES + LOOKUP_RECEIVE_BYTES);
        let lookups = (self.sockets / LOOKUP_SOCKET_SHARE).min(by_memory);
        lookups.clamp(MIN_CONNECTIONS, MAX_LOOKUP_CONNECTIONS)
    }

    /// Maximum number of open connections of operators, and also of probes of readiness.
    #[must_use]
    pub fn operator_connections(&self) -> usize {
        (self.sockets / OPERATOR_SOCKET_SHARE).clamp(MIN_CONNECTIONS, MAX_OPERATOR_CONNECTIONS)
    }

    /// Number of received bytes of a connection of these two kinds that the operating system keeps
    /// until they are read.
    #[must_use]
    pub fn lookup_receive_bytes(&self) -> usize {
        LOOKUP_RECEIVE_BYTES.min(self.receive_bytes)
    }

    /// Number of connections that may wait to be accepted at a listener that accepts `connections`.
    #[must_use]
    pub fn backlog(connections: usize) -> usize {
        (connections / BACKLOG_SHARE).max(MIN_BACKLOG)
    }

    /// Memory that is left free, in bytes.
    #[must_use]
    pub fn margin_bytes(&self) -> usize {
        self.memory_bytes / MARGIN_SHARE
    }

    /// Memory of `connections` open connections from callers, in bytes, received bytes that are not
    /// read included.
    #[must_use]
    pub fn connection_bytes(&self, connections: usize) -> usize {
        connections * (CONNECTION_BYTES + self.receive_bytes)
    }

    /// Memory of the connections of all other listeners, in bytes, received bytes that are not read
    /// included.
    #[must_use]
    pub fn lookup_bytes(&self) -> usize {
        let connections = self.lookup_connections() + 2 * self.operator_connections();
        connections * (LOOKUP_BYTES + LOOKUP_RECEIVE_BYTES)
    }

    /// Number of bytes of bodies and answers that have room beside `usage`.
    ///
    /// The room shrinks where the rest of the process grows. A sixteenth of the memory is always
    /// left for bodies.
    #[must_use]
    pub fn room(&self, usage: MemoryUsage) -> usize {
        let other_bytes = usage.resident_bytes.saturating_sub(usage.body_bytes);
        let further_connections = self.connections.saturating_sub(usage.connections);
        let open_connections = self.connections - further_connections;
        let taken = self.margin_bytes()
            + self.lookup_bytes()
            + other_bytes
            + self.connection_bytes(further_connections)
            + open_connections * self.receive_bytes;
        self.memory_bytes.saturating_sub(taken).max(self.memory_bytes / LEAST_ROOM_SHARE)
    }
}
