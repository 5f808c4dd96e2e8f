//! Exchanges state with the other routers of the failure domain, through the hub.
//!
//! This router sends the load reports that it reads, the servers that it knows, its demand, the
//! slots that it holds and the fingerprints of requests that crash servers. It receives the same
//! from the other routers, and the slots that are granted to it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use control_client::DomainMember;
use directory::{ListedVm, VmState};
use dissemination::{
    CrashRows, Demand, Load, MemberState, PoolHash, ServerLoad, ServerObservation, ServerRow,
    ServerState, Slots, Summary,
};
use policy::LoadReport;
use tables::{Discovery, Pool, Tables};

use crate::{
    dispatch::ServerClaim,
    load_reports::{LoadReading, LoadReadings},
    sent_state::SentToHub,
    services::Services,
    table_source::TableSource,
};

/// The time to live of a grant; shorter than the time after which the hub reassigns the slots of a
/// router that it no longer hears from.
const GRANT_TTL: Duration = Duration::from_secs(5);

/// The unit of [`Load::step_100us`].
const STEP_UNIT_US: u32 = 100;
const PERMILLE: u32 = 1000;
/// The number of units of [`Load::kv_used_64ths`] in a full KV cache.
const KV_UNITS: u32 = 64;

/// This router's side of the exchange.
pub struct RouterMember {
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
    readings: LoadReadings,
    sent: SentToHub,
}

impl RouterMember {
    /// Shares the state of `services`.
    pub fn new(
        services: Rc<Services>,
        tables: Rc<dyn TableSource>,
        readings: LoadReadings,
    ) -> RouterMember {
        RouterMember { services, tables, readings, sent: SentToHub::default() }
    }

    fn new_observations(&self, tables: &Tables) -> Vec<ServerObservation> {
        let mut updates = Vec::new();
        for pool in &tables.pools {
            for status in self.services.dispatcher.server_statuses(&pool.name) {
                let state =
                    if status.is_leaving { ServerState::Leaving } else { ServerState::Live };
                let observation = ServerObservation {
                    addr: status.addr,
                    state,
                    incarnation: status.incarnation,
                    pool: PoolHash::of(&pool.name),
                    slots: status.slots.min(u16::MAX.into()) as u16,
                };
                if self.sent.add_observation(observation) {
                    updates.push(observation);
                }
            }
        }
        updates
    }

    fn loads(&self, state: &MemberState) -> Vec<ServerLoad> {
        let readings = self.readings.take_all();
        let load = |(addr, it): (SocketAddr, LoadReading)| ServerLoad {
            server: state.server_ref(addr),
            load: encode_load(&it),
        };
        readings.into_iter().map(load).collect()
    }
}

impl DomainMember for RouterMember {
    fn report(&self, state: &MemberState, empty: Summary) -> Summary {
        self.sent.begin(state, &empty);
        let tables = self.tables.current();
        let claims = || tables.pools.iter().map(|it| self.services.dispatcher.claims(&it.name));
        Summary {
            loads: self.loads(state),
            observations: self.new_observations(&tables),
            quarantine: self.sent.new_suspects(&self.services.dispatcher),
            parts: self.sent.changed_parts(&self.services.dispatcher),
            usage: self.sent.changed_usage(&self.services.usage),
            limits: self.sent.changed_limits(&self.services.dispatcher),
            permit_requests: self.services.dispatcher.permit_requests(),
            demand: tables.pools.iter().zip(claims()).filter_map(demand).collect(),
            held_slots: claims().flatten().filter_map(|it| held_slots(state, &it)).collect(),
            ..empty
        }
    }

    fn apply_digest(&self, state: &MemberState, sent: Instant, suspects: &CrashRows) {
        self.sent.acknowledge();
        self.services.forwarder.set_peers(state.peers());
        let tables = self.tables.current();
        let dispatcher = &self.services.dispatcher;
        let grants: BTreeMap<_, _> = state.grants().collect();
        self.sent.import(dispatcher, &tables, suspects);
        self.sent.import_limits(dispatcher, state);
        for pool in &tables.pools {
            let hash = PoolHash::of(&pool.name);
            let entries: Vec<_> = state.servers().filter(|it| it.row.pool == hash).collect();
            let updates: Vec<_> =
                entries.iter().filter_map(|it| listed_vm(pool, &it.row)).collect();
            dispatcher.update_servers(&pool.name, &updates.iter().collect::<Vec<_>>());
            for entry in entries {
                let (addr, load) = (entry.row.addr, decode_load(&entry.load, &entry.row));
                dispatcher.report_load_at(&pool.name, addr, &load);
                if let Some(slots) = grants.get(&addr) {
                    dispatcher.grant_slots(&pool.name, addr, (*slots).into(), sent + GRANT_TTL);
                }
            }
            dispatcher.run_actions(&pool.name);
        }
    }
}

/// The platform list's entry for a server that another router reported. `None` for a live server
/// of a pool whose servers the table lists.
fn listed_vm(pool: &Pool, row: &ServerRow) -> Option<ListedVm> {
    let state = match (row.state, pool.discovery) {
        (ServerState::Leaving, _) => VmState::Leaving,
        (ServerState::Live, Discovery::Platform) => VmState::Live,
        (ServerState::Live, Discovery::Table) => return None,
    };
    let (addr, incarnation) = (row.addr, row.incarnation);
    let failure_domain = String::new();
    let (label, software_version, slots) = (String::new(), String::new(), 0);
    Some(ListedVm {
        addr,
        failure_domain,
        pool: pool.name.clone(),
        incarnation,
        label,
        software_version,
        slots,
        state,
        is_spot: false,
        leaves_in_ms: None,
    })
}

fn demand((pool, claims): (&Pool, Vec<ServerClaim>)) -> Option<Demand> {
    let claim = claims.first()?.claim;
    let pool = PoolHash::of(&pool.name);
    Some(Demand { pool, requests: claim.demand, urgent: claim.urgent })
}

fn held_slots(state: &MemberState, claim: &ServerClaim) -> Option<Slots> {
    let server = state.server_idx(claim.addr)?;
    let count = claim.claim.held.min(u16::MAX.into()) as u16;
    (count > 0).then_some(Slots { server, count })
}

fn encode_load(reading: &LoadReading) -> Load {
    let LoadReading { report, step_us } = reading;
    let kv_used = report.kv_used_permille.min(PERMILLE) * KV_UNITS / PERMILLE;
    Load {
        running: report.running.min(u16::MAX.into()) as u16,
        waiting: report.waiting.min(u16::MAX.into()) as u16,
        kv_used_64ths: kv_used as u8,
        step_100us: (step_us / STEP_UNIT_US).min(u16::MAX.into()) as u16,
    }
}

fn decode_load(load: &Load, row: &ServerRow) -> LoadReport {
    LoadReport {
        incarnation: Some(row.incarnation),
        running: load.running.into(),
        waiting: load.waiting.into(),
        batch_max: row.slots.into(),
        kv_used_permille: u32::from(load.kv_used_64ths) * PERMILLE / KV_UNITS,
        age: Duration::from_secs(1),
    }
}
