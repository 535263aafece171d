use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use volo_http::body::Body;

use super::body_buffer::BodyBuffer;

/// Time for which the rest of a body that is too large is read and discarded. A caller that sends
/// at full speed finishes in well under a second.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bytes that are discarded of a body that is too large. This is several times
/// the usual body limit.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is larger than the limit of the reader.
    TooLarge,
    /// The connection failed before the body was complete.
    Incomplete,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body is larger than the limit",
            Self::Incomplete => "the body ended before it was complete",
        })
    }
}

impl std::error::Error for BodyFault {}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns whether the body was too large or incomplete.
pub async fn read_body(mut body: Body, limit: usize) -> Result<Bytes, BodyFault> {
    read_up_to(&mut body, limit).await
}

/// Reads the answer of an upstream, of at most `limit` bytes.
///
/// # Errors
///
/// Returns whether the answer was too large or incomplete.
pub(crate) async fn read_answer_body(
    mut body: impl http_body::Body<Data = Bytes> + Unpin,
    limit: usize,
) -> Result<Bytes, BodyFault> {
    read_up_to(&mut body, limit).await
}

/// Reads the body of a caller's request, up to `limit` bytes. If the body is larger, the rest is
/// read and discarded in the background for at most three seconds.
///
/// # Errors
///
/// Returns whether the body was too large or incomplete.
pub async fn read_caller_body(mut body: Body, limit: usize) -> Result<Bytes, BodyFault> {
    let read = read_up_to(&mut body, limit).await;
    if read == Err(BodyFault::TooLarge) {
        tokio::spawn(discard_rest(body));
    }
    read
}

async fn read_up_to(
    body: &mut (impl http_body::Body<Data = Bytes> + Unpin),
    limit: usize,
) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyFault::TooLarge);
    }
    let announced = body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
    let mut buffer = BodyBuffer::new(announced, limit);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        if buffer.len() + data.len() > limit {
            return Err(BodyFault::TooLarge);
        }
        // The bytes are copied, as a frame keeps the whole read buffer of its connection.
        buffer.push(data).map_err(|_| BodyFault::Incomplete)?;
    }
    Ok(buffer.into_bytes())
}

/// Reads the rest of a body and discards it.
///
/// Guards against callers that never see why their request was refused. A connection that is closed
/// with unread bytes is reset, and the reset overtakes the answer. A caller that is still writing
/// then sees a broken pipe, and sends the same body again.
async fn discard_rest(body: Body) {
    let rest = async {
        let (mut body, mut discarded_bytes) = (body, 0);
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
    };
    // After the timeout the connection is closed with bytes unread, so that no caller can hold it
    // any longer.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}
