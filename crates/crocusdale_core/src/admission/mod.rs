//! What runs at one time, and what has to wait for its turn to begin.

mod admission_gate;
mod entry_backlog;
mod workspace_meter;

pub use admission_gate::{AdmissionGate, AdmissionPermit};
pub use entry_backlog::{EntryBacklog, EntryVerdict};
pub use workspace_meter::WorkspaceMeter;
