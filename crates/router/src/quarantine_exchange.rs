//! Shares the fingerprints of crashing requests with the other routers of the failure domain.
//!
//! Each router serves its entries on its admin listener and polls those of its peers. It also tells
//! the hub and the peers of a crash before it answers the caller, since the caller may resend the
//! request to any router at once. An entry carries its remaining time to live, so forwarding it
//! never extends it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use daemon::Admin;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, join, join_all},
};
use httpio::{
    Bytes, Method, StatusCode, Uri,
    server::{Handler, Reply, Request},
};
use monoio::time;

use crate::{quarantine_report::QuarantineReport, services::Services};

const QUARANTINE_PATH: &str = "/quarantine";
const TEXT_PLAIN: &str = "text/plain";

/// How long the caller of a crashing request waits while the hub and the peers are told.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);

/// The handler of the admin listener: the router's quarantine, and the endpoints of every daemon.
pub(crate) struct RouterAdmin {
    pub(crate) admin: Admin,
    pub(crate) services: Rc<Services>,
}

impl Handler for RouterAdmin {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        if request.uri.path() != QUARANTINE_PATH {
            return self.admin.call(request);
        }
        let reply = match request.method {
            Method::GET => {
                let body = encode_report(&self.services);
                Reply::typed(StatusCode::OK, "application/json", body)
            }
            Method::POST => self.import(&request.body),
            _ => Reply::typed(StatusCode::METHOD_NOT_ALLOWED, TEXT_PLAIN, "use GET or POST".into()),
        };
        async { reply }.boxed_local()
    }
}

impl RouterAdmin {
    fn import(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(report) => {
                self.services.dispatcher.import_quarantine(&report);
                Reply::typed(StatusCode::OK, TEXT_PLAIN, "taken".into())
            }
            Err(error) => {
                Reply::typed(StatusCode::BAD_REQUEST, TEXT_PLAIN, error.to_string().into())
            }
        }
    }
}

fn encode_report(services: &Services) -> Bytes {
    let report = services.dispatcher.export_quarantine();
    serde_json::to_vec(&report).expect("a report can be encoded as JSON").into()
}

/// Tells the hub and all peers of a crash. The hub passes it on by the next exchange of each router;
/// a peer that is too slow receives it by its next poll.
pub(crate) async fn announce_crash(services: Rc<Services>) {
    let hub = async {
        if let Some(domain) = services.domain.get() {
            domain.exchange_now().await;
        }
    };
    let announced = join(hub, notify_peers(&services));
    if time::timeout(ANNOUNCE_TIMEOUT, announced).await.is_err() {
        tracing::info!(event = "crash_not_told_in_time", peers = services.peers.len());
    }
}

async fn notify_peers(services: &Services) {
    if services.peers.is_empty() {
        return;
    }
    let body = encode_report(services);
    let posts = services
        .peers
        .iter()
        .map(|peer| services.backends.post(*peer, Uri::from_static(QUARANTINE_PATH), body.clone()));
    let failed = join_all(posts).await.iter().filter(|it| it.is_err()).count();
    if failed > 0 {
        tracing::info!(event = "crash_not_told", peers = failed);
    }
}

/// Polls the entries of one peer, for as long as the router runs.
pub(crate) async fn poll_peer(peer: SocketAddr, period: Duration, services: Rc<Services>) {
    loop {
        let poll = async {
            // If a peer is down, its earlier entries have already been imported.
            if let Some(report) = fetch_report(peer, &services).await {
                services.dispatcher.import_quarantine(&report);
            }
        };
        // The loop keeps no state of its own, so it goes on after a panic, which has been logged.
        let _ = telemetry::contain("quarantine_poll", peer, poll).await;
        time::sleep(period).await;
    }
}

async fn fetch_report(peer: SocketAddr, services: &Services) -> Option<QuarantineReport> {
    let body = services.backends.fetch(peer, Uri::from_static(QUARANTINE_PATH)).await.ok()?;
    serde_json::from_slice(&body).ok()
}
