use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use volo_http::body::Body;

/// Time for which the rest of a body that is too large is read and dropped. A caller that sends as
/// fast as it can is done in well under a second.
const DROP_TIME: Duration = Duration::from_secs(3);
/// Bytes of such a rest that are read at most: several times the usual limit.
const DROP_LIMIT: usize = 32 << 20;

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
pub async fn read_body(mut body: Body, limit: usize) -> Result<Bytes, BodyFault> {
    read_up_to(&mut body, limit).await
}

/// Reads the body of a caller's request, up to `limit` bytes. The rest of one that is larger is
/// read and dropped behind the answer, for three seconds at most.
///
/// # Errors
///
/// Returns whether the body was too large or cut.
pub async fn read_caller_body(mut body: Body, limit: usize) -> Result<Bytes, BodyFault> {
    let read = read_up_to(&mut body, limit).await;
    if read == Err(BodyFault::TooLarge) {
        tokio::spawn(drop_rest(body));
    }
    read
}

async fn read_up_to(body: &mut Body, limit: usize) -> Result<Bytes, BodyFault> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Err(_) => Err(BodyFault::Cut),
    }
}

/// Reads the rest of a body and drops it.
///
/// Guards against callers that never see why they were refused: a connection that is closed with
/// bytes unread is reset, and the reset overtakes the answer. A caller that was still writing sees
/// a broken pipe, and tries again with the same body.
async fn drop_rest(body: Body) {
    let rest = async {
        let (mut body, mut dropped) = (body, 0);
        while let Some(Ok(frame)) = body.frame().await {
            dropped += frame.data_ref().map_or(0, Bytes::len);
            if dropped > DROP_LIMIT {
                break;
            }
        }
    };
    // Past that time the connection is closed as it is: nobody may hold it for longer.
    let _ = tokio::time::timeout(DROP_TIME, rest).await;
}
