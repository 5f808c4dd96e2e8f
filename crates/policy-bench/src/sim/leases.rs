//! Slot leases: the owner router of each server divides the server's slots by the routers' demand.

use std::time::Duration;

use policy::leases::{Capacity, Claim, grant, owner};

use super::{Event, Sim, ToRouter};
use crate::workload::Workload;

/// Duration of a lease in ticks.
const LEASE_TICKS: u32 = 10;
const CLAIM_BYTES: u64 = 12;
const HELD_SLOTS_BYTES: u64 = 1;
const GRANT_BYTES: u64 = 2;

/// The claims that the owners have received from each router on each server, and when.
pub(super) struct ClaimTable {
    claims: Vec<Vec<Claim>>,
    received_at: Vec<Duration>,
}

impl ClaimTable {
    pub(super) fn new(workload: &Workload) -> Self {
        let routers = workload.settings.routers;
        let claim = Claim { demand: 1, ..Claim::default() };
        Self {
            claims: vec![vec![claim; routers]; workload.servers],
            received_at: vec![Duration::ZERO; routers],
        }
    }
}

/// Returns the live router that owns a server.
pub(super) fn owner_of(server: usize, live: &[usize]) -> Option<usize> {
    let names: Vec<_> = live.iter().map(|it| *it as u64 + 1).collect();
    owner(server as u64 + 1, &names).map(|it| live[it])
}

impl Sim<'_> {
    pub(super) fn live_routers(&self) -> Vec<usize> {
        (0..self.routers.len()).filter(|it| self.routers[*it].is_some()).collect()
    }

    /// Grants slots by the claims of the previous tick, then collects new claims.
    pub(super) fn handle_lease_tick(&mut self) {
        let live = self.live_routers();
        for server in 0..self.servers.len() {
            self.grant(server, &live);
        }
        self.collect_claims();
        self.count_lease_messages(&live);
        self.schedule_after(self.workload.settings.lease_tick, Event::LeaseTick);
    }

    fn grant(&mut self, server: usize, live: &[usize]) {
        let lease = self.lease_time();
        for (router, received_at) in self.claim_table.received_at.iter().enumerate() {
            if self.now.saturating_sub(*received_at) >= lease {
                self.claim_table.claims[server][router] = Claim::default();
            }
        }
        let (slots, servers) = (self.workload.engine.batch_max, self.servers.len());
        let capacity = Capacity { slots, idx: server, servers };
        let slots = grant(capacity, &self.claim_table.claims[server]);
        for router in live {
            let (slots, expires) = (slots[*router], self.now + lease);
            let message = ToRouter::Lease { server, slots, expires };
            self.schedule_after(self.workload.latency, Event::RouterMessage(*router, message));
        }
    }

    fn lease_time(&self) -> Duration {
        self.workload.settings.lease_tick * LEASE_TICKS
    }

    fn collect_claims(&mut self) {
        for (idx, router) in self.routers.iter().enumerate() {
            let Some(router) = router else { continue };
            self.claim_table.received_at[idx] = self.now;
            for (server, claims) in self.claim_table.claims.iter_mut().enumerate() {
                claims[idx] = router.claim(server);
            }
        }
    }

    /// Counts one message from each router to each other: its demand, the slots it holds of the
    /// other's servers and the grants for its own servers.
    fn count_lease_messages(&mut self, live: &[usize]) {
        let mut owned = vec![0; self.routers.len()];
        let owners = (0..self.servers.len()).filter_map(|it| owner_of(it, live));
        owners.for_each(|it| owned[it] += 1);
        for from in live {
            for to in live.iter().filter(|it| *it != from) {
                let bytes =
                    CLAIM_BYTES + HELD_SLOTS_BYTES * owned[*to] + GRANT_BYTES * owned[*from];
                self.metrics.count_message(bytes);
            }
        }
    }
}
