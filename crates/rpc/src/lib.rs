//! Calls between the system's own processes over capnp-rpc.
//!
//! The crate turns the generated code into plain Rust types: a server implements
//! [`ControlHandler`] and [`PeerHandler`], a client keeps a [`Link`] whose silent connections are
//! replaced. It knows nothing of what the commands mean.

#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
mod control_capnp;

mod calls;
mod counted;
mod dial;
mod error;
mod link;
mod server;
mod trust;

use std::{net::SocketAddr, time::Duration};

pub use calls::{ControlClient, PeerClient};
pub use counted::ByteCounters;
pub use dial::{Connection, dial};
pub use error::RpcError;
pub use link::{Link, LinkSettings};
pub use server::{ControlHandler, PeerHandler, serve};
pub use trust::Trust;

/// The answer to a question for tables newer than the ones held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TablesUpdate {
    /// Nothing newer came in the time given.
    Unchanged,
    /// An encoded `tables::Delta` from the revision held.
    Delta(Vec<u8>),
    /// Both tables whole.
    Snapshot {
        /// The revision of the tables.
        revision: u64,
        /// The table of routes as text.
        routes: String,
        /// The table of pools as text.
        pools: String,
        /// Whether the leader confirmed, after the question, that nothing newer is committed.
        confirmed: bool,
    },
}

/// The answer to a question for a document newer than the one held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentUpdate {
    /// Where the control VMs listen now.
    pub controls: Vec<SocketAddr>,
    /// Whether the control VM follows a leader; without one it may lag behind the others.
    pub has_leader: bool,
    /// The document, if it is newer or was asked for the first time.
    pub document: Option<FetchedDocument>,
}

/// The operator's document as a control VM holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedDocument {
    /// The operator's version; zero if there is no document yet.
    pub version: u64,
    /// The text as it was sent.
    pub text: Vec<u8>,
    /// Whether the leader confirmed, after the question, that nothing newer is committed.
    pub confirmed: bool,
}

/// The platform's list of servers as a control VM read it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerList {
    /// Another number for each list; zero while none was read.
    pub stamp: u64,
    /// How long ago the platform gave it.
    pub age: Duration,
    /// The encoded list; empty if it is the one that the asker holds.
    pub servers: Vec<u8>,
}

/// What became of a command for the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResult {
    /// It is committed; the bytes are the encoded response of the state machine.
    Response(Vec<u8>),
    /// It was not put into the log, for the reason given.
    Refused(String),
    /// It may or may not be committed; the same command may be sent again.
    InDoubt(String),
}
