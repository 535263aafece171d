//! At-most-once execution of requests by idempotency key, and proof of whether a key ran.
//!
//! Three witness daemons each keep a write-once register per key, in memory. A daemon dispatches a
//! request that must run at most once only while two of these registers hold its claim. "Not run"
//! is answered only if two registers are known that can never become claims of a daemon that runs
//! the key.

mod register_shard;
mod witness_poll;

pub use register_shard::{RegisterReply, RegisterShard, RegisterState};
pub use witness_poll::{ClaimVerdict, KeyVerdict, WitnessPoll};
