//! Leases of slots: each server's owner router divides its slots by the routers' demand.

use std::time::Duration;

use policy::leases::{divide, owner};

use super::{Event, Sim, ToRouter};
use crate::workload::Workload;

const TICK: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_secs(2);
const DEMAND_BYTES: u64 = 16;
const GRANT_BYTES: u64 = 24;

/// What the owners know: the demand of each router and when it was heard.
pub(super) struct Ledger {
    demand: Vec<(u32, Duration)>,
}

impl Ledger {
    pub(super) fn new(workload: &Workload) -> Self {
        Self { demand: vec![(1, Duration::ZERO); workload.settings.routers] }
    }
}

impl Sim<'_> {
    /// Routers tell their demand to the owners, and owners grant slots from what they heard last.
    pub(super) fn lease_tick(&mut self) {
        let heard = self.leases.demand.clone();
        for (idx, router) in self.routers.iter().enumerate() {
            if let Some(router) = router {
                self.leases.demand[idx] = (router.demand(), self.now);
            }
        }
        let live: Vec<_> =
            (0..self.routers.len()).filter(|it| self.routers[*it].is_some()).collect();
        for server in 0..self.servers.len() {
            self.grant(server, &live, &heard);
        }
        self.count_demand(live.len());
        self.after(TICK, Event::LeaseTick);
    }

    fn grant(&mut self, server: usize, live: &[usize], heard: &[(u32, Duration)]) {
        let fresh = |it: &(u32, Duration)| self.now.saturating_sub(it.1) < LEASE;
        let demand: Vec<_> = heard.iter().map(|it| if fresh(it) { it.0 } else { 0 }).collect();
        let slots = divide(self.workload.engine.batch_max, &demand, server);
        let names: Vec<_> = live.iter().map(|it| *it as u64 + 1).collect();
        let owner = owner(server as u64 + 1, &names).map(|it| live[it]);
        for router in live {
            if owner != Some(*router) {
                self.tally.count_message(GRANT_BYTES);
            }
            let (slots, expires) = (slots[*router], self.now + LEASE);
            let message = ToRouter::Lease { server, slots, expires };
            self.after(self.workload.lag, Event::AtRouter(*router, message));
        }
    }

    /// Each router sends one message with its demand to each other router that owns a server.
    fn count_demand(&mut self, live: usize) {
        for _ in 0..live * live.saturating_sub(1) {
            self.tally.count_message(DEMAND_BYTES);
        }
    }
}
