//! The memory of the VM, divided among what a control VM holds for its clients.
//!
//! An eighth is for the bodies of operators' calls, an eighth for messages that arrive and an eighth for connections. The
//! rest is for the log, the tables and the copies of a change: until it is answered, its command and the message that
//! replicates it take about as much again each.

use httpio::budget::{BudgetSize, ByteBudget};
use rpc::MessageLimits;

const MEBIBYTE: usize = 1 << 20;
/// The part of the VM's memory that is for bodies, and that for connections: one in so many.
const PART: usize = 8;
/// The largest body takes no more than one in so many of the VM's memory.
const LARGEST_PART: usize = 16;
/// The part of the budget for bodies that is for small ones only: one in so many.
const SMALL_PART: usize = 8;
/// The largest body that is taken however much memory there is.
const BODY_BYTES_MAX: usize = 8 << 20;
/// The largest message, such as a snapshot of the state, takes no more than one in so many of the VM's memory.
const LARGEST_MESSAGE_PART: usize = 4;
/// The largest message that is taken however much memory there is.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// What a connection of a router takes.
const CONNECTION_BYTES: usize = 28 << 10;
/// The connections that are accepted however little memory there is.
const CONNECTIONS_MIN: usize = 64;
/// The state of a call in flight.
pub(crate) const CALL_BYTES: usize = 32 << 10;

/// The largest body of an operator's call.
pub(crate) fn body_bytes_max(memory_mb: usize) -> usize {
    (bytes(memory_mb) / LARGEST_PART).min(BODY_BYTES_MAX)
}

/// The budget for the bodies of operators' calls.
pub(crate) fn bodies(memory_mb: usize) -> BudgetSize {
    let part = bytes(memory_mb) / PART;
    BudgetSize { bytes_max: part, small_bytes: part / SMALL_PART }
}

/// What the messages of routers and other control VMs may hold while they arrive.
pub(crate) fn messages(memory_mb: usize) -> MessageLimits {
    let part = bytes(memory_mb) / PART;
    let size = BudgetSize { bytes_max: part, small_bytes: part / SMALL_PART };
    MessageLimits {
        message_bytes_max: (bytes(memory_mb) / LARGEST_MESSAGE_PART).min(MESSAGE_BYTES_MAX),
        memory: ByteBudget::new(size),
        ..MessageLimits::default()
    }
}

/// The number of connections for which there is room.
pub(crate) fn connections_fitting(memory_mb: usize) -> usize {
    (bytes(memory_mb) / PART / CONNECTION_BYTES).max(CONNECTIONS_MIN)
}

fn bytes(memory_mb: usize) -> usize {
    memory_mb.saturating_mul(MEBIBYTE)
}
