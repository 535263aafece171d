use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::memory::{ConnectionPhase, HoldClass, SMALL_BODY_BYTES};
use http_body_util::BodyExt as _;
use tokio::sync::OwnedSemaphorePermit;
use volo_http::body::Body;

use super::body_buffer::BodyBuffer;
use crate::memory::{CallerConnection, CallerMemory, HeldBytes, NoRoom};

/// Time for which the rest of a refused body is read and discarded. A caller that sends at full
/// speed finishes in well under a second.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bytes that are discarded of a refused body. This is several times the usual
/// body limit.
const MAX_DISCARDED_BYTES: usize = 32 << 20;
/// Number of bytes by which the memory for a body of unknown length grows.
const HOLD_STEP_BYTES: usize = 64 << 10;
/// Time after which a caller may come back if the operating system has no memory for a body.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The body is larger than the limit of the reader.
    TooLarge,
    /// The connection failed before the body was complete.
    Incomplete,
    /// There is no memory for the body. Names the time after which there may be.
    NoRoom(Duration),
}

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body is larger than the limit",
            Self::Incomplete => "the body ended before it was complete",
            Self::NoRoom(_) => "there is no memory for the body",
        })
    }
}

impl std::error::Error for BodyFault {}

impl From<NoRoom> for BodyFault {
    fn from(no_room: NoRoom) -> Self {
        Self::NoRoom(no_room.retry_after)
    }
}

/// Memory in which a body is held for a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyRoom<'a> {
    memory: &'a Arc<CallerMemory>,
    connection: Option<&'a Arc<CallerConnection>>,
    kind: HeldKind,
}

/// What is held for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldKind {
    /// Body of a request, which is refused if there is no room.
    Request,
    /// Answer to a request that has run, which waits for room.
    Answer,
}

impl<'a> BodyRoom<'a> {
    /// Room for the body of a request on `connection`.
    pub(crate) fn for_request(
        memory: &'a Arc<CallerMemory>,
        connection: Option<&'a Arc<CallerConnection>>,
    ) -> Self {
        Self { memory, connection, kind: HeldKind::Request }
    }

    /// Room for the answer to a request on `connection`.
    pub(crate) fn for_answer(
        memory: &'a Arc<CallerMemory>,
        connection: Option<&'a Arc<CallerConnection>>,
    ) -> Self {
        Self { memory, connection, kind: HeldKind::Answer }
    }

    /// Holds memory in `held` for a body that has grown to `len` bytes, up to the `limit`.
    async fn grow(
        self,
        held: &mut Option<HeldBytes>,
        len: usize,
        limit: usize,
    ) -> Result<(), NoRoom> {
        let held_bytes = held.as_ref().map_or(0, HeldBytes::bytes);
        if len <= SMALL_BODY_BYTES || len <= held_bytes {
            return Ok(());
        }
        let wanted = len.next_multiple_of(HOLD_STEP_BYTES).min(limit.max(len));
        let class = HoldClass::of(wanted);
        match (self.kind, held) {
            (HeldKind::Request, Some(held)) => {
                self.memory.extend(held, wanted - held_bytes, class)?;
            }
            (HeldKind::Request, held) => {
                *held = Some(self.memory.hold(wanted, class, self.connection)?);
                if let Some(connection) = self.connection.filter(|_| class == HoldClass::Large) {
                    connection.begin_large_body();
                }
            }
            (HeldKind::Answer, Some(held)) => {
                self.memory.extend_answer(held, wanted - held_bytes).await?;
            }
            (HeldKind::Answer, held) => {
                *held = Some(self.memory.hold_answer(wanted, self.connection).await?);
            }
        }
        Ok(())
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns whether the body was too large or incomplete.
pub async fn read_body(mut body: Body, limit: usize) -> Result<Bytes, BodyFault> {
    read_up_to(&mut body, limit, None).await
}

/// Reads the answer of an upstream, of at most `limit` bytes, and holds it in `room`.
///
/// # Errors
///
/// Returns whether the answer was too large or incomplete, or had no room.
pub(crate) async fn read_held_answer(
    mut body: impl http_body::Body<Data = Bytes> + Unpin,
    limit: usize,
    room: BodyRoom<'_>,
) -> Result<Bytes, BodyFault> {
    read_up_to(&mut body, limit, Some(room)).await
}

/// Reads the body of a caller's request, of at most `limit` bytes, and holds it in `room`. The rest
/// of a body that is refused is read and discarded in the background for at most three seconds.
///
/// # Errors
///
/// Returns whether the body was too large or incomplete, or had no room.
pub(crate) async fn read_caller_body(
    mut body: Body,
    limit: usize,
    room: BodyRoom<'_>,
) -> Result<Bytes, BodyFault> {
    let read = read_up_to(&mut body, limit, Some(room)).await;
    let phase = match read {
        Ok(_) | Err(BodyFault::Incomplete) => ConnectionPhase::Serving,
        Err(BodyFault::TooLarge | BodyFault::NoRoom(_)) => ConnectionPhase::Discarding,
    };
    if let Some(connection) = room.connection {
        connection.begin(phase);
    }
    if phase == ConnectionPhase::Discarding
        && let Some(permit) = room.memory.discard_permit()
    {
        tokio::spawn(discard_rest(body, permit));
    }
    read
}

async fn read_up_to(
    body: &mut (impl http_body::Body<Data = Bytes> + Unpin),
    limit: usize,
    room: Option<BodyRoom<'_>>,
) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyFault::TooLarge);
    }
    let announced = body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
    let mut buffer = BodyBuffer::new(announced, limit);
    if let (Some(room), Some(announced)) = (room, announced) {
        room.grow(&mut buffer.held, announced, announced).await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        let len = buffer.len() + data.len();
        if len > limit {
            return Err(BodyFault::TooLarge);
        }
        if let Some(room) = room {
            room.grow(&mut buffer.held, len, limit).await?;
        }
        // The bytes are copied, as a frame keeps the whole read buffer of its connection.
        buffer.push(data).map_err(|_| BodyFault::NoRoom(NO_MEMORY_RETRY_DELAY))?;
    }
    Ok(buffer.into_bytes())
}

/// Reads the rest of a body and discards it.
///
/// Guards against callers that never see why their request was refused. A connection that is closed
/// with unread bytes is reset, and the reset overtakes the answer. A caller that is still writing
/// then sees a broken pipe, and sends the same body again.
async fn discard_rest(body: Body, _permit: OwnedSemaphorePermit) {
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
