//! The buffer of a body, which grows as the body comes.

use memmap2::MmapMut;

/// From this capacity on, a buffer is memory of the system's own, which goes back to it at once. The allocator would
/// keep back what smaller buffers leave when they grow.
const MAPPED_BYTES_MIN: usize = 16 << 10;

/// A buffer with a capacity that its user chooses.
pub(crate) enum BodyBuffer {
    Heap(Vec<u8>),
    Mapped { map: MmapMut, len: usize },
}

impl Default for BodyBuffer {
    fn default() -> Self {
        BodyBuffer::Heap(Vec::new())
    }
}

impl BodyBuffer {
    pub(crate) fn len(&self) -> usize {
        self.as_ref().len()
    }

    pub(crate) fn capacity(&self) -> usize {
        match self {
            BodyBuffer::Heap(data) => data.capacity(),
            BodyBuffer::Mapped { map, .. } => map.len(),
        }
    }

    /// Appends a piece, for which there must be capacity.
    pub(crate) fn extend(&mut self, piece: &[u8]) {
        match self {
            BodyBuffer::Heap(data) => data.extend_from_slice(piece),
            BodyBuffer::Mapped { map, len } => {
                let end = *len + piece.len();
                map[*len..end].copy_from_slice(piece);
                *len = end;
            }
        }
    }

    /// Grows to this capacity.
    pub(crate) fn grow(&mut self, capacity: usize) {
        if capacity < MAPPED_BYTES_MIN {
            return self.grow_on_heap(capacity);
        }
        match MmapMut::map_anon(capacity) {
            Ok(mut map) => {
                let len = self.len();
                map[..len].copy_from_slice(self.as_ref());
                *self = BodyBuffer::Mapped { map, len };
            }
            // The system bounds the number of mappings.
            Err(_) => self.grow_on_heap(capacity),
        }
    }

    fn grow_on_heap(&mut self, capacity: usize) {
        let mut data = match std::mem::take(self) {
            BodyBuffer::Heap(data) => data,
            BodyBuffer::Mapped { map, len } => map[..len].to_vec(),
        };
        data.reserve_exact(capacity - data.len());
        *self = BodyBuffer::Heap(data);
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            BodyBuffer::Heap(data) => data,
            BodyBuffer::Mapped { map, len } => &map[..*len],
        }
    }
}
