//! Admission control: limits on concurrent requests, the queue of late requests, the detection of
//! workspaces that flood the daemon, the coordinators that admit requests with batched steps by the
//! load of all pools that they need, the shares of workspaces under scarcity, and the capacity that
//! is reserved for refused callers.

mod admission_class;
mod admission_coordinator;
mod admission_coordinators;
mod admission_decision;
mod admission_gate;
mod admission_limits;
mod admission_request;
mod dropped_entries;
mod entry_backlog;
mod fair_allocation;
mod level_work;
mod pool_calendar;
mod pool_ledger;
mod pool_reports;
mod return_slots;
mod work_rate;
mod workspace_meter;
mod workspace_shares;
mod workspace_usage;

pub use admission_class::AdmissionClass;
pub use admission_coordinator::AdmissionCoordinator;
pub use admission_coordinators::{AdmissionCoordinators, ExpiredAdmissions};
pub use admission_decision::{AdmissionDecision, AdmissionInputs, AdmissionVerdict, SlotOutcome};
pub use admission_gate::{AdmissionGate, AdmissionPermit};
pub use admission_limits::{AdmissionLimits, AdmissionLimitsBuilder};
pub use admission_request::{AdmissionRequest, AdmissionStep};
pub use entry_backlog::{EntryBacklog, EntryVerdict};
pub use level_work::LevelWork;
pub use pool_ledger::PoolLedger;
use pool_reports::PoolReports;
pub use return_slots::{RefusedRequest, ReturnSlots, SlotClaim, StepDemand};
pub use workspace_meter::WorkspaceMeter;
pub use workspace_shares::WorkspaceShares;
