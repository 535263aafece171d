//! Which upstream gets an attempt.

mod stage_pool;
mod upstream_router;
mod upstream_state;

pub use stage_pool::{SlotRequest, StagePool};
pub use upstream_router::{SlotGrant, UpstreamRouter};
pub use upstream_state::{AttemptReport, UpstreamState, UpstreamSummary};
