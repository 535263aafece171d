//! Identifiers of processes, requests, attempts and store positions; stable hashes; monotonic time.

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

/// Hash of `parts` that is equal in all processes. The boundaries between parts matter. Not
/// cryptographic.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}
