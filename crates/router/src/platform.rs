//! Follows the platform's lagging list of live and leaving VMs.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::time;
use serde::Deserialize;
use tables::Discovery;

use crate::{services::Services, table_source::TableSource};

const PATH: &str = "/vms";

/// One backend server on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ListedVm {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain; empty if it is not told.
    #[serde(default)]
    pub failure_domain: String,
    /// The pool that it serves.
    pub pool: String,
    /// A number that rises with each start.
    pub incarnation: u64,
    /// Whether it is to get new work.
    pub state: VmState,
}

/// What the platform says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// Passes the list on to the schedulers, for as long as the router runs.
///
/// A VM that is missing from the list is left as it was: the list lags and may come out of order,
/// and a server that is down is found by its own failures.
pub(crate) async fn follow(
    addr: SocketAddr,
    period: Duration,
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
) {
    loop {
        match list(&services, addr).await {
            Some(vms) => apply(&services, &*tables, &vms),
            None => tracing::warn!(event = "platform_list_unreadable", %addr),
        }
        time::sleep(period).await;
    }
}

async fn list(services: &Services, addr: SocketAddr) -> Option<Vec<ListedVm>> {
    let body = services.backends.fetch(addr, PATH).await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn apply(services: &Services, tables: &dyn TableSource, vms: &[ListedVm]) {
    let tables = tables.current();
    for pool in tables.pools.iter().filter(|it| it.discovery == Discovery::Platform) {
        let own: Vec<_> = vms.iter().filter(|it| it.pool == pool.name).collect();
        services.dispatcher.platform_list(&pool.name, &own);
    }
}
