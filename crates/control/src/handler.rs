//! Answers RPC calls of routers, operators and other control VMs.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use dissemination::{Hub, decode_summary, encode_digest};
use futures::{FutureExt, future::LocalBoxFuture};
use rpc::{
    ControlHandler, DocumentUpdate, FetchedDocument, PeerHandler, ServerList, SubmitResult,
    TablesUpdate,
};
use tables::Revision;
use telemetry::{Secret, Throttle};

use crate::{
    commands::CommandCheck,
    duties::{DutyReport, SharedUsage},
    envelope::Envelope,
    hub_broadcast::{self, HubBroadcast},
    replica::Replica,
    server_feed::ServerFeed,
    status::{RouterReport, StatusReport},
    tables_feed::TablesFeed,
};

/// The longest wait of a long poll, below the timeout of the clients.
const FETCH_WAIT_MAX: Duration = Duration::from_secs(30);

/// How often a waiting long poll checks that there still is a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two log lines about messages of a build that writes forms unknown to this one.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The tokens by which callers authenticate.
#[derive(Debug, Clone)]
pub struct Tokens {
    /// Required with commands.
    pub command: Secret,
    /// Required from other control VMs.
    pub peer: Secret,
}

/// Answers routers and operators.
pub(crate) struct Handler {
    pub(crate) replica: Rc<Replica>,
    pub(crate) feed: Rc<TablesFeed>,
    pub(crate) servers: Rc<ServerFeed>,
    pub(crate) hub: Rc<RefCell<Hub>>,
    pub(crate) usage: Rc<SharedUsage>,
    pub(crate) broadcast: HubBroadcast,
    pub(crate) check: Rc<dyn CommandCheck>,
    /// `None` on a network on which every process is trusted.
    pub(crate) tokens: Option<Tokens>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) unreadable: Throttle,
}

/// A throttle for the log lines about unreadable messages.
pub(crate) fn unreadable_throttle() -> Throttle {
    Throttle::new(UNREADABLE_LOG_INTERVAL)
}

impl ControlHandler for Handler {
    fn fetch_tables(
        &self,
        held: u64,
        digest: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'static, TablesUpdate> {
        let (replica, feed) = (self.replica.clone(), self.feed.clone());
        let wait = wait.min(FETCH_WAIT_MAX);
        let deadline = self.clock.now() + wait;
        let clock = self.clock.clone();
        async move {
            // A process that holds no tables sends zeros and gets the newest ones.
            if held == 0 && digest == 0 {
                let is_confirmed = replica.confirm(wait).await;
                return feed.snapshot(is_confirmed);
            }
            wait_for_newer(&replica, &feed, Revision(held), deadline, &*clock).await;
            feed.since(Revision(held), digest)
        }
        .boxed_local()
    }

