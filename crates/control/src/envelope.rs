//! The messages that control VMs send to one another with the RPC `deliver`.

use std::net::SocketAddr;

use consensus::{Message, Peer};
use dissemination::{BegunStreams, HubNews, HubPermitRequest, Peer as RouterPeer};
use policy::{PendingWork, PermitGrant};
use serde::{Deserialize, Serialize};

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Envelope {
    /// A node announces that it runs and under which disk id.
    Hello(Peer),
    /// A message of the replicated log.
    Log(Message),
    /// The pending work of a control VM's routers at each server.
    Work {
        /// The control VM.
        hub: u64,
        /// The servers with pending work.
        rows: Vec<(SocketAddr, PendingWork)>,
        /// The streams that began since the last message.
        begun_streams: Vec<BegunStreams>,
    },
    /// Causes of crashes and rate limits of servers.
    News(HubNews),
    /// The permits that a control VM asks the leader for.
    PermitRequests {
        /// The control VM.
        hub: u64,
        /// The servers.
        rows: Vec<HubPermitRequest>,
    },
    /// The permits that the leader grants.
    Permits(Vec<PermitGrant>),
    /// Routers that serve requests of other routers.
    RouterPeers {
        /// The control VM that they exchange with.
        hub: u64,
        /// The routers.
        peers: Vec<RouterPeer>,
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
