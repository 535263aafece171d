//! Calls that pieces of many requests share, formed by one dispatcher for each pool.
//!
//! An upstream of a batched pool takes one call at a time, and most of a call's time is the same
//! however many pieces it holds. Whoever sees all waiting pieces of a pool fills its calls; daemons
//! that each form their own calls send many small ones, and soon none is in time. So the pieces of
//! a pool go to one daemon, its dispatcher, chosen by rendezvous hashing over the live members. A large
//! pool is cut into sections, each with its own upstreams and dispatcher. No promise rests on there being
//! one: two dispatchers cost efficiency, a lost one is replaced by the next in rank, and a piece may be
//! made twice.

mod batch_call;
mod batch_dispatcher;
mod batch_job;
mod batch_pool;
mod batch_worker;
mod call_forming;
mod call_limits;
mod crash_suspicion;
mod dispatcher_choice;
mod open_batch;
mod pool_changes;
mod pool_forecast;
mod pool_section;
mod pool_waits;
mod result_release;
mod room_account;

pub use batch_call::{BatchId, BatchItem, BatchOrder, BatchOutcome, ItemOutcome};
pub use batch_dispatcher::{BatchDispatcher, DispatchStep};
pub use batch_pool::BatchPool;
pub use dispatcher_choice::DispatcherChoice;
pub use pool_section::PoolSection;
pub use pool_waits::{PoolWait, PoolWaits};
