//! Memory that callers make the process hold, and the connections that hold it.

mod caller_memory;
mod connection_table;
mod held_bytes;
mod vm_resources;

pub use caller_memory::{CallerMemory, CallerUsage, NoRoom};
pub(crate) use connection_table::CallerConnection;
pub use connection_table::ConnectionTable;
pub(crate) use held_bytes::HeldBytes;
pub use vm_resources::VmResources;
