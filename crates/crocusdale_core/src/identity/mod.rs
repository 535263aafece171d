//! Names, incarnations, request keys and time.

mod instance_id;
mod monotonic_time;
mod request_digest;
mod request_key;
mod store_position;

pub use instance_id::InstanceId;
pub use monotonic_time::MonotonicTime;
pub use request_digest::RequestDigest;
pub use request_key::{AttemptId, CallId, RequestKey};
pub use store_position::StorePosition;

/// Hashes `parts` to a number that is the same in every process.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}
