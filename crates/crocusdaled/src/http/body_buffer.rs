use bytes::Bytes;
use crocusdale_core::memory::SMALL_BODY_BYTES;
use memmap2::{Advice, MmapMut};

use crate::memory::HeldBytes;

/// Bytes of a body in the order in which they arrive, in one piece of memory.
///
/// A body that is not small gets a memory mapping of its own. Only the pages with bytes take memory,
/// and the operating system has them back once the body is dropped. On the heap, the memory of such
/// bodies would be scattered and mostly stay with the process.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    storage: BodyStorage,
    /// Number of bytes that have arrived.
    len: usize,
    /// Largest number of bytes that may arrive.
    max_len: usize,
    /// Whether exactly this number was announced.
    is_announced: bool,
    /// Memory that is held for the body. `None` if it is small, or not sent by a caller.
    pub(super) held: Option<HeldBytes>,
}

#[derive(Debug)]
enum BodyStorage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

/// A complete body in a memory mapping.
#[derive(Debug)]
struct MappedBody {
    mapping: MmapMut,
    len: usize,
    _held: Option<HeldBytes>,
}

impl AsRef<[u8]> for MappedBody {
    fn as_ref(&self) -> &[u8] {
        &self.mapping[..self.len]
    }
}

impl BodyBuffer {
    /// Creates a buffer for a body of `announced` bytes, or of at most `limit` bytes if none are
    /// announced.
    pub(super) fn new(announced: Option<usize>, limit: usize) -> Self {
        let expected = announced.filter(|len| *len <= SMALL_BODY_BYTES).unwrap_or_default();
        Self {
            storage: BodyStorage::Heap(Vec::with_capacity(expected)),
            len: 0,
            max_len: announced.unwrap_or(limit),
            is_announced: announced.is_some(),
            held: None,
        }
    }

    /// Number of bytes that have arrived.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Appends `bytes`, which must not exceed the largest size.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it has no memory for a mapping.
    pub(super) fn push(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let new_len = self.len + bytes.len();
        if let BodyStorage::Heap(heap) = &mut self.storage
            && new_len > SMALL_BODY_BYTES
        {
            let mut mapping = new_mapping(self.max_len, self.is_announced)?;
            mapping[..self.len].copy_from_slice(heap);
            self.storage = BodyStorage::Mapped(mapping);
            if let Some(held) = &mut self.held {
                held.record_arrival(self.len);
            }
        }
        match &mut self.storage {
            BodyStorage::Heap(heap) => heap.extend_from_slice(bytes),
            BodyStorage::Mapped(mapping) => {
                mapping[self.len..new_len].copy_from_slice(bytes);
                if let Some(held) = &mut self.held {
                    held.record_arrival(bytes.len());
                }
            }
        }
        self.len = new_len;
        Ok(())
    }

    /// Returns the bytes that have arrived, without a copy. Memory that was held for more is given
    /// back at once, the rest when the bytes are dropped.
    pub(super) fn into_bytes(mut self) -> Bytes {
        if let Some(held) = &mut self.held {
            held.shrink_to_arrived();
        }
        match self.storage {
            BodyStorage::Heap(heap) => heap.into(),
            BodyStorage::Mapped(mapping) => {
                Bytes::from_owner(MappedBody { mapping, len: self.len, _held: self.held })
            }
        }
    }
}

fn new_mapping(len: usize, is_announced: bool) -> std::io::Result<MmapMut> {
    let mapping = MmapMut::map_anon(len)?;
    // Huge pages save most page faults of a body whose memory is held as a whole. For a body of
    // unknown length they would take memory beyond the bytes that have arrived. Kernels without huge
    // pages reject the advice.
    let _ = mapping.advise(if is_announced { Advice::HugePage } else { Advice::NoHugePage });
    Ok(mapping)
}
