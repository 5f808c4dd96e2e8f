//! State that the routers of a failure domain share through their control VM.
//!
//! Each router reads the load reports of the backend servers that it owns and sends them in a
//! [`Summary`] to the control VM of its failure domain. The [`Hub`] there merges the summaries and
//! returns a [`Digest`] of everything that has changed since the version that the router holds.
//! One version number covers the complete state of a router, so a lost digest needs no separate
//! recovery. The crate does no I/O and reads no clock.

mod grants;
mod hub;
mod limits;
mod member;
mod owner;
mod parts;
mod peers;
mod permits;
mod reports;
mod rows;
mod streams;
mod suspects;
mod wire;
mod work;

pub use hub::{Hub, HubSettings};
pub use member::{MemberState, ServerEntry};
pub use owner::owner;
pub use peers::{DomainHash, Peer};
pub use permits::{HubPermitRequest, PermitDesk};
pub use rows::{
    CrashRows, Demand, Digest, HubNews, Load, PartRow, PauseRow, PoolHash, QuarantineRow,
    RouterIdx, Sender, ServerIdx, ServerLoad, ServerObservation, ServerRef, ServerRow, ServerState,
    Slots, SoleVersion, Summary, Version,
};
pub use streams::{BegunStreams, StreamHash, StreamLog};
pub use wire::{decode_digest, decode_summary, encode_digest, encode_summary};
pub use work::ServerWork;
