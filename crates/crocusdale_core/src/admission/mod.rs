//! Admission control: limits on concurrent requests, the queue of late requests, the detection of
//! workspaces that flood the daemon, the shares of workspaces under scarcity, and the capacity that
//! is reserved for refused callers.

mod admission_gate;
mod dropped_entries;
mod entry_backlog;
mod fair_allocation;
mod pool_calendar;
mod return_slots;
mod workspace_meter;
mod workspace_shares;
mod workspace_usage;

pub use admission_gate::{AdmissionGate, AdmissionPermit};
pub use entry_backlog::{EntryBacklog, EntryVerdict};
pub use return_slots::{RefusedRequest, ReturnSlots, SlotClaim, StepDemand};
pub use workspace_meter::WorkspaceMeter;
pub use workspace_shares::WorkspaceShares;
