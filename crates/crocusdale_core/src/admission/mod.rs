//! Admission control: what may run at one time, and what waits to begin.

mod admission_gate;
mod entry_backlog;
mod workspace_meter;

pub use admission_gate::{AdmissionGate, AdmissionPermit};
pub use entry_backlog::{EntryBacklog, EntryVerdict};
pub use workspace_meter::WorkspaceMeter;
