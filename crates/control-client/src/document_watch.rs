//! Follows the operator's document and the control VMs that hold it.

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

/// Puts the addresses of the control VMs into an order of preference.
type Order = Box<dyn Fn(&mut Vec<SocketAddr>)>;

/// Follows the document; each one that is newer than all before comes out of the receiver.
///
/// A version that was seen is never followed by a lower one. A start prefers what the leader
/// confirms; without a leader it takes the highest version among the answers once its patience is
/// over, since a failure domain that is cut off has to serve on.
pub struct DocumentWatch {
    link: Link,
    settings: WatchSettings,
    clock: Rc<dyn Clock>,
    /// Puts the addresses of the control VMs into this process's order.
    order: Order,
    held: Cell<u64>,
    freshness: Cell<Freshness>,
    best: RefCell<Option<Document>>,
    news: mpsc::UnboundedSender<Document>,
}

impl DocumentWatch {
    /// Starts following over `link`.
    pub fn start(
        link: Link,
        settings: WatchSettings,
        clock: Rc<dyn Clock>,
        order: impl Fn(&mut Vec<SocketAddr>) + 'static,
    ) -> mpsc::UnboundedReceiver<Document> {
        // A document is handed on only if it is newer, so the channel holds few.
        let (news, receiver) = mpsc::unbounded();
        let watch = DocumentWatch {
            link,
            settings,
            clock,
            order: Box::new(order),
            held: Cell::new(0),
            freshness: Cell::new(Freshness::None),
            best: RefCell::default(),
            news,
        };
        monoio::spawn(watch.follow());
        receiver
    }

    async fn follow(self) {
        let pause = Duration::from_millis(self.settings.retry_pause_ms);
        let started = self.clock.now();
        while !self.news.is_closed() {
            let has_followed = match self.link.client() {
                Ok(client) => self.follow_once(&client).await,
                Err(_) => false,
            };
            self.settle_for_best(started);
            if !has_followed {
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
                tracing::info!(event = "control_silent", addr = %client.addr(), %error);
                self.link.fail_over();
                return false;
            }
        };
        self.follow_controls(&update);
        if let Some(fetched) = update.document {
            self.take(fetched);
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

    fn take(&self, fetched: FetchedDocument) {
        let FetchedDocument { version, text, confirmed } = fetched;
        let document = Document { version, text };
        if confirmed || self.freshness.get() == Freshness::Confirmed {
            self.freshness.set(Freshness::Confirmed);
            return self.hand_on(document);
        }
        let is_better = self.best.borrow().as_ref().is_none_or(|it| it.version < version);
        if is_better {
            self.best.replace(Some(document));
        }
    }

    /// Takes the best unconfirmed document once the patience of the start is over.
    fn settle_for_best(&self, started: Instant) {
        let patience = Duration::from_millis(self.settings.confirm_patience_ms);
        let waited = self.clock.now().saturating_duration_since(started);
        if self.freshness.get() == Freshness::Confirmed || waited < patience {
            return;
        }
        if let Some(best) = self.best.take() {
            self.freshness.set(Freshness::Unconfirmed);
            self.hand_on(best);
        }
    }

    fn hand_on(&self, document: Document) {
        if document.version <= self.held.get() {
            return;
        }
        self.held.set(document.version);
        let freshness = self.freshness.get();
        tracing::info!(event = "document", version = document.version, %freshness);
        // The receiver lives as long as the process serves.
        let _ = self.news.unbounded_send(document);
    }
}
