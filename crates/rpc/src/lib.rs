//! Calls between the processes of the system over capnp-rpc.
//!
//! The crate wraps the generated code in plain Rust types. A server implements [`ControlHandler`]
//! and [`PeerHandler`]. A client uses a [`Link`], which replaces connections that do not answer
//! heartbeats. The crate does not interpret the commands that it transports.

#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
mod control_capnp;

mod calls;
mod connections;
mod counting_stream;
mod dial;
mod error;
mod link;
mod message_reader;
mod server;
mod trust;

use std::{net::SocketAddr, time::Duration};

pub use calls::{ControlClient, PeerClient};
pub use counting_stream::ByteCounters;
pub use dial::{Connection, dial};
pub use error::RpcError;
pub use link::{Link, LinkSettings};
pub use message_reader::MessageLimits;
pub use server::{CONNECTIONS_MAX, ControlHandler, PeerHandler, ServerSettings, serve};
pub use trust::Trust;

/// The response to a request for tables newer than the client's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TablesUpdate {
    /// There were no newer tables within the wait time.
    Unchanged,
    /// An encoded `tables::Delta` from the client's revision.
    Delta(Vec<u8>),
    /// Both complete tables.
    Snapshot {
        /// The revision of the tables.
        revision: u64,
        /// The table of routes, as text.
        routes: String,
        /// The table of pools, as text.
        pools: String,
        /// Whether the leader confirmed, after receipt of the request, that nothing newer is
        /// committed.
        confirmed: bool,
    },
}

/// The response to a request for a document newer than the client's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentUpdate {
    /// The current addresses of the control VMs.
    pub controls: Vec<SocketAddr>,
    /// Whether the control VM has a leader. Without one it may lag behind the others.
    pub has_leader: bool,
    /// The document, if it is newer than the client's or the client holds none.
    pub document: Option<FetchedDocument>,
}

/// The operator's document, as stored by a control VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedDocument {
    /// The version that the operator has set; zero if there is no document yet.
    pub version: u64,
    /// The text, as the operator sent it.
    pub text: Vec<u8>,
    /// Whether the leader confirmed, after receipt of the request, that nothing newer is committed.
    pub confirmed: bool,
}

/// The platform's list of servers, as read by a control VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerList {
    /// Identifies the list: it differs for each list and is zero until one has been read.
    pub stamp: u64,
    /// The time since the list was read from the platform.
    pub age: Duration,
    /// The encoded list; empty if the client already holds it.
    pub servers: Vec<u8>,
}

/// The outcome of a command for the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResult {
    /// The command is committed. The bytes are the encoded response of the state machine.
    Response(Vec<u8>),
    /// The command was not appended to the log, for the reason given.
    Refused(String),
    /// The command may or may not be committed, for the reason given. The same command may be
    /// submitted again.
    InDoubt(String),
}
