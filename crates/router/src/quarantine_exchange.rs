//! Shares the fingerprints of crashing requests with the other routers of the failure domain.
//!
//! Each router shows its entries on its admin listener, reads those of its peers at a steady pace
//! and tells them of a crash before the caller is answered, since the caller may send the request
//! again at once, to any of them. An entry carries the time that it has left, so passing it on never prolongs it.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use daemon::Admin;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};
use httpio::{
    Bytes, Method, StatusCode, Uri,
    server::{Handler, Reply, Request},
};
use monoio::time;
use policy::QuarantineEntry;
use serde::{Deserialize, Serialize};

use crate::services::Services;

const PATH: &str = "/quarantine";
const TEXT: &str = "text/plain";

/// How long the caller of a crashing request waits for the peers to be told.
const TELL_TIMEOUT: Duration = Duration::from_millis(200);

/// The entries of each pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineReport {
    /// By the name of the pool.
    pub pools: BTreeMap<String, Vec<QuarantineEntry>>,
}

/// The admin listener's answers, with the router's own beside those of every daemon.
pub(crate) struct RouterAdmin {
    pub(crate) admin: Admin,
    pub(crate) services: Rc<Services>,
}

impl Handler for RouterAdmin {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        if request.uri.path() != PATH {
            return self.admin.call(request);
        }
        let reply = match request.method {
            Method::GET => {
                let body = report_json(&self.services);
                Reply::typed(StatusCode::OK, "application/json", body)
            }
            Method::POST => self.take(&request.body),
            _ => Reply::typed(StatusCode::METHOD_NOT_ALLOWED, TEXT, "use GET or POST".into()),
        };
        async { reply }.boxed_local()
    }
}

impl RouterAdmin {
    fn take(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(report) => {
                self.services.dispatcher.import_quarantine(&report);
                Reply::typed(StatusCode::OK, TEXT, "taken".into())
            }
            Err(error) => Reply::typed(StatusCode::BAD_REQUEST, TEXT, error.to_string().into()),
        }
    }
}

fn report_json(services: &Services) -> Bytes {
    let report = services.dispatcher.export_quarantine();
    serde_json::to_vec(&report).expect("a report is made of plain fields").into()
}

/// Tells the peers what this router knows now; a peer that is slow reads it later.
pub(crate) async fn tell(services: &Services) {
    if services.peers.is_empty() {
        return;
    }
    let body = report_json(services);
    let told = services
        .peers
        .iter()
        .map(|peer| services.backends.post(*peer, Uri::from_static(PATH), body.clone()));
    match time::timeout(TELL_TIMEOUT, join_all(told)).await {
        Ok(told) => {
            let failed = told.iter().filter(|it| it.is_err()).count();
            if failed > 0 {
                tracing::info!(event = "crash_not_told", peers = failed);
            }
        }
        Err(_) => tracing::info!(event = "crash_not_told_in_time", peers = services.peers.len()),
    }
}

/// Reads the entries of one peer, for as long as the router runs.
pub(crate) async fn follow(peer: SocketAddr, period: Duration, services: Rc<Services>) {
    loop {
        // A peer that is down has nothing to tell; its entries are here already.
        if let Some(report) = read(peer, &services).await {
            services.dispatcher.import_quarantine(&report);
        }
        time::sleep(period).await;
    }
}

async fn read(peer: SocketAddr, services: &Services) -> Option<QuarantineReport> {
    let body = services.backends.fetch(peer, Uri::from_static(PATH)).await.ok()?;
    serde_json::from_slice(&body).ok()
}
