//! Choice of the model engine for the requests of all daemons, by the coordinator of a pool.

mod cost_estimate;
mod engine_placer;
mod engine_placers;
mod engine_queue;
mod engine_speed;
mod first_event_model;
mod placed_engine;
mod placement_report;
mod placement_request;
mod prompt_cache;
mod sample_mean;

pub use engine_placer::{EngineInfo, EnginePlacer};
pub use engine_placers::{EnginePlacers, EngineSpeedSummary, coordinator_name, section_name};
pub use engine_queue::EngineQueue;
pub use engine_speed::EngineSpeed;
pub use first_event_model::{FirstEventModel, FirstEventTime};
pub use placement_report::{PlacementOutcome, PlacementReport};
pub(crate) use placement_request::{MAX_NAMES, MAX_PARTS, MAX_TOKENS};
pub use placement_request::{PlacementReply, PlacementRequest};
pub use prompt_cache::PromptCache;
pub use sample_mean::SampleMean;
