//! Identifiers of processes, requests, attempts and store positions; software versions; stable hashes; monotonic
//! time.

mod instance_id;
mod monotonic_time;
mod part_id;
mod request_digest;
mod request_key;
mod software_version;
mod store_position;

pub use instance_id::InstanceId;
pub use monotonic_time::MonotonicTime;
pub use part_id::PartId;
pub use request_digest::RequestDigest;
pub use request_key::{AttemptId, CallId, RequestKey};
pub use software_version::SoftwareVersion;
pub use store_position::StorePosition;

/// Length up to which the input of a hash is collected on the stack, in bytes.
const SHORT_INPUT: usize = 256;

/// Hash of `parts` that is equal in all processes. The boundaries between parts matter. Not
/// cryptographic.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    // The one-shot hash gives the same value as the streaming one, which has a large state to
    // initialize.
    let mut input = [0; SHORT_INPUT];
    let mut length = 0;
    for part in parts {
        for bytes in [&part.len().to_le_bytes()[..], part.as_bytes()] {
            let Some(free) = input.get_mut(length..length + bytes.len()) else {
                return streaming_hash(parts);
            };
            free.copy_from_slice(bytes);
            length += bytes.len();
        }
    }
    xxhash_rust::xxh3::xxh3_64(&input[..length])
}

fn streaming_hash(parts: &[&str]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}
