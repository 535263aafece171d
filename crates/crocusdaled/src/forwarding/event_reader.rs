use bytes::{Bytes, BytesMut};

/// Largest server-sent event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Name of the field that holds the id of a server-sent event.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream of server-sent events into whole events, so that a caller never gets a partial
/// event.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were searched without finding the end of an
    /// event.
    searched_bytes: usize,
}

/// One whole server-sent event, exactly as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// Id of the event. `None` if the event has no id or one that is not an unsigned integer.
    pub id: Option<u64>,
}

/// An event exceeded the maximum size of 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventReader {
    /// Appends bytes of the stream to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next whole event from the buffer. Returns `None` until it has arrived
    /// completely.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event in the buffer is too large.
    pub fn next_event(&mut self) -> Result<Option<WholeEvent>, EventTooLarge> {
        let search_start = self.searched_bytes.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[search_start..]) else {
            self.searched_bytes = self.buffer.len();
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLarge) } else { Ok(None) };
        };
        let bytes = self.buffer.split_to(search_start + end).freeze();
        self.searched_bytes = 0;
        let id = event_id(&bytes);
        Ok(Some(WholeEvent { bytes, id }))
    }

    /// Whether the buffer holds bytes of an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the position after the empty line that ends the first event of `bytes`.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).position(|window| window == b"\n\n").map(|at| at + 2);
    let crlf_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
