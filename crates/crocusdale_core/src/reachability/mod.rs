//! Which upstreams this daemon can connect to over its own network links, and which other daemon to
//! send a request through if it can't.
//!
//! A failed connection doesn't tell a failed upstream from a failed link of this VM. The difference
//! matters: a failed upstream is avoided by all daemons, while an upstream behind a failed link can
//! still be reached by others.

mod link_monitor;
mod probe_evidence;
mod transit_request;
mod transit_table;

pub use link_monitor::{LinkChange, LinkMonitor, LinkPath, LinkResult, LinkTarget};
pub use probe_evidence::{ProbeConnection, ProbeEvidence};
pub use transit_request::{TransitGrant, TransitRefusal, TransitRequest};
pub use transit_table::{TransitEnd, TransitGoal, TransitTable};
