use std::fmt;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use volo_http::body::Body;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than the limit.
    TooLarge,
    /// It ended before it was whole.
    Cut,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body is larger than the limit",
            Self::Cut => "the body was cut",
        })
    }
}

impl std::error::Error for BodyFault {}

/// Reads `body` whole, up to `limit` bytes.
///
/// # Errors
///
/// Returns whether the body was too large or cut.
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, BodyFault> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Err(_) => Err(BodyFault::Cut),
    }
}
