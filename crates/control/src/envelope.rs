//! The messages that control VMs send to one another with the RPC `deliver`.

use std::net::SocketAddr;

use consensus::{Message, Peer};
use dissemination::{BegunStreams, HubNews, HubPermitRequest, Peer as RouterPeer};
use policy::{PendingWork, PermitGrant};
use serde::{Deserialize, Serialize};
use wire_form::{ExtensionId, Extensions, FormError};

/// In [`Envelope::Work`], the servers that routers have found down.
const DOWN: ExtensionId = ExtensionId(1);

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Envelope {
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
        /// How many of the routers have found each server down.
        #[serde(skip)]
        down: Vec<(SocketAddr, u32)>,
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
    /// Encodes the message, or returns `None` if the codec cannot represent it.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let extensions = self.extensions().ok()?;
        wire_form::encode(self, &extensions).ok()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// If the bytes do not decode to a message that this build knows.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, FormError> {
        let (mut envelope, extensions): (Envelope, _) = wire_form::decode(bytes)?;
        if let Envelope::Work { down, .. } = &mut envelope {
            *down = extensions.get(DOWN)?.unwrap_or_default();
        }
        Ok(envelope)
    }

    fn extensions(&self) -> Result<Extensions, FormError> {
        let mut extensions = Extensions::default();
        if let Envelope::Work { down, .. } = self
            && !down.is_empty()
        {
            extensions.insert(DOWN, down)?;
        }
        Ok(extensions)
    }
}
