//! Batching: pieces of many requests share calls to upstreams, which one dispatcher per pool forms.
//!
//! A piece is one of the work items that a pipeline step consists of. Upstreams process the pieces
//! of a step independently of each other. The step is complete once all its pieces have results.
//!
//! An upstream of a batched pool runs one call at a time, and most of the time of a call does not
//! depend on its number of pieces. So calls should be full, which needs a view of all waiting
//! pieces of the pool. If every daemon formed its own calls, they would send many small ones, and
//! soon no result would be in time. Therefore all pieces of a pool go to one daemon, its
//! dispatcher, chosen among the live members by rendezvous hashing.
//!
//! Large pools are sharded into sections, each with its own upstreams and dispatcher. Correctness
//! does not depend on a single dispatcher: two of them only waste capacity, a failed one is
//! replaced by the next in rank, and a piece may be processed twice.

mod batch_call;
mod batch_dispatcher;
mod batch_job;
mod batch_pool;
mod batch_worker;
mod call_forming;
mod call_limits;
mod crash_suspicion;
mod dispatcher_choice;
mod in_flight_call;
mod late_share;
mod link_targets;
mod pool_changes;
mod pool_forecast;
mod pool_section;
mod pool_status;
mod pool_waits;
mod published_pool;
mod result_memory;
mod result_release;

pub use batch_call::{BatchId, BatchItem, BatchOrder, BatchOutcome, ItemOutcome};
pub use batch_dispatcher::{BatchDispatcher, DispatchAction};
pub use batch_pool::BatchPool;
pub use dispatcher_choice::{DispatcherCandidates, DispatcherChoice, RequiredLinks};
pub use pool_section::PoolSection;
pub use pool_status::PoolStatus;
pub use pool_waits::{PoolWait, PoolWaits};