    fn fetch_document(&self, held: u64, wait: Duration) -> LocalBoxFuture<'static, DocumentUpdate> {
        let (replica, clock) = (self.replica.clone(), self.clock.clone());
        let wait = wait.min(FETCH_WAIT_MAX);
        let deadline = clock.now() + wait;
        async move {
            let confirmed = held == 0 && replica.confirm(wait).await;
            while held > 0 && replica.has_leader() && replica.document().version <= held {
                let left = deadline.saturating_duration_since(clock.now());
                if left.is_zero() {
                    break;
                }
                // The wait is split into slices because losing the leader triggers no notification.
                let slice = left.min(LEADER_CHECK_INTERVAL);
                let _ = monoio::time::timeout(slice, replica.applied().changed()).await;
            }
            let document = replica.document();
            let fetched = || FetchedDocument {
                version: document.version,
                text: document.text.clone(),
                confirmed,
            };
            let is_newer = held == 0 || document.version > held;
            DocumentUpdate {
                controls: replica.control_addrs(),
                has_leader: replica.has_leader(),
                document: is_newer.then(fetched),
            }
        }
        .boxed_local()
    }

    fn fetch_servers(&self, held: u64, wait: Duration) -> LocalBoxFuture<'static, ServerList> {
        let servers = Rc::clone(&self.servers);
        async move { servers.newer(held, wait.min(FETCH_WAIT_MAX)).await }.boxed_local()
    }

    fn submit(&self, token: String, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        if self.tokens.as_ref().is_some_and(|it| token != it.command.expose()) {
            let remedy = "the command token is wrong: use the one from the control VMs' settings";
            return async { SubmitResult::Refused(remedy.to_owned()) }.boxed_local();
        }
        let checked = self.check.check(&command).and_then(|()| self.replica.admit(&command));
        if let Err(refusal) = checked {
            return async { SubmitResult::Refused(refusal) }.boxed_local();
        }
        let replica = self.replica.clone();
        async move { replica.submit(command).await }.boxed_local()
    }

    fn status(&self) -> String {
        let report = StatusReport::new(
            &self.replica.status(),
            self.replica.repair_step(),
            self.feed.revision().0,
            RouterReport::new(&self.hub.borrow()),
            DutyReport::new(&self.replica),
        );
        serde_json::to_string(&report).unwrap_or_default()
    }

    fn exchange(&self, summary: Vec<u8>) -> Vec<u8> {
        match decode_summary(&summary) {
            Ok(mut summary) => {
                if let Some(rows) = summary.usage.take() {
                    self.usage.merge_from_router(rows);
                }
                let now = self.clock.now();
                let digest = self.hub.borrow_mut().exchange(now, summary);
                let news = self.hub.borrow_mut().take_news(now);
                hub_broadcast::send_news(&self.replica, news);
                encode_digest(&digest)
            }
            Err(err) => {
                if let Some(suppressed) = self.unreadable.record(self.clock.now()) {
                    tracing::warn!(event = "summary_refused", %err, suppressed);
                }
                Vec::new()
            }
        }
    }

    fn peer(&self, token: &str) -> Option<Rc<dyn PeerHandler>> {
        let is_known = self.tokens.as_ref().is_none_or(|it| token == it.peer.expose());
        is_known.then(|| {
            let (replica, hub) = (self.replica.clone(), self.hub.clone());
            let (broadcast, clock) = (self.broadcast.clone(), self.clock.clone());
            let usage = Rc::clone(&self.usage);
            let unreadable = unreadable_throttle();
            Rc::new(PeerCalls { replica, hub, usage, broadcast, clock, unreadable })
                as Rc<dyn PeerHandler>
        })
    }
}

async fn wait_for_newer(
    replica: &Replica,
    feed: &TablesFeed,
    held: Revision,
    deadline: Instant,
    clock: &dyn Clock,
) {
    while feed.revision() <= held {
        let left = deadline.saturating_duration_since(clock.now());
        let change = replica.applied().changed();
        if left.is_zero() || monoio::time::timeout(left, change).await.is_err() {
            return;
        }
    }
}

/// Answers other control VMs.
struct PeerCalls {
    replica: Rc<Replica>,
    hub: Rc<RefCell<Hub>>,
    usage: Rc<SharedUsage>,
    broadcast: HubBroadcast,
    clock: Rc<dyn Clock>,
    unreadable: Throttle,
}

impl PeerHandler for PeerCalls {
    fn deliver(&self, from: u64, message: Vec<u8>) {
        match Envelope::decode(&message) {
            Ok(Envelope::Log(message)) => self.replica.step(message),
            Ok(Envelope::Hello(peer)) => self.replica.record_hello(peer, &message),
            Ok(Envelope::Leave(peer)) => self.replica.record_leave(peer),
            Ok(Envelope::Left(peer)) => self.replica.record_left(peer),
            Ok(Envelope::Work { hub, rows, begun_streams, down }) => {
                let now = self.clock.now();
                self.hub.borrow_mut().update_hub_down(now, hub, down);
                self.hub.borrow_mut().update_hub_work(now, hub, rows);
                self.hub.borrow_mut().record_streams(now, &begun_streams);
            }
            Ok(Envelope::News(news)) => {
                self.hub.borrow_mut().merge_news(self.clock.now(), news);
            }
            Ok(Envelope::RouterPeers { hub, peers, pauses }) => {
                let now = self.clock.now();
                self.hub.borrow_mut().update_hub_peers(now, hub, peers);
                self.hub.borrow_mut().update_hub_pauses(now, hub, &pauses);
            }
            Ok(Envelope::PermitRequests { hub, rows }) => {
                self.broadcast.record_requests(hub, &rows);
            }
            Ok(Envelope::Permits(grants)) => {
                self.hub.borrow_mut().permits_granted(self.clock.now(), &grants);
            }
            Ok(Envelope::Usage { rows }) => self.usage.merge_from_hub(&rows),
            Err(err) => {
                if let Some(suppressed) = self.unreadable.record(self.clock.now()) {
                    tracing::warn!(event = "delivery_refused", from, %err, suppressed);
                }
            }
        }
    }

    fn forward(&self, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        let replica = self.replica.clone();
        async move { replica.propose(command).await }.boxed_local()
    }

    fn read_index(&self) -> Option<u64> {
        self.replica.read_index()
    }
}
