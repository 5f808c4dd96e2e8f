//! A replicated log as a pure state machine: messages and time in, messages and writes out.
//!
//! [`Node`] implements the Raft algorithm with pre-vote, leader leases, learners, single-step
//! membership changes and leadership transfer. It does no I/O and reads no clock: the caller passes
//! the time in, carries out the work that [`Node::ready`] returns, and reports synced writes with
//! [`Node::persisted`]. A member is a [`Peer`], which is a node together with the disk that holds
//! its state, so that a node whose disk was lost cannot vote under its old identity.

mod entry;
mod error;
mod ids;
mod log;
mod membership;
mod message;
mod node;
mod ready;
mod repair;
mod settings;
mod status;
mod storage;
mod wire;

pub use entry::{Entry, HardState, Payload, Snapshot};
pub use error::{ChangeError, ProposeError, ReadError, TransferError};
pub use ids::{DiskId, LogIndex, NodeId, Peer, Term};
pub use membership::{MemberChange, Members};
pub use message::{Body, Campaign, Message};
pub use node::Node;
pub use ready::{Proposal, Ready, RoleChange, WriteId, Writes};
pub use repair::{RepairInput, RepairStep, next_repair_step};
pub use settings::Settings;
pub use status::{PeerStatus, Role, Status};
pub use storage::{Recovered, Storage, StorageError};
pub use wire::{WireError, decode, encode};
