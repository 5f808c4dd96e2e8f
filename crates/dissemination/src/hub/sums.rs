//! What a hub sums over its routers and those of the other hubs: the work at each server, the servers that
//! are down, and the pauses that were measured.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use policy::{MeasuredPauses, PendingWork};

use super::Hub;
use crate::{PauseRow, PoolHash, RouterIdx, ServerIdx, ServerRef, ServerWork};

/// A server counts as down once so many routers have found it down: the path of a single router may be broken.
const DOWN_REPORTERS_MIN: u32 = 2;

impl Hub {
    /// Records the pauses that a router has measured; returns those of all routers if it reports any.
    pub(super) fn exchange_pauses(
        &mut self,
        now: Instant,
        router: RouterIdx,
        rows: &[PauseRow],
    ) -> Vec<PauseRow> {
        if rows.is_empty() {
            return Vec::new();
        }
        self.pauses.update(now, router, rows.iter().map(|it| (it.pool, it.pauses)).collect());
        let mut all = self.pauses.sums(now, None);
        for (pool, pauses) in self.pauses_of_hubs.sums(now, None) {
            *all.entry(pool).or_default() += pauses;
        }
        to_pause_rows(all)
    }

    /// The pauses that this hub's routers have measured, for the other hubs.
    pub fn own_pauses(&mut self, now: Instant) -> Vec<PauseRow> {
        to_pause_rows(self.pauses.sums(now, None))
    }

    /// Replaces the pauses that the routers of another hub have measured.
    pub fn update_hub_pauses(&mut self, now: Instant, hub: u64, rows: &[PauseRow]) {
        let rows = rows.iter().map(|it| (it.pool, it.pauses));
        self.pauses_of_hubs.update(now, hub, rows.collect());
    }

    /// The servers that several routers have found down.
    pub(super) fn down_servers(&mut self, now: Instant) -> Vec<ServerIdx> {
        let mut reporters = self.down.sums(now, None);
        for (addr, count) in self.down_of_hubs.sums(now, None) {
            let idx = self.find_or_add_server(addr);
            *reporters.entry(idx).or_default() += count;
        }
        let down = reporters.into_iter().filter(|it| it.1 >= DOWN_REPORTERS_MIN);
        down.map(|it| it.0).collect()
    }

    /// How many of this hub's routers have found each server down, for the other hubs.
    pub fn own_down(&mut self, now: Instant) -> Vec<(SocketAddr, u32)> {
        let reporters = self.down.sums(now, None).into_iter();
        reporters.map(|(idx, count)| (self.servers[idx.0 as usize].row.addr, count)).collect()
    }

    /// Replaces how many routers of another hub have found each server down.
    pub fn update_hub_down(&mut self, now: Instant, hub: u64, rows: Vec<(SocketAddr, u32)>) {
        self.down_of_hubs.update(now, hub, rows);
    }

    /// The pending work of this hub's routers by server, for the other hubs.
    pub fn own_work(&mut self, now: Instant) -> Vec<(SocketAddr, PendingWork)> {
        let sums = self.work.sums(now, None).into_iter();
        sums.map(|(idx, work)| (self.servers[idx.0 as usize].row.addr, work)).collect()
    }

    /// The pending work of all routers by server, including those of other hubs.
    pub fn all_work(&mut self, now: Instant) -> BTreeMap<SocketAddr, PendingWork> {
        let mut all: BTreeMap<_, _> = self.own_work(now).into_iter().collect();
        for (addr, work) in self.work_of_hubs.sums(now, None) {
            *all.entry(addr).or_default() += work;
        }
        all
    }

    /// Replaces the pending work reported by another hub.
    pub fn update_hub_work(
        &mut self,
        now: Instant,
        hub: u64,
        rows: Vec<(SocketAddr, PendingWork)>,
    ) {
        self.work_of_hubs.update(now, hub, rows);
    }

    /// The pending work of all other routers, including those of other hubs.
    pub(super) fn others_work(&mut self, now: Instant, router: RouterIdx) -> Vec<ServerWork> {
        let mut all = self.work.sums(now, Some(router));
        for (addr, work) in self.work_of_hubs.sums(now, None) {
            let idx = self.find_or_add_server(addr);
            *all.entry(idx).or_default() += work;
        }
        all.into_iter()
            .map(|(idx, work)| ServerWork { server: ServerRef::Idx(idx), work })
            .collect()
    }
}

fn to_pause_rows(pauses: BTreeMap<PoolHash, MeasuredPauses>) -> Vec<PauseRow> {
    pauses.into_iter().map(|(pool, pauses)| PauseRow { pool, pauses }).collect()
}
