//! Asks the engines for their load at a steady pace.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use httpio::Uri;
use monoio::time;
use policy::LoadReport;
use serde::Deserialize;
use tables::PoolKind;

use crate::{dispatch::Server, services::Services, table_source::TableSource};

/// At the target size a router reads about four servers, so this keeps it below 1.2 KB a second.
const PERIOD: Duration = Duration::from_secs(1);
const PATH: &str = "/v1/load";

/// A report as engines write it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Report {
    running: u32,
    waiting: u32,
    batch_max: u32,
    kv_used_permille: u32,
    #[serde(default)]
    step_us: u32,
    #[serde(default)]
    age_ms: u64,
    incarnation: Option<u64>,
}

/// A load report as it was read last.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The report.
    pub report: LoadReport,
    /// Time of one step of the engine, in microseconds.
    pub step_us: u32,
}

/// The reports that were read since they were taken last; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Readings(Rc<RefCell<BTreeMap<SocketAddr, Reading>>>);

impl Readings {
    /// Takes all reports out.
    pub fn take(&self) -> BTreeMap<SocketAddr, Reading> {
        self.0.take()
    }
}

/// Says which servers' reports this router reads.
pub type Owns = Rc<dyn Fn(SocketAddr) -> bool>;

/// Passes the reports of the engines that this router reads on, for as long as it runs.
pub(crate) async fn poll(
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
    owns: Owns,
    readings: Readings,
) {
    loop {
        let now = tables.current();
        for pool in now.pools.iter().filter(|it| it.kind == PoolKind::Engine) {
            let servers = services.dispatcher.local_servers(&pool.name);
            for server in servers.into_iter().filter(|it| owns(it.addr)) {
                let (services, readings) = (Rc::clone(&services), readings.clone());
                monoio::spawn(ask(services, pool.name.clone(), server, readings));
            }
        }
        time::sleep(PERIOD).await;
    }
}

async fn ask(services: Rc<Services>, pool: String, server: Server, readings: Readings) {
    // A server that gives no report is judged by what its streams show.
    let Ok(body) = services.backends.fetch(server.addr, Uri::from_static(PATH)).await else {
        return;
    };
    let Ok(read) = serde_json::from_slice::<Report>(&body) else { return };
    let report = LoadReport {
        incarnation: read.incarnation,
        running: read.running,
        waiting: read.waiting,
        batch_max: read.batch_max,
        kv_used_permille: read.kv_used_permille,
        age: Duration::from_millis(read.age_ms),
    };
    services.dispatcher.report_load(&pool, &server, &report);
    readings.0.borrow_mut().insert(server.addr, Reading { report, step_us: read.step_us });
}
