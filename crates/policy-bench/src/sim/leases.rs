//! Leases of slots: each server's owner router divides its slots by the routers' demand.

use std::time::Duration;

use policy::leases::{Capacity, Claim, grant, owner};

use super::{Event, Sim, ToRouter};
use crate::workload::Workload;

/// A lease lasts for this many ticks.
const LEASE_TICKS: u32 = 10;
const CLAIM_BYTES: u64 = 12;
const HELD_BYTES: u64 = 1;
const GRANT_BYTES: u64 = 2;

/// What the owners have heard: the claims of each router on each server, and when.
pub(super) struct Ledger {
    claims: Vec<Vec<Claim>>,
    heard: Vec<Duration>,
}

impl Ledger {
    pub(super) fn new(workload: &Workload) -> Self {
        let routers = workload.settings.routers;
        let claim = Claim { demand: 1, ..Claim::default() };
        Self {
            claims: vec![vec![claim; routers]; workload.servers],
            heard: vec![Duration::ZERO; routers],
        }
    }
}

/// The live router that owns a server.
pub(super) fn owner_of(server: usize, live: &[usize]) -> Option<usize> {
    let names: Vec<_> = live.iter().map(|it| *it as u64 + 1).collect();
    owner(server as u64 + 1, &names).map(|it| live[it])
}

impl Sim<'_> {
    pub(super) fn live_routers(&self) -> Vec<usize> {
        (0..self.routers.len()).filter(|it| self.routers[*it].is_some()).collect()
    }

    /// Owners grant slots from what they heard in the tick before; then routers tell their claims.
    pub(super) fn lease_tick(&mut self) {
        let live = self.live_routers();
        for server in 0..self.servers.len() {
            self.grant(server, &live);
        }
        self.hear_claims();
        self.count_claims(&live);
        self.after(self.workload.settings.lease_tick, Event::LeaseTick);
    }

    fn grant(&mut self, server: usize, live: &[usize]) {
        let lease = self.lease_time();
        for (router, heard) in self.leases.heard.iter().enumerate() {
            if self.now.saturating_sub(*heard) >= lease {
                self.leases.claims[server][router] = Claim::default();
            }
        }
        let (slots, servers) = (self.workload.engine.batch_max, self.servers.len());
        let capacity = Capacity { slots, idx: server, servers };
        let slots = grant(capacity, &self.leases.claims[server]);
        for router in live {
            let (slots, expires) = (slots[*router], self.now + lease);
            let message = ToRouter::Lease { server, slots, expires };
            self.after(self.workload.lag, Event::AtRouter(*router, message));
        }
    }

    fn lease_time(&self) -> Duration {
        self.workload.settings.lease_tick * LEASE_TICKS
    }

    fn hear_claims(&mut self) {
        for (idx, router) in self.routers.iter().enumerate() {
            let Some(router) = router else { continue };
            self.leases.heard[idx] = self.now;
            for (server, claims) in self.leases.claims.iter_mut().enumerate() {
                claims[idx] = router.claim(server);
            }
        }
    }

    /// Each router sends one message to each other one: its demand, what it holds of the other's
    /// servers, and the grants of its own servers.
    fn count_claims(&mut self, live: &[usize]) {
        let mut owned = vec![0; self.routers.len()];
        let owners = (0..self.servers.len()).filter_map(|it| owner_of(it, live));
        owners.for_each(|it| owned[it] += 1);
        for from in live {
            for to in live.iter().filter(|it| *it != from) {
                let bytes = CLAIM_BYTES + HELD_BYTES * owned[*to] + GRANT_BYTES * owned[*from];
                self.tally.count_message(bytes);
            }
        }
    }
}
