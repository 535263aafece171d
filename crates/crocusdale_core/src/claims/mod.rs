//! At most one run per key, and honest answers about it.
//!
//! Three witnesses each keep a write-once register per key, in memory. A daemon dispatches a not
//! repeatable request only with claims in two of them. "Not run" is said only by one who knows of
//! two registers that can never become claims of a daemon that runs.

mod register_shard;
mod witness_poll;

pub use register_shard::{RegisterReply, RegisterShard, RegisterState};
pub use witness_poll::{ClaimVerdict, KeyVerdict, WitnessPoll};
