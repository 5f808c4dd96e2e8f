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
use rpc::{Link, LinkSettings, PeerClient, RpcError};
use telemetry::Secret;

use crate::address_book::AddressBook;

/// Messages that may wait for one peer; the log repeats what is dropped.
const QUEUE_MESSAGES: usize = 256;

/// Deliveries without an answer that one connection may have.
const IN_FLIGHT_MAX: usize = 128;

const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
const IN_FLIGHT_PAUSE: Duration = Duration::from_millis(1);

/// The other control VMs; a link to one is made when it is first needed.
pub(crate) struct Peers {
    me: NodeId,
    book: AddressBook,
    token: Secret,
    known: RefCell<BTreeMap<NodeId, Known>>,
}

#[derive(Clone)]
struct Known {
    queue: mpsc::Sender<Vec<u8>>,
    remote: Rc<Remote>,
}

impl Peers {
    /// Starts links to the nodes of `first`.
    pub(crate) fn start(me: NodeId, book: AddressBook, first: &[NodeId], token: &Secret) -> Peers {
        let peers = Peers { me, book, token: token.clone(), known: RefCell::default() };
        for node in first {
            peers.meet(*node);
        }
        peers
    }

    /// Queues a message; it is dropped if the queue is full or the node has no address.
    pub(crate) fn send(&self, node: NodeId, message: Vec<u8>) {
        if let Some(mut known) = self.meet(node) {
            // A full queue belongs to a peer that does not keep up; the log repeats.
            let _ = known.queue.try_send(message);
        }
    }

    /// The calls of one peer.
    ///
    /// # Errors
    ///
    /// If the peer has no address or cannot be reached now.
    pub(crate) async fn client(&self, node: NodeId) -> Result<PeerClient, RpcError> {
        let known = self.meet(node).ok_or(RpcError::NotConnected)?;
        known.remote.client().await
    }

    /// The nodes this one has links to.
    pub(crate) fn nodes(&self) -> Vec<NodeId> {
        self.known.borrow().keys().copied().collect()
    }

    /// Where a node listens.
    pub(crate) fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.book.addr(node)
    }

    /// Bytes sent to and received from the other control VMs over these links.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        let known = self.known.borrow();
        known.values().map(|it| it.remote.link.counters()).fold((0, 0), |(sent, received), it| {
            (sent + it.sent_bytes(), received + it.received_bytes())
        })
    }

    fn meet(&self, node: NodeId) -> Option<Known> {
        if node == self.me {
            return None;
        }
        if let Some(known) = self.known.borrow().get(&node) {
            return Some(known.clone());
        }
        let addr = self.book.addr(node)?;
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let remote = Rc::new(Remote::new(self.me, addr, self.token.clone()));
        monoio::spawn(remote.clone().run(messages));
        let known = Known { queue, remote };
        self.known.borrow_mut().insert(node, known.clone());
        Some(known)
    }
}

struct Remote {
    me: NodeId,
    token: Secret,
    link: Link,
    cached: RefCell<Option<PeerClient>>,
    in_flight: Cell<usize>,
}

impl Remote {
    fn new(me: NodeId, addr: SocketAddr, token: Secret) -> Remote {
        let link = Link::start(LinkSettings { addrs: vec![addr], ..LinkSettings::default() });
        Remote { me, token, link, cached: RefCell::default(), in_flight: Cell::new(0) }
    }

    async fn run(self: Rc<Self>, mut messages: mpsc::Receiver<Vec<u8>>) {
        while let Some(message) = messages.next().await {
            while self.in_flight.get() >= IN_FLIGHT_MAX {
                monoio::time::sleep(IN_FLIGHT_PAUSE).await;
            }
            // Messages for a peer that cannot be reached are dropped; the log repeats them.
            if let Ok(client) = self.client().await {
                monoio::spawn(self.clone().deliver(client, message));
            }
        }
    }

    async fn deliver(self: Rc<Self>, client: PeerClient, message: Vec<u8>) {
        self.in_flight.set(self.in_flight.get() + 1);
        let result = client.deliver(self.me.0, &message, DELIVER_TIMEOUT).await;
        self.in_flight.set(self.in_flight.get() - 1);
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
