//! The replicated state of the control plane: tables changed by compare-and-set, claims on orders,
//! fencing tokens, settled usage.
//!
//! An order is a request that runs at most once, identified by its idempotency key.
//!
//! [`State`] is a deterministic state machine: the same commands give the same responses and the
//! same snapshot bytes on every node. It does no I/O and reads no clock; commands carry the times
//! that it needs. [`check`] validates commands before they enter the log.

mod check;
mod codec;
mod command;
mod document_store;
mod engines;
mod orders;
mod registry;
mod response;
mod state;
mod table_store;
mod usage_windows;

pub use check::{CommandFault, TablesCheck, TablesRules, check};
pub use codec::{CodecError, decode_command, decode_response, encode_command, encode_response};
pub use command::{
    ChangeId, ClaimId, ClaimOrder, Command, ControlNode, Document, FencingToken, OrderKey, Plan,
    PlannedServer, ProposeTables, RouterId,
};
pub use orders::{
    ANSWER_MAX_BYTES, ANSWERS_MAX_BYTES, KEY_RETENTION, KEYS_MAX, KEYS_MAX_BYTES,
    RELEASED_CLAIMS_MAX,
};
pub use response::{
    ClaimAnswer, DocumentAnswer, PlanAnswer, Response, SettleAnswer, StoredAnswer, TablesAnswer,
    UsageAnswer,
};
pub use state::State;
pub use table_store::CHANGE_IDS_MAX;
pub use usage_windows::USAGE_WINDOWS_MAX;
