//! Errors of calls between processes.

use std::{io, net::SocketAddr, time::Duration};

use derive_more::{Display, Error};

/// Why a call has no result.
#[derive(Debug, Display, Error)]
pub enum RpcError {
    /// No connection could be made.
    #[display("cannot connect to {addr}: {source}; check that the control VM runs")]
    Connect {
        /// The address tried.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The other side did not answer in time.
    #[display("no answer from {addr} within {waited:?}; the connection is given up")]
    TimedOut {
        /// The address asked.
        addr: SocketAddr,
        /// How long the caller waited.
        waited: Duration,
    },
    /// The call itself failed or the connection broke.
    #[display("the call failed: {_0}; it may or may not have been carried out")]
    Call(#[error(source)] capnp::Error),
    /// There is no healthy connection at the moment.
    #[display("no control VM can be reached; try again when the link is back")]
    NotConnected,
}

impl From<capnp::Error> for RpcError {
    fn from(err: capnp::Error) -> Self {
        RpcError::Call(err)
    }
}
