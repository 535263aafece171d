//! Chooses the upstream for each attempt.

mod cold_limit;
mod cold_upstreams;
mod engine_choice;
mod engine_load;
mod peer_directory;
mod pool_wait;
mod router_update;
mod stage_pool;
mod subject_tally;
mod upstream_choice;
mod upstream_directory;
mod upstream_notice;
mod upstream_router;
mod upstream_state;
mod zone_evacuations;

pub use cold_limit::{ColdLimits, SHARE_WINDOW};
pub use cold_upstreams::ColdUpstream;
pub use engine_load::EngineLoad;
pub use peer_directory::{ListAge, PeerDirectory, PeerEntry, PeerRemoval};
pub use stage_pool::{SlotRequest, StagePool};
pub use subject_tally::SubjectTally;
pub(crate) use upstream_directory::RESTORE_GRACE;
pub use upstream_directory::{DirectoryEntry, UpstreamDirectory};
pub use upstream_notice::UpstreamNotice;
pub use upstream_router::{CONNECT_PATIENCE, SlotGrant, UpstreamRouter};
pub use upstream_state::{AttemptReport, UpstreamState, UpstreamSummary};
pub use zone_evacuations::ZoneEvacuation;
