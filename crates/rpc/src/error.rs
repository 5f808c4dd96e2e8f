//! Errors of calls between processes.

use std::{io, net::SocketAddr, time::Duration};

use derive_more::{Display, Error};

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum RpcError {
    /// The connection could not be established.
    #[display("cannot connect to {addr}: {source}; check that the control VM runs")]
    Connect {
        /// The address of the control VM.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The control VM did not answer within the timeout.
    #[display("no answer from {addr} within {waited:?}; the connection is given up")]
    TimedOut {
        /// The address of the control VM.
        addr: SocketAddr,
        /// How long the caller waited.
        waited: Duration,
    },
    /// The call itself failed or the connection broke.
    #[display("the call failed: {_0}; it may or may not have been carried out")]
    Call(#[error(source)] capnp::Error),
    /// There is currently no connection that answers heartbeats.
    #[display("no control VM can be reached; try again when the link is back")]
    NotConnected,
}

impl From<capnp::Error> for RpcError {
    fn from(err: capnp::Error) -> Self {
        RpcError::Call(err)
    }
}
