//! Quarantine of requests that crash the upstreams which run them.
//!
//! Callers retry such a request with a new key and the same content, at any daemon. All retries
//! share one [`RequestDigest`](crate::identity::RequestDigest), under which the daemons jointly
//! count the upstreams that crashed. After the third crash the request is refused for
//! [`QUARANTINE_DURATION`].
//!
//! A single part of a prompt may crash engines as well, whatever else the requests hold. The daemons
//! count the crashes under each [`PartId`](crate::identity::PartId) too, see [`PartDetector`].

mod crash_detector;
mod crash_log;
mod crash_record;
mod part_detector;
mod recent_successes;

pub use crash_detector::{CrashDetector, CrashVerdict};
pub use crash_log::{CrashLog, QUARANTINE_DURATION};
pub use crash_record::{CrashRecord, PartRecord, UpstreamCrash};
pub use part_detector::{PartDetector, PartVerdict};
pub use recent_successes::RecentSuccesses;
