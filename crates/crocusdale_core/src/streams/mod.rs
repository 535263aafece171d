//! Streams that callers and daemons take up after they broke off.

mod stream_origin;

pub use stream_origin::StreamOrigin;
