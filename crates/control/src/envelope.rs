//! The messages that control VMs send to one another with the RPC `deliver`.

use std::net::SocketAddr;

use consensus::{Message, Peer};
use dissemination::{BegunStreams, HubNews, HubPermitRequest, PauseRow, Peer as RouterPeer};
use duties::UsageRows;
use policy::{PendingWork, PermitGrant};
use serde::{Deserialize, Serialize};
use wire_form::{ExtensionId, Extensions, FormError};

/// In [`Envelope::Work`], the servers that routers have found down.
const DOWN: ExtensionId = ExtensionId(1);
/// In [`Envelope::RouterPeers`], the pauses that routers have measured.
const PAUSES: ExtensionId = ExtensionId(1);

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
    /// What a control VM tells of its routers.
    RouterPeers {
        /// The control VM that they exchange with.
        hub: u64,
        /// Those that serve requests of other routers.
        peers: Vec<RouterPeer>,
        /// The pauses that they have measured.
        #[serde(skip)]
        pauses: Vec<PauseRow>,
    },
    /// A member is about to stop and asks the leader to give its vote to a learner.
    Leave(Peer),
    /// The leader tells a member that is about to stop that it no longer votes.
    Left(Peer),
    /// The counts of begun requests that routers have reported.
    Usage {
        /// The counts, by router.
        rows: Vec<UsageRows>,
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
        match &mut envelope {
            Envelope::Work { down, .. } => *down = extensions.get(DOWN)?.unwrap_or_default(),
            Envelope::RouterPeers { pauses, .. } => {
                *pauses = extensions.get(PAUSES)?.unwrap_or_default();
            }
            _ => {}
        }
        Ok(envelope)
    }

    fn extensions(&self) -> Result<Extensions, FormError> {
        let mut extensions = Extensions::default();
        match self {
            Envelope::Work { down, .. } if !down.is_empty() => extensions.insert(DOWN, down)?,
            Envelope::RouterPeers { pauses, .. } if !pauses.is_empty() => {
                extensions.insert(PAUSES, pauses)?;
            }
            _ => {}
        }
        Ok(extensions)
    }
}
