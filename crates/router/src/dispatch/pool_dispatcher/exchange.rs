//! What a pool's dispatcher tells the control VM, and what it is told by it.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use policy::{
    LimitChange, LimitEntry, LoadReport, MeasuredPauses, PendingWork, PermitGrant, PermitRequest,
    ServerHash,
};

use super::{PoolDispatcher, State};
use crate::dispatch::{Server, ServerClaim, ServerStatus, decision_log::log_limit};

impl PoolDispatcher {
    /// The status of the servers in the own failure domain, whose hub divides their slots.
    pub(in crate::dispatch) fn server_statuses(&self) -> Vec<ServerStatus> {
        let state = self.state.borrow();
        let mut statuses = state.servers.server_statuses(state.slots);
        statuses.retain(|it| !state.locality.is_remote(it.addr));
        statuses
    }

    /// This router's claims on the slots of each local server.
    pub(in crate::dispatch) fn claims(&self) -> Vec<ServerClaim> {
        let servers = self.local_servers();
        let scheduler = &self.state.borrow().scheduler;
        let claim = |it: Server| ServerClaim { addr: it.addr, claim: scheduler.claim(it.key) };
        servers.into_iter().map(claim).collect()
    }

    /// Applies the load report of a server that another router polls; the caller must call
    /// [`PoolDispatcher::run_actions`] afterwards.
    pub(in crate::dispatch) fn report_load_at(
        self: &Rc<Self>,
        addr: SocketAddr,
        report: &LoadReport,
    ) {
        let server = self.state.borrow().servers.find_by_addr(addr);
        if let Some(server) = server {
            self.apply_load_report(&server, report);
        }
    }

    pub(in crate::dispatch) fn own_work(&self) -> Vec<(SocketAddr, PendingWork)> {
        let state = self.state.borrow();
        let servers = state.servers.listed().into_iter();
        let work = servers.map(|it| (it.addr, state.scheduler.own_work(it.key)));
        work.filter(|it| it.1 != PendingWork::default()).collect()
    }

    /// Replaces the known work of the requests of all other routers.
    pub(in crate::dispatch) fn set_others_work(
        &self,
        work: impl Iterator<Item = (SocketAddr, PendingWork)>,
    ) {
        let now = self.clock.now();
        let State { scheduler, servers, pool, .. } = &mut *self.state.borrow_mut();
        let Some(pool) = scheduler.pool(pool) else { return };
        let known = work.filter_map(|(addr, it)| Some((servers.find_by_addr(addr)?.key, it)));
        let known: Vec<_> = known.collect();
        scheduler.set_others_work(now, pool, &known);
    }

    /// The servers of the pool that this router has found down.
    pub(in crate::dispatch) fn down_servers(&self) -> Vec<SocketAddr> {
        let State { scheduler, servers, pool, .. } = &*self.state.borrow();
        let Some(pool) = scheduler.pool(pool) else { return Vec::new() };
        let down = scheduler.down_servers(pool).into_iter();
        down.filter_map(|it| Some(servers.find_by_key(it)?.addr)).collect()
    }

    /// Sets the servers that are down for several routers; those of other pools are ignored.
    pub(in crate::dispatch) fn set_reported_down(&self, addrs: &[SocketAddr]) {
        let now = self.clock.now();
        let State { scheduler, servers, pool, .. } = &mut *self.state.borrow_mut();
        let Some(key) = scheduler.pool(pool) else { return };
        let reported = addrs.iter().filter_map(|it| Some(servers.find_by_addr(*it)?.key));
        let reported: Vec<_> = reported.collect();
        if let Some(avoided) = scheduler.set_reported_down(now, key, &reported) {
            let reported = reported.len();
            tracing::info!(event = "servers_reported_down", %pool, reported, avoided);
        }
    }

    /// The long pauses of lenient streams that this router has measured.
    pub(in crate::dispatch) fn own_pauses(&self) -> Option<MeasuredPauses> {
        let State { scheduler, pool, .. } = &*self.state.borrow();
        scheduler.own_pauses(scheduler.pool(pool)?)
    }

    /// Sets the long pauses of lenient streams that all routers have measured.
    pub(in crate::dispatch) fn set_common_pauses(&self, pauses: MeasuredPauses) {
        let State { scheduler, pool, .. } = &mut *self.state.borrow_mut();
        if let Some(pool) = scheduler.pool(pool) {
            scheduler.set_common_pauses(pool, pauses);
        }
    }

    /// The known rate limits of the pool's servers.
    pub(in crate::dispatch) fn limit_entries(&self) -> Vec<LimitEntry> {
        self.apply(|scheduler, now| scheduler.limit_entries(now))
    }

    /// Imports what the hub knows of the rate limits of servers; returns the servers of which this
    /// router knows better.
    pub(in crate::dispatch) fn import_limits(&self, entries: &[LimitEntry]) -> Vec<ServerHash> {
        let changes = self.apply(|scheduler, now| scheduler.import_limits(now, entries));
        let state = self.state.borrow();
        for (key, entry, _) in changes.iter().filter(|it| it.2 == LimitChange::Changed) {
            if let Some(server) = state.servers.find_by_key(*key) {
                log_limit(server.addr, entry.rate, "hub");
            }
        }
        let outdated = changes.into_iter().filter(|it| it.2 == LimitChange::Outdated);
        outdated.map(|(_, entry, _)| entry.server).collect()
    }

    /// The permits to ask the hub for.
    pub(in crate::dispatch) fn permit_requests(&self) -> Vec<PermitRequest> {
        let now = self.clock.now();
        let State { scheduler, pool, .. } = &mut *self.state.borrow_mut();
        let pool = scheduler.pool(pool);
        pool.map(|it| scheduler.permit_requests(now, it)).unwrap_or_default()
    }

    /// Applies the hub's answer to the requests for permits; the caller must call
    /// [`PoolDispatcher::run_actions`] afterwards.
    pub(in crate::dispatch) fn grant_permits(&self, grants: &[PermitGrant]) {
        let now = self.clock.now();
        let State { scheduler, pool, .. } = &mut *self.state.borrow_mut();
        if let Some(pool) = scheduler.pool(pool) {
            scheduler.grant_permits(now, pool, grants);
        }
    }

    /// Grants slots of a server, which this router may hold until `expires`.
    pub(in crate::dispatch) fn grant_slots(
        self: &Rc<Self>,
        addr: SocketAddr,
        slots: u32,
        expires: Instant,
    ) {
        let state = self.state.borrow();
        let server =
            state.servers.find_by_addr(addr).filter(|it| !state.locality.is_remote(it.addr));
        drop(state);
        if let Some(server) = server {
            self.apply(|scheduler, _| scheduler.set_lease(server.key, slots, expires));
        }
    }
}
