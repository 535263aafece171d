//! Streams that go on where they began, whichever daemon takes them up.
//!
//! What two software versions of an upstream write does not fit together. The daemon that passes on
//! the first event of a stream knows the version that sent it, and records it with a few other
//! daemons, which hashing over the id of the caller's attempt chooses. A daemon that is to take the
//! stream up asks these. If none of them knows where the stream began, it is refused.

mod allowed_version;
mod origin_log;
mod record_keepers;
mod stream_key;
mod stream_origin;
mod stream_record;
mod version_history;

pub use allowed_version::AllowedVersion;
pub use origin_log::OriginLog;
pub use record_keepers::{RecordKeeper, RecordKeepers};
pub use stream_key::StreamKey;
pub use stream_origin::StreamOrigin;
pub use stream_record::{MAX_RECORD_TIME, StreamRecord};
pub use version_history::{ReportedVersion, VersionHistory, VersionReport};
