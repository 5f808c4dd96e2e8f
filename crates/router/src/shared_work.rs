//! Exchanges state with the other routers of a platform, through the control VMs: the load of
//! backend servers, those that are down, their rate limits with the permits for requests to them, the requests that crash them,
//! and the software versions that began streams.
//!
//! With many routers, each one causes only a small part of a server's load, and sees only a few of
//! the crashes of a request that comes again at any router. So each router reports the work of its
//! own requests at each server and the requests that ran on servers that crashed. It receives the
//! work of all other routers and the requests to refuse.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use control_client::DomainMember;
use dissemination::{CrashRows, MemberState, PauseRow, PoolHash, ServerWork, Summary};
use tables::Tables;

use crate::{sent_state::SentToHub, services::Services, table_source::TableSource};

/// The interval at which measured pauses are reported; they change slowly.
const PAUSES_PERIOD: Duration = Duration::from_secs(2);

/// This router's side of the exchange.
pub(crate) struct WorkMember {
    services: Rc<Services>,
    tables: Rc<dyn TableSource>,
    sent: SentToHub,
    /// When pauses were last reported.
    pauses_sent_at: Cell<Option<Instant>>,
}

impl WorkMember {
    /// Shares the state of `services`.
    pub(crate) fn new(services: Rc<Services>, tables: Rc<dyn TableSource>) -> WorkMember {
        WorkMember { services, tables, sent: SentToHub::default(), pauses_sent_at: Cell::default() }
    }

    /// The measured pauses, if a report is due.
    fn pauses(&self, tables: &Tables) -> Vec<PauseRow> {
        let now = self.services.clock.now();
        if self.pauses_sent_at.get().is_some_and(|it| now < it + PAUSES_PERIOD) {
            return Vec::new();
        }
        self.pauses_sent_at.set(Some(now));
        let rows = tables.pools.iter().filter_map(|it| {
            let pauses = self.services.dispatcher.own_pauses(&it.name)?;
            Some(PauseRow { pool: PoolHash::of(&it.name), pauses })
        });
        rows.collect()
    }
}

impl DomainMember for WorkMember {
    fn report(&self, state: &MemberState, empty: Summary) -> Summary {
        self.sent.begin(state, &empty);
        let tables = self.tables.current();
        let pools = tables.pools.iter();
        let work = pools.flat_map(|it| self.services.dispatcher.own_work(&it.name));
        let work =
            work.map(|(addr, work)| ServerWork { server: state.server_ref(addr), work }).collect();
        let pools = tables.pools.iter();
        let down = pools.flat_map(|it| self.services.dispatcher.down_servers(&it.name));
        let down = down.map(|it| state.server_ref(it)).collect();
        let quarantine = self.sent.new_suspects(&self.services.dispatcher);
        let parts = self.sent.changed_parts(&self.services.dispatcher);
        let limits = self.sent.changed_limits(&self.services.dispatcher);
        let permit_requests = self.services.dispatcher.permit_requests();
        let begun_streams = self.sent.begun_streams(&self.services.streams);
        let stream_lookups = self.services.streams.lookups();
        Summary {
            work,
            quarantine,
            parts,
            limits,
            permit_requests,
            begun_streams,
            stream_lookups,
            down,
            pauses: self.pauses(&tables),
            usage: self.sent.changed_usage(&self.services.usage),
            ..empty
        }
    }

    fn apply_digest(&self, state: &MemberState, _sent: Instant, suspects: &CrashRows) {
        self.sent.acknowledge();
        self.services.forwarder.set_peers(state.peers());
        let tables = self.tables.current();
        let dispatcher = &self.services.dispatcher;
        self.sent.import(dispatcher, &tables, suspects);
        for pool in &tables.pools {
            dispatcher.set_others_work(&pool.name, state.others_work());
        }
        for pool in &tables.pools {
            let hash = PoolHash::of(&pool.name);
            if let Some(row) = state.pauses().iter().find(|it| it.pool == hash) {
                dispatcher.set_common_pauses(&pool.name, row.pauses);
            }
        }
        dispatcher.set_reported_down(&state.down().collect::<Vec<_>>());
        self.sent.import_limits(dispatcher, state);
        self.services.streams.record_found(state.found_streams());
        self.services.streams.record_sole_versions(state.sole_versions());
    }
}
