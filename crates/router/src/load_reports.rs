//! Polls the engines for their load reports.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use httpio::Uri;
use monoio::time;
use policy::LoadReport;
use serde::Deserialize;
use tables::PoolKind;

use crate::{dispatch::Server, services::Services, table_source::TableSource};

/// At the target size a router polls about four servers, so its traffic stays below 1.2 KB/s.
const POLL_PERIOD: Duration = Duration::from_secs(1);
const LOAD_PATH: &str = "/v1/load";

/// A load report in the JSON format of the engines.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EngineReport {
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

/// The last load report that was read from an engine.
#[derive(Debug, Clone, Copy)]
pub struct LoadReading {
    /// The report.
    pub report: LoadReport,
    /// The duration of one step of the engine, in microseconds.
    pub step_us: u32,
}

/// The latest reports since the last call of `take_all`; clones share them.
#[derive(Debug, Clone, Default)]
pub struct LoadReadings(Rc<RefCell<BTreeMap<SocketAddr, LoadReading>>>);

impl LoadReadings {
    /// Removes and returns all reports.
    pub fn take_all(&self) -> BTreeMap<SocketAddr, LoadReading> {
        self.0.take()
    }
}

/// Selects the servers whose load reports this router reads.
pub type ServerFilter = Rc<dyn Fn(SocketAddr) -> bool>;

/// Polls the engines that `is_owned` selects and passes their reports to the dispatcher, for as
/// long as the router runs.
pub(crate) async fn poll(
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
    is_owned: ServerFilter,
    readings: LoadReadings,
) {
    loop {
        let tables = tables.current();
        for pool in tables.pools.iter().filter(|it| it.kind == PoolKind::Engine) {
            let servers = services.dispatcher.local_servers(&pool.name);
            for server in servers.into_iter().filter(|it| is_owned(it.addr)) {
                let (services, readings) = (Rc::clone(&services), readings.clone());
                let read = read_report(services, pool.name.clone(), server, readings);
                monoio::spawn(telemetry::contain("load_report", server.addr, read));
            }
        }
        time::sleep(POLL_PERIOD).await;
    }
}

async fn read_report(services: Rc<Services>, pool: String, server: Server, readings: LoadReadings) {
    // Without a report the load of a server is estimated from its streams.
    let Ok(body) = services.backends.fetch(server.addr, Uri::from_static(LOAD_PATH)).await else {
        return;
    };
    let Ok(parsed) = serde_json::from_slice::<EngineReport>(&body) else { return };
    let report = LoadReport {
        incarnation: parsed.incarnation,
        running: parsed.running,
        waiting: parsed.waiting,
        batch_max: parsed.batch_max,
        kv_used_permille: parsed.kv_used_permille,
        age: Duration::from_millis(parsed.age_ms),
    };
    services.dispatcher.report_load(&pool, &server, &report);
    readings.0.borrow_mut().insert(server.addr, LoadReading { report, step_us: parsed.step_us });
}
