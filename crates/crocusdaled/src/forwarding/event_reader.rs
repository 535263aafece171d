use bytes::{Bytes, BytesMut};

/// Largest event that is read, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Field of an event that holds its id.
const ID_FIELD: &[u8] = b"id:";

/// Cuts a stream into whole events, so that a caller never gets a part of one.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Bytes of the buffer in which no end of an event was found.
    searched: usize,
}

/// One whole event, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// An event is larger than what is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventReader {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event out.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is larger than what is read.
    pub fn next_event(&mut self) -> Result<Option<WholeEvent>, EventTooLarge> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > EVENT_LIMIT { Err(EventTooLarge) } else { Ok(None) };
        };
        let bytes = self.buffer.split_to(from + end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Ok(Some(WholeEvent { bytes, id }))
    }

    /// Whether a part of an event is left.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Position behind the empty line that ends the first event of `bytes`.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, with_returns) {
        (Some(plain), Some(other)) => Some(plain.min(other)),
        (plain, other) => plain.or(other),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
