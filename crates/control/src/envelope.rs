//! What control VMs hand to one another over `deliver`.

use std::net::SocketAddr;

use consensus::{Message, Peer};
use policy::PendingWork;
use serde::{Deserialize, Serialize};

/// One delivery.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Envelope {
    /// A node says under which disk it runs now.
    Hello(Peer),
    /// A message of the replicated log.
    Log(Message),
    /// What the requests of a control VM's routers take at each server.
    Work {
        /// The control VM.
        hub: u64,
        /// The servers with work.
        rows: Vec<(SocketAddr, PendingWork)>,
    },
}

impl Envelope {
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Envelope> {
        postcard::from_bytes(bytes).ok()
    }
}
