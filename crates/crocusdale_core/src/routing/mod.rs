//! Chooses the upstream for each attempt.

mod attempt_queue;
mod brittle_pool;
mod cold_limit;
mod cold_upstreams;
mod directory_change;
mod engine_choice;
mod engine_load;
mod load_figures;
mod peer_directory;
mod placed_choice;
mod pool_availability;
mod prefix_counter;
mod router_update;
mod transit_choice;
mod upstream_choice;
mod upstream_directory;
mod upstream_notice;
mod upstream_router;
mod upstream_state;
mod zone_evacuations;

pub use attempt_queue::{AttemptQueue, SlotRequest};
pub use brittle_pool::brittle_backoff;
pub use cold_limit::{ColdLimits, SEND_WINDOW};
pub use cold_upstreams::ColdUpstream;
pub use directory_change::{ChangedUpstream, DirectoryChange};
pub use engine_load::EngineLoad;
pub(crate) use load_figures::ReportedPace;
pub use load_figures::{LoadFigures, LoadNotice};
pub use peer_directory::{ListAge, PeerDirectory, PeerEntry, PeerRemoval};
pub use prefix_counter::PrefixCounter;
pub(crate) use upstream_directory::RESTORE_GRACE;
pub use upstream_directory::{DirectoryEntry, UpstreamDirectory};
pub use upstream_notice::UpstreamNotice;
pub use upstream_router::{CONNECT_TIMEOUT, SlotGrant, UpstreamRouter};
pub use upstream_state::{AttemptReport, UpstreamState, UpstreamSummary};
pub use zone_evacuations::ZoneEvacuation;
