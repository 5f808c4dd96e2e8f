//! Connections to the other control VMs, each with a bounded queue of messages.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use consensus::NodeId;
use futures::{StreamExt, channel::mpsc};
use rpc::{ControlClient, Link, LinkSettings, PeerClient, RpcError};
use telemetry::Secret;

use crate::address_book::AddressBook;

/// The capacity of a peer's queue; consensus resends what is dropped.
const QUEUE_MESSAGES_MAX: usize = 256;

/// The maximum size of the messages to one peer that are queued or not answered; a larger message goes
/// only when nothing else is under way.
const PENDING_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The maximum number of unanswered deliveries to one peer.
const IN_FLIGHT_MAX: usize = 128;

const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Links to the other control VMs, each opened on first use.
pub(crate) struct Peers {
    me: NodeId,
    book: AddressBook,
    token: Secret,
    links: RefCell<BTreeMap<NodeId, PeerLink>>,
}

#[derive(Clone)]
struct PeerLink {
    queue: mpsc::Sender<Vec<u8>>,
    remote: Rc<Remote>,
}

impl Peers {
    /// Opens links to the nodes of `initial`.
    pub(crate) fn start(
        me: NodeId,
        book: AddressBook,
        initial: &[NodeId],
        token: &Secret,
    ) -> Peers {
        let peers = Peers { me, book, token: token.clone(), links: RefCell::default() };
        for node in initial {
            peers.link_to(*node);
        }
        peers
    }

    /// Enqueues a message; it is dropped if the queue is full or the node has no address.
    pub(crate) fn send(&self, node: NodeId, message: Vec<u8>) {
        let Some(mut link) = self.link_to(node) else { return };
        let bytes = message.len();
        // A message for a peer with a full queue is dropped; consensus resends it.
        if link.remote.has_room_for(bytes) && link.queue.try_send(message).is_ok() {
            link.remote.add_pending(bytes);
        }
    }

    /// A client for RPC calls to one peer.
    ///
    /// # Errors
    ///
    /// If the peer has no address or cannot be reached.
    pub(crate) async fn client(&self, node: NodeId) -> Result<PeerClient, RpcError> {
        let link = self.link_to(node).ok_or(RpcError::NotConnected)?;
        link.remote.client().await
    }

    /// A client for the calls that a node answers to routers.
    ///
    /// # Errors
    ///
    /// If the node has no address or cannot be reached.
    pub(crate) fn control_client(&self, node: NodeId) -> Result<ControlClient, RpcError> {
        self.link_to(node).ok_or(RpcError::NotConnected)?.remote.link.client()
    }

    /// The nodes to which links are open.
    pub(crate) fn nodes(&self) -> Vec<NodeId> {
        self.links.borrow().keys().copied().collect()
    }

    /// The address at which a node listens.
    pub(crate) fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.book.addr(node)
    }

    /// Bytes sent to and received from the other control VMs over these links.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        let links = self.links.borrow();
        links.values().map(|it| it.remote.link.counters()).fold((0, 0), |(sent, received), it| {
            (sent + it.sent_bytes(), received + it.received_bytes())
        })
    }

    /// Returns the link to `node` and opens it first if necessary.
    fn link_to(&self, node: NodeId) -> Option<PeerLink> {
        if node == self.me {
            return None;
        }
        if let Some(link) = self.links.borrow().get(&node) {
            return Some(link.clone());
        }
        let addr = self.book.addr(node)?;
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES_MAX);
        let remote = Rc::new(Remote::new(self.me, addr, self.token.clone()));
        monoio::spawn(remote.clone().run(messages));
        let link = PeerLink { queue, remote };
        self.links.borrow_mut().insert(node, link.clone());
        Some(link)
    }
}

struct Remote {
    me: NodeId,
    token: Secret,
    link: Link,
    cached: RefCell<Option<PeerClient>>,
    in_flight: Cell<usize>,
    /// The size of the messages that are queued or in flight.
    pending_bytes: Cell<usize>,
}

impl Remote {
    fn new(me: NodeId, addr: SocketAddr, token: Secret) -> Remote {
        let link = Link::start(LinkSettings { addrs: vec![addr], ..LinkSettings::default() });
        let (in_flight, pending_bytes) = (Cell::new(0), Cell::new(0));
        Remote { me, token, link, cached: RefCell::default(), in_flight, pending_bytes }
    }

    /// Whether one more message keeps the messages under way within their limit.
    fn has_room_for(&self, bytes: usize) -> bool {
        let pending = self.pending_bytes.get();
        pending == 0 || pending + bytes <= PENDING_BYTES_MAX
    }

    fn add_pending(&self, bytes: usize) {
        self.pending_bytes.set(self.pending_bytes.get() + bytes);
    }

    fn remove_pending(&self, bytes: usize) {
        self.pending_bytes.set(self.pending_bytes.get().saturating_sub(bytes));
    }

    async fn run(self: Rc<Self>, mut messages: mpsc::Receiver<Vec<u8>>) {
        while let Some(message) = messages.next().await {
            while self.in_flight.get() >= IN_FLIGHT_MAX {
                monoio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
            }
            // Messages for an unreachable peer are dropped; consensus resends them.
            match self.client().await {
                Ok(client) => {
                    monoio::spawn(self.clone().deliver(client, message));
                }
                Err(_) => self.remove_pending(message.len()),
            }
        }
    }

    async fn deliver(self: Rc<Self>, client: PeerClient, message: Vec<u8>) {
        self.in_flight.set(self.in_flight.get() + 1);
        let result = client.deliver(self.me.0, &message, DELIVER_TIMEOUT).await;
        self.in_flight.set(self.in_flight.get() - 1);
        self.remove_pending(message.len());
        if result.is_err() {
            self.cached.take();
        }
    }

    async fn client(&self) -> Result<PeerClient, RpcError> {
        if let Some(client) = self.cached.borrow().clone() {
            return Ok(client);
        }
        let client = self.link.client()?.peer(self.token.expose()).await?;
        self.cached.replace(Some(client.clone()));
        Ok(client)
    }
}
