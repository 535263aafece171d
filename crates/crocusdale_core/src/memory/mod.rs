//! Memory and descriptors that callers may take: how they are divided, and which connections are
//! closed when they run out.

mod byte_budget;
mod connection_progress;
mod memory_plan;

pub use byte_budget::{ByteBudget, ByteLease, HoldClass};
pub use connection_progress::{
    ConnectionPhase, ConnectionProgress, PlaceChoice, ProgressLimits, byte_victims, place_victim,
};
pub use memory_plan::{MemoryPlan, MemoryUsage, SMALL_BODY_BYTES};
