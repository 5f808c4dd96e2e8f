//! What this router shares with the others of its failure domain, through the hub.
//!
//! Out go the load reports of the servers that this router reads, the servers that it knows, its
//! demand and the slots that it holds, and fingerprints of requests that crash servers. In come
//! the same from the others, and the slots that this router may hold from now on.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use control_client::DomainMember;
use directory::{ListedVm, VmState};
use dissemination::{
    Demand, Load, MemberState, PoolHash, QuarantineRow, Sender, ServerLoad, ServerObservation,
    ServerRow, ServerState, Slots, Summary,
};
use policy::LoadReport;
use tables::{Discovery, Pool, Tables};

use crate::{
    dispatch::ServerClaim,
    load_reports::{LoadReading, LoadReadings},
    services::Services,
    table_source::TableSource,
};

/// How long a grant is used without a new one; below the time after which the hub gives a silent
/// router's slots to others.
const GRANT_LIFE: Duration = Duration::from_secs(5);

const STEP_UNIT_US: u32 = 100;
const PERMILLE: u32 = 1000;
const KV_UNITS: u32 = 64;

/// This router's side of the exchange.
pub struct RouterMember {
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
    readings: LoadReadings,
    told: RefCell<Told>,
    /// Sent, but not answered yet; without an answer it is sent again.
    telling: RefCell<Told>,
}

/// What the hub has been told in its present life.
#[derive(Debug, Clone, Default)]
struct Told {
    epoch: u64,
    sightings: BTreeMap<SocketAddr, ServerObservation>,
    quarantine: BTreeSet<(PoolHash, u64, usize)>,
}

impl RouterMember {
    /// Shares what `services` know.
    pub fn new(
        services: Rc<Services>,
        tables: Rc<dyn TableSource>,
        readings: LoadReadings,
    ) -> RouterMember {
        RouterMember {
            services,
            tables,
            readings,
            told: RefCell::default(),
            telling: RefCell::default(),
        }
    }

    fn new_sightings(&self, tables: &Tables) -> Vec<ServerObservation> {
        let mut telling = self.telling.borrow_mut();
        let mut news = Vec::new();
        for pool in &tables.pools {
            for seen in self.services.dispatcher.server_statuses(&pool.name) {
                let state = if seen.is_leaving { ServerState::Leaving } else { ServerState::Live };
                let sighting = ServerObservation {
                    addr: seen.addr,
                    state,
                    incarnation: seen.incarnation,
                    pool: PoolHash::of(&pool.name),
                    slots: seen.slots.min(u16::MAX.into()) as u16,
                };
                if telling.sightings.insert(seen.addr, sighting) != Some(sighting) {
                    news.push(sighting);
                }
            }
        }
        news
    }

    fn new_quarantine(&self) -> Vec<QuarantineRow> {
        let mut telling = self.telling.borrow_mut();
        let exported = self.services.dispatcher.export_quarantine();
        let rows = exported.pools.into_iter().flat_map(|(pool, entries)| {
            let pool = PoolHash::of(&pool);
            entries.into_iter().map(move |entry| QuarantineRow { pool, entry })
        });
        rows.filter(|it| {
            let crashes = it.entry.crashes.len();
            telling.quarantine.insert((it.pool, it.entry.request_hash, crashes))
        })
        .collect()
    }

    fn loads(&self, held: &MemberState) -> Vec<ServerLoad> {
        let readings = self.readings.take_all();
        let load = |(addr, it): (SocketAddr, LoadReading)| ServerLoad {
            server: held.server_ref(addr),
            load: short(&it),
        };
        readings.into_iter().map(load).collect()
    }
}

