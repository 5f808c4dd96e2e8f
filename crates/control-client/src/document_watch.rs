//! Follows the operator's document and the control VMs that replicate it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use control_state::Document;
use futures::channel::mpsc;
use rpc::{ControlClient, DocumentUpdate, FetchedDocument, Link};

use crate::{Freshness, WatchSettings, first_tables::CONFIRM_WAIT};

/// Sorts the addresses of the control VMs by preference.
pub(crate) type Order = Box<dyn Fn(&mut Vec<SocketAddr>)>;

/// Follows the document and sends each newer version to a receiver.
///
/// A version is never followed by a lower one. At the start, a document that the leader confirms is
/// published. If there is none within the confirm timeout, the highest version among the answers is
/// published, since a failure domain that is cut off must keep serving.
pub struct DocumentWatch {
    link: Link,
    settings: WatchSettings,
    clock: Rc<dyn Clock>,
    order: Order,
    held: Cell<u64>,
    freshness: Cell<Freshness>,
    /// The highest version that no leader has confirmed and that is not published.
    best_unconfirmed: RefCell<Option<Document>>,
    sender: mpsc::UnboundedSender<Document>,
}

impl DocumentWatch {
    /// Starts following over `link`.
    pub fn start(
        link: Link,
        settings: WatchSettings,
        clock: Rc<dyn Clock>,
        order: impl Fn(&mut Vec<SocketAddr>) + 'static,
    ) -> mpsc::UnboundedReceiver<Document> {
        // Only newer documents are published, so the channel holds few.
        let (sender, receiver) = mpsc::unbounded();
        let watch = DocumentWatch {
            link,
            settings,
            clock,
            order: Box::new(order),
            held: Cell::new(0),
            freshness: Cell::new(Freshness::None),
            best_unconfirmed: RefCell::default(),
            sender,
        };
        monoio::spawn(watch.follow());
        receiver
    }

    async fn follow(self) {
        let pause = Duration::from_millis(self.settings.retry_pause_ms);
        let started = self.clock.now();
        while !self.sender.is_closed() {
            let is_followed = match self.link.client() {
                Ok(client) => self.follow_once(&client).await,
                Err(_) => false,
            };
            self.publish_unconfirmed(started);
            if !is_followed {
                monoio::time::sleep(pause).await;
            }
        }
    }

    async fn follow_once(&self, client: &ControlClient) -> bool {
        let (held, wait) = match self.freshness.get() {
            Freshness::Confirmed => (self.held.get(), Duration::from_millis(self.settings.poll_ms)),
            Freshness::None | Freshness::Unconfirmed => (0, CONFIRM_WAIT),
        };
        let update = match client.fetch_document(held, wait).await {
            Ok(update) => update,
            Err(error) => {
                let current = self.link.client().map(|it| it.addr());
                if current.is_ok_and(|it| it != client.addr()) {
                    // The link has moved meanwhile.
                    return false;
                }
                tracing::info!(event = "control_silent", addr = %client.addr(), %error);
                self.link.fail_over();
                return false;
            }
        };
        self.follow_controls(&update);
        if let Some(fetched) = update.document {
            self.accept(fetched);
        }
        if !update.has_leader {
            tracing::info!(event = "control_without_leader", addr = %client.addr());
            self.link.fail_over();
        }
        update.has_leader
    }

    fn follow_controls(&self, update: &DocumentUpdate) {
        let mut controls = update.controls.clone();
        controls.sort();
        let mut known = self.link.addrs();
        known.sort();
        if update.has_leader && !controls.is_empty() && controls != known {
            (self.order)(&mut controls);
            tracing::info!(event = "controls", addrs = ?controls);
            self.link.set_addrs(controls);
        }
    }

    fn accept(&self, fetched: FetchedDocument) {
        let FetchedDocument { version, text, confirmed } = fetched;
        let document = Document { version, text };
        if confirmed || self.freshness.get() == Freshness::Confirmed {
            self.freshness.set(Freshness::Confirmed);
            return self.publish(document);
        }
        let is_newer =
            self.best_unconfirmed.borrow().as_ref().is_none_or(|it| it.version < version);
        if is_newer {
            self.best_unconfirmed.replace(Some(document));
        }
    }

    /// Publishes the highest unconfirmed version once the confirm timeout of the start has passed.
    fn publish_unconfirmed(&self, started: Instant) {
        let timeout = Duration::from_millis(self.settings.confirm_timeout_ms);
        let waited = self.clock.now().saturating_duration_since(started);
        if self.freshness.get() == Freshness::Confirmed || waited < timeout {
            return;
        }
        if let Some(best) = self.best_unconfirmed.take() {
            self.freshness.set(Freshness::Unconfirmed);
            self.publish(best);
        }
    }

    fn publish(&self, document: Document) {
        if document.version <= self.held.get() {
            return;
        }
        self.held.set(document.version);
        let freshness = self.freshness.get();
        tracing::info!(event = "document", version = document.version, %freshness);
        // The receiver lives as long as the process serves, so sending fails only during a stop.
        let _ = self.sender.unbounded_send(document);
    }
}
