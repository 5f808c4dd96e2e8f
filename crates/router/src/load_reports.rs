//! Asks the engines for their load at a steady pace.

use std::{rc::Rc, time::Duration};

use monoio::time;
use policy::LoadReport;
use serde::Deserialize;
use tables::PoolKind;

use crate::{dispatch::Server, services::Services, table_source::TableSource};

const PERIOD: Duration = Duration::from_millis(500);
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
    age_ms: u64,
    #[serde(default)]
    incarnation: u64,
}

/// Passes the reports of all engines on to the schedulers, for as long as the router runs.
pub(crate) async fn poll(services: Rc<Services>, tables: Rc<dyn TableSource>) {
    loop {
        let now = tables.current();
        for pool in now.pools.iter().filter(|it| it.kind == PoolKind::Engine) {
            for server in services.dispatcher.servers(&pool.name) {
                monoio::spawn(ask(Rc::clone(&services), pool.name.clone(), server));
            }
        }
        time::sleep(PERIOD).await;
    }
}

async fn ask(services: Rc<Services>, pool: String, server: Server) {
    // A server that gives no report is judged by what its streams show.
    let Ok(body) = services.backends.fetch(server.addr, PATH).await else { return };
    let Ok(report) = serde_json::from_slice::<Report>(&body) else { return };
    let report = LoadReport {
        incarnation: report.incarnation,
        running: report.running,
        waiting: report.waiting,
        batch_max: report.batch_max,
        kv_used_permille: report.kv_used_permille,
        age: Duration::from_millis(report.age_ms),
    };
    services.dispatcher.load_report(&pool, &server, &report);
}
