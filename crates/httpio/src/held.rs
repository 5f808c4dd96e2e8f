//! The body of one message, held whole within a budget, or a piece of a stream.

use bytes::Bytes;

use crate::{
    body_buffer::BodyBuffer,
    budget::{ByteBudget, Charge, NoRoom},
};

/// The memory that a body takes at first. It doubles as the body grows, up to the declared length, so that
/// a sender is charged for at most twice what it has sent.
const FIRST_BYTES: usize = 4 << 10;

/// A piece of a stream up to this size is not charged; few of them are buffered for a connection.
pub const UNCHARGED_PIECE_BYTES: usize = 4 << 10;

/// The part of a body that has arrived. What is allocated is charged, not only what is filled.
pub(crate) struct HeldBody {
    data: BodyBuffer,
    charge: Charge,
}

impl HeldBody {
    pub(crate) fn new(budget: &ByteBudget, declared_bytes: Option<usize>) -> HeldBody {
        HeldBody { data: BodyBuffer::default(), charge: budget.charge(declared_bytes) }
    }

    /// Refuses a body that would not fit if all of it came now.
    pub(crate) fn check_declared(&self) -> Result<(), NoRoom> {
        self.charge.check_declared()
    }

    /// Charges `beside` bytes that are buffered in front of the body.
    pub(crate) fn charge_beside(&mut self, beside: usize) -> Result<(), NoRoom> {
        self.charge.try_resize(self.data.capacity() + beside)
    }

    /// Appends a piece if there is room for it.
    pub(crate) fn try_extend(&mut self, piece: &[u8]) -> Result<(), NoRoom> {
        if let Some(capacity) = self.new_capacity(piece.len()) {
            self.charge.try_resize(capacity)?;
            self.data.grow(capacity);
        }
        self.data.extend(piece);
        Ok(())
    }

    /// Waits until there is room for all of the declared length.
    pub(crate) async fn reserve_declared(&mut self) {
        let Some(declared) = self.charge.declared_bytes() else { return };
        self.charge.resize(declared).await;
        self.data.grow(declared);
    }

    /// Appends a piece, and waits until there is room for it.
    pub(crate) async fn extend(&mut self, piece: &[u8]) {
        if let Some(capacity) = self.new_capacity(piece.len()) {
            self.charge.resize(capacity).await;
            self.data.grow(capacity);
        }
        self.data.extend(piece);
    }

    /// The body; its charge ends when the last user of these bytes drops them.
    pub(crate) fn freeze(self) -> Bytes {
        match self.data.len() == 0 {
            true => Bytes::new(),
            false => Bytes::from_owner(Charged { data: self.data, _charge: self.charge }),
        }
    }

    /// The capacity that a further piece takes, if it is more than there is.
    fn new_capacity(&self, piece_bytes: usize) -> Option<usize> {
        let (needed, capacity) = (self.data.len() + piece_bytes, self.data.capacity());
        let doubled = (2 * capacity).max(FIRST_BYTES);
        let wanted = doubled.min(self.charge.declared_bytes().unwrap_or(usize::MAX)).max(needed);
        (needed > capacity).then_some(wanted)
    }
}

/// Charges a piece of a stream, and waits until there is room for it. The charge ends when the last user of
/// the returned bytes drops them. A piece of up to [`UNCHARGED_PIECE_BYTES`] is returned as it is.
pub async fn hold_piece(budget: &ByteBudget, piece: Bytes) -> Bytes {
    if piece.len() <= UNCHARGED_PIECE_BYTES {
        return piece;
    }
    let mut charge = budget.charge(Some(piece.len()));
    charge.resize(piece.len()).await;
    charged(piece, charge)
}

/// Bytes whose charge ends when the last user of them drops them.
pub(crate) fn charged(data: Bytes, charge: Charge) -> Bytes {
    Bytes::from_owner(Charged { data, _charge: charge })
}

/// Bytes with their charge.
struct Charged<T> {
    data: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Charged<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
