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

/// Messages that may wait for one peer; the log repeats what is dropped.
const QUEUE_MESSAGES: usize = 256;

/// Deliveries without an answer that one connection may have.
const IN_FLIGHT_MAX: usize = 128;

const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
const IN_FLIGHT_PAUSE: Duration = Duration::from_millis(1);

/// The other control VMs.
pub(crate) struct Peers {
    queues: RefCell<BTreeMap<NodeId, mpsc::Sender<Vec<u8>>>>,
    remotes: BTreeMap<NodeId, Rc<Remote>>,
}

impl Peers {
    /// Starts a link to each of `addrs` but `me`.
    pub(crate) fn start(me: NodeId, addrs: &BTreeMap<NodeId, SocketAddr>, token: &Secret) -> Peers {
        let mut queues = BTreeMap::new();
        let mut remotes = BTreeMap::new();
        for (&node, &addr) in addrs.iter().filter(|(node, _)| **node != me) {
            let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
            let remote = Rc::new(Remote::new(me, addr, token.clone()));
            monoio::spawn(remote.clone().run(messages));
            queues.insert(node, queue);
            remotes.insert(node, remote);
        }
        Peers { queues: RefCell::new(queues), remotes }
    }

    /// Queues a message; it is dropped if the queue is full or the node unknown.
    pub(crate) fn send(&self, node: NodeId, message: Vec<u8>) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(&node) {
            // A full queue belongs to a peer that does not keep up; the log repeats.
            let _ = queue.try_send(message);
        }
    }

    /// The calls of one peer.
    ///
    /// # Errors
    ///
    /// If the peer is unknown or cannot be reached now.
    pub(crate) async fn client(&self, node: NodeId) -> Result<PeerClient, RpcError> {
        let remote = self.remotes.get(&node).ok_or(RpcError::NoLink)?;
        remote.client().await
    }

    /// The nodes this one has links to.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.remotes.keys().copied()
    }

    /// Bytes sent to and received from the other control VMs over these links.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        self.remotes.values().map(|it| it.link.counters()).fold((0, 0), |(sent, received), it| {
            (sent + it.sent_bytes(), received + it.received_bytes())
        })
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
