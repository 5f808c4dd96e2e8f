//! Shares the fingerprints of crashing requests with the other routers of the failure domain.
//!
//! Each router shows its entries on its admin listener and reads those of its peers at a steady
//! pace. An entry carries the time that it has left, so passing it on never prolongs it.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use daemon::Admin;
use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method, StatusCode, Uri,
    server::{Handler, Reply, Request},
};
use monoio::time;
use policy::QuarantineEntry;
use serde::{Deserialize, Serialize};

use crate::services::Services;

const PATH: &str = "/quarantine";

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
        if request.method != Method::GET || request.uri.path() != PATH {
            return self.admin.call(request);
        }
        let report = self.services.dispatcher.export_quarantine();
        let body = serde_json::to_vec(&report).expect("a report is made of plain fields");
        async { Reply::typed(StatusCode::OK, "application/json", body.into()) }.boxed_local()
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