impl DomainMember for RouterMember {
    fn report(&self, held: &MemberState, empty: Summary) -> Summary {
        // A hub that started anew, or that forgot this router, has to be told everything.
        let is_known = matches!(empty.from, Sender::Idx(_));
        if !is_known || self.told.borrow().epoch != held.epoch() {
            self.told.replace(Told { epoch: held.epoch(), ..Told::default() });
        }
        self.telling.replace(self.told.borrow().clone());
        let tables = self.tables.current();
        let claims = || tables.pools.iter().map(|it| self.services.dispatcher.claims(&it.name));
        Summary {
            loads: self.loads(held),
            observations: self.new_sightings(&tables),
            quarantine: self.new_quarantine(),
            demand: tables.pools.iter().zip(claims()).filter_map(demand).collect(),
            held_slots: claims().flatten().filter_map(|it| held_slots(held, &it)).collect(),
            ..empty
        }
    }

    fn apply_digest(&self, held: &MemberState, sent: Instant, quarantine: &[QuarantineRow]) {
        self.told.replace(self.telling.borrow().clone());
        let tables = self.tables.current();
        let dispatcher = &self.services.dispatcher;
        let grants: BTreeMap<_, _> = held.grants().collect();
        for pool in &tables.pools {
            let hash = PoolHash::of(&pool.name);
            let entries: Vec<_> = held.servers().filter(|it| it.row.pool == hash).collect();
            let news: Vec<_> = entries.iter().filter_map(|it| news(pool, &it.row)).collect();
            dispatcher.update_servers(&pool.name, &news.iter().collect::<Vec<_>>());
            for entry in entries {
                let (addr, load) = (entry.row.addr, long(&entry.load, &entry.row));
                dispatcher.report_load_at(&pool.name, addr, &load);
                if let Some(slots) = grants.get(&addr) {
                    dispatcher.grant_slots(&pool.name, addr, (*slots).into(), sent + GRANT_LIFE);
                }
            }
            let rows = quarantine.iter().filter(|it| it.pool == hash);
            let entries: Vec<_> = rows.map(|it| it.entry.clone()).collect();
            dispatcher.import_entries(&pool.name, &entries);
            dispatcher.run_actions(&pool.name);
        }
    }
}

/// What another router read on the platform's list; the table names its own servers.
fn news(pool: &Pool, row: &ServerRow) -> Option<ListedVm> {
    let state = match (row.state, pool.discovery) {
        (ServerState::Leaving, _) => VmState::Leaving,
        (ServerState::Live, Discovery::Platform) => VmState::Live,
        (ServerState::Live, Discovery::Table) => return None,
    };
    let (addr, incarnation) = (row.addr, row.incarnation);
    let failure_domain = String::new();
    let (label, slots) = (String::new(), 0);
    Some(ListedVm {
        addr,
        failure_domain,
        pool: pool.name.clone(),
        incarnation,
        label,
        slots,
        state,
    })
}

fn demand((pool, claims): (&Pool, Vec<ServerClaim>)) -> Option<Demand> {
    let claim = claims.first()?.claim;
    let pool = PoolHash::of(&pool.name);
    Some(Demand { pool, requests: claim.demand, urgent: claim.urgent })
}

fn held_slots(held: &MemberState, claim: &ServerClaim) -> Option<Slots> {
    let server = held.server_idx(claim.addr)?;
    let count = claim.claim.held.min(u16::MAX.into()) as u16;
    (count > 0).then_some(Slots { server, count })
}

fn short(reading: &LoadReading) -> Load {
    let LoadReading { report, step_us } = reading;
    let kv_used = report.kv_used_permille.min(PERMILLE) * KV_UNITS / PERMILLE;
    Load {
        running: report.running.min(u16::MAX.into()) as u16,
        waiting: report.waiting.min(u16::MAX.into()) as u16,
        kv_used_64ths: kv_used as u8,
        step_100us: (step_us / STEP_UNIT_US).min(u16::MAX.into()) as u16,
    }
}

fn long(load: &Load, row: &ServerRow) -> LoadReport {
    LoadReport {
        incarnation: Some(row.incarnation),
        running: load.running.into(),
        waiting: load.waiting.into(),
        batch_max: row.slots.into(),
        kv_used_permille: u32::from(load.kv_used_64ths) * PERMILLE / KV_UNITS,
        age: Duration::from_secs(1),
    }
}
