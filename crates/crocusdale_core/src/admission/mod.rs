//! Admission control: limits on concurrent requests, the queue of late requests, and the detection
//! of workspaces that flood the daemon.

mod admission_gate;
mod entry_backlog;
mod workspace_meter;

pub use admission_gate::{AdmissionGate, AdmissionPermit};
pub use entry_backlog::{EntryBacklog, EntryVerdict};
pub use workspace_meter::WorkspaceMeter;
