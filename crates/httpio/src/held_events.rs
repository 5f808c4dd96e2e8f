//! The events of a stream, held within a budget from their first byte on.

use bytes::Bytes;

use crate::{
    budget::{ByteBudget, Charge},
    held::{UNCHARGED_PIECE_BYTES, charged},
    inbound::READ_BYTES_MAX,
    sse::{EventTooBig, Splitter},
};

/// Splits a stream into events like [`Splitter`]. Memory for events above [`UNCHARGED_PIECE_BYTES`] is charged to a
/// budget, also while they are incomplete.
#[derive(Debug)]
pub struct HeldEvents {
    splitter: Splitter,
    /// Of the buffer with the incomplete event. Once the event is complete, the charge goes with it, since two
    /// charges of one stream would wait for each other.
    charge: Charge,
    memory: ByteBudget,
}

impl HeldEvents {
    /// Creates a splitter that buffers at most `limit_bytes` of an incomplete event.
    #[must_use]
    pub fn new(memory: &ByteBudget, limit_bytes: usize) -> HeldEvents {
        let charge = memory.charge(None);
        HeldEvents { splitter: Splitter::new(limit_bytes), charge, memory: memory.clone() }
    }

    /// Waits until there is room for the next piece of the stream's body. Dropping the future loses no data.
    pub async fn reserve(&mut self) {
        let Some(capacity) = self.splitter.needed_capacity(READ_BYTES_MAX) else { return };
        // A small buffer grows with what comes.
        if capacity > 2 * UNCHARGED_PIECE_BYTES {
            self.charge.resize(capacity).await;
            self.splitter.grow(capacity);
        }
    }

    /// Appends the piece for which room was reserved.
    pub fn push(&mut self, piece: &[u8]) {
        self.splitter.push(piece);
    }

    /// Removes the next complete event, with the empty line that ends it. The charge of a large one ends when the last
    /// user of its bytes drops them.
    ///
    /// # Errors
    /// [`EventTooBig`] when an incomplete event exceeds the limit.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooBig> {
        let Some(event) = self.splitter.next_event()? else { return Ok(None) };
        if event.len() <= UNCHARGED_PIECE_BYTES {
            return Ok(Some(event));
        }
        self.splitter.detach();
        let charge = std::mem::replace(&mut self.charge, self.memory.charge(None));
        Ok(Some(charged(event, charge)))
    }

    /// Whether a part of an event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }
}
