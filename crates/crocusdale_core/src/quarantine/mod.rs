//! Requests that crash the upstreams which run them, and how a fleet stops sending them on.
//!
//! A caller repeats such a request with another key and the same content, at any daemon. What its
//! repeats share is a [`RequestDigest`](crate::identity::RequestDigest); under it the daemons count
//! together the upstreams that ended while they ran it; the third one stops it for [`QUARANTINE`].

mod crash_detector;
mod crash_log;
mod crash_record;
mod success_memory;

pub use crash_detector::{CrashDetector, CrashVerdict};
pub use crash_log::{CrashLog, QUARANTINE};
pub use crash_record::{CrashRecord, UpstreamEnd};
pub use success_memory::SuccessMemory;
