//! Keeps the tables in force up to date and notifies tasks that wait for newer ones.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures::{FutureExt, channel::oneshot, future::LocalBoxFuture};
use rpc::{ByteCounters, ControlClient, Link, LinkSettings, TablesUpdate};
use tables::{Delta, Revision, Rows, Tables, TablesText};

use crate::{
    Freshness,
    first_tables::{CONFIRM_WAIT, first_tables},
};

/// The settings of a watch.
#[derive(Debug, Clone)]
pub struct WatchSettings {
    /// The link over which changes are fetched; the first tables come from its addresses too.
    pub link: LinkSettings,
    /// How long a start waits for a confirmed answer, in milliseconds.
    pub confirm_timeout_ms: u64,
    /// How long one long poll waits at the control VM, in milliseconds.
    pub poll_ms: u64,
    /// The pause after a failed long poll, in milliseconds.
    pub retry_pause_ms: u64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        WatchSettings {
            link: LinkSettings::default(),
            confirm_timeout_ms: 5000,
            poll_ms: 20_000,
            retry_pause_ms: 200,
        }
    }
}

/// The tables in force in this process; clones share them.
#[derive(Clone)]
pub struct TablesWatch {
    state: Rc<RefCell<State>>,
    link: Link,
}

#[derive(Default)]
struct State {
    rows: Rows,
    tables: Rc<Tables>,
    freshness: Freshness,
    waiters: Vec<oneshot::Sender<()>>,
}

/// The outcome of an update.
enum UpdateOutcome {
    InForce,
    Ignored,
    Refused,
    NeedsSnapshot,
}

impl TablesWatch {
    /// Starts the watch; the tables are empty until the first ones are in force.
    pub fn start(settings: WatchSettings) -> TablesWatch {
        let link = Link::start(settings.link.clone());
        let watch = TablesWatch { state: Rc::default(), link };
        monoio::spawn(watch.clone().follow(settings));
        watch
    }

    /// The tables in force.
    pub fn current(&self) -> Rc<Tables> {
        self.state.borrow().tables.clone()
    }

    /// Whether a newer revision may exist.
    pub fn freshness(&self) -> Freshness {
        self.state.borrow().freshness
    }

    /// The link to the control VM, for further calls.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Resolves once a revision above `held` is in force.
    pub fn newer_than(&self, held: Revision) -> LocalBoxFuture<'static, ()> {
        let watch = self.clone();
        async move {
            while watch.current().revision <= held {
                let change = watch.next_change();
                // The sender lives as long as the state that this future holds.
                let _ = change.await;
            }
        }
        .boxed_local()
    }

    fn next_change(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        state.waiters.retain(|it| !it.is_canceled());
        state.waiters.push(sender);
        receiver
    }

    async fn follow(self, settings: WatchSettings) {
        let addrs: &[SocketAddr] = &settings.link.addrs;
        let connect_timeout = Duration::from_millis(settings.link.connect_timeout_ms);
        let confirm_timeout = Duration::from_millis(settings.confirm_timeout_ms);
        let counters: &ByteCounters = self.link.counters();
        let first = first_tables(addrs, connect_timeout, confirm_timeout, counters).await;
        let text = TablesText { routes: first.routes, pools: first.pools };
        self.put_in_force(Revision(first.revision), &text);
        self.state.borrow_mut().freshness = first.freshness;
        tracing::info!(event = "tables_first", revision = first.revision, freshness = %first.freshness);
        loop {
            if !self.follow_once(&settings).await {
                monoio::time::sleep(Duration::from_millis(settings.retry_pause_ms)).await;
            }
        }
    }

    async fn follow_once(&self, settings: &WatchSettings) -> bool {
        let Ok(client) = self.link.client() else { return false };
        if self.freshness() == Freshness::Unconfirmed {
            return self.confirm(&client).await;
        }
        let wait = Duration::from_millis(settings.poll_ms);
        let (held, digest) = self.held();
        let Ok(update) = client.fetch_tables(held.0, digest, wait).await else { return false };
        match self.apply(update) {
            UpdateOutcome::InForce | UpdateOutcome::Ignored => true,
            UpdateOutcome::Refused => false,
            UpdateOutcome::NeedsSnapshot => {
                // A digest of zero stands for no rows, so the answer is a snapshot.
                let snapshot = client.fetch_tables(held.0, 0, wait).await;
                snapshot.is_ok_and(|it| matches!(self.apply(it), UpdateOutcome::InForce))
            }
        }
    }

    /// Fetches tables as at a start, to have them confirmed once the leader can be reached again.
    async fn confirm(&self, client: &ControlClient) -> bool {
        let Ok(update) = client.fetch_tables(0, 0, CONFIRM_WAIT).await else { return false };
        let is_confirmed = matches!(update, TablesUpdate::Snapshot { confirmed: true, .. });
        self.apply(update);
        if is_confirmed {
            self.state.borrow_mut().freshness = Freshness::Confirmed;
        }
        is_confirmed
    }

    fn held(&self) -> (Revision, u64) {
        let state = self.state.borrow();
        (state.tables.revision, state.rows.digest())
    }

    fn apply(&self, update: TablesUpdate) -> UpdateOutcome {
        match update {
            TablesUpdate::Unchanged => UpdateOutcome::Ignored,
            TablesUpdate::Delta(bytes) => self.apply_delta(&bytes),
            TablesUpdate::Snapshot { revision, routes, pools, .. } => {
                self.put_in_force(Revision(revision), &TablesText { routes, pools })
            }
        }
    }

    fn apply_delta(&self, bytes: &[u8]) -> UpdateOutcome {
        let Ok(delta) = postcard::from_bytes::<Delta>(bytes) else {
            return UpdateOutcome::NeedsSnapshot;
        };
        let (held, rows) = {
            let state = self.state.borrow();
            (state.tables.revision, state.rows.clone())
        };
        match delta.apply(held, &rows) {
            Ok(rows) => self.put_in_force(delta.target, &rows.to_text()),
            Err(err) => {
                tracing::warn!(event = "delta_refused", %err);
                UpdateOutcome::NeedsSnapshot
            }
        }
    }

    /// Puts tables in force if their revision is above the one held.
    fn put_in_force(&self, revision: Revision, text: &TablesText) -> UpdateOutcome {
        if revision <= self.current().revision {
            return UpdateOutcome::Ignored;
        }
        let checked = tables::check(revision, text).and_then(|it| Ok((it, Rows::parse(text)?)));
        let (tables, rows) = match checked {
            Ok(checked) => checked,
            Err(faults) => {
                tracing::error!(event = "tables_refused", %revision, %faults);
                return UpdateOutcome::Refused;
            }
        };
        let mut state = self.state.borrow_mut();
        state.tables = Rc::new(tables);
        state.rows = rows;
        for waiter in state.waiters.drain(..) {
            // A waiter that was dropped needs no notification.
            let _ = waiter.send(());
        }
        tracing::info!(event = "tables_in_force", %revision);
        UpdateOutcome::InForce
    }
}
