//! Leases of slots: each server's owner router divides its slots by the routers' demand.

use std::time::Duration;

use policy::leases::{Claim, grant, owner};

use super::{Event, Sim, ToRouter};
use crate::workload::Workload;

const TICK: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_secs(2);
const CLAIM_BYTES: u64 = 16;
const HELD_BYTES: u64 = 1;
const GRANT_BYTES: u64 = 24;

/// What the owners have heard: the claims of each router on each server, and when.
pub(super) struct Ledger {
    claims: Vec<Vec<Claim>>,
    heard: Vec<Duration>,
}

impl Ledger {
    pub(super) fn new(workload: &Workload) -> Self {
        let routers = workload.settings.routers;
        let claim = Claim { demand: 1, held: 0 };
        Self {
            claims: vec![vec![claim; routers]; workload.servers],
            heard: vec![Duration::ZERO; routers],
        }
    }
}

impl Sim<'_> {
    /// Owners grant slots from what they heard in the tick before; then routers tell their claims.
    pub(super) fn lease_tick(&mut self) {
        let routers = 0..self.routers.len();
        let live: Vec<_> = routers.filter(|it| self.routers[*it].is_some()).collect();
        for server in 0..self.servers.len() {
            self.grant(server, &live);
        }
        self.hear_claims();
        self.count_claims(live.len());
        self.after(TICK, Event::LeaseTick);
    }

    fn grant(&mut self, server: usize, live: &[usize]) {
        for (router, heard) in self.leases.heard.iter().enumerate() {
            if self.now.saturating_sub(*heard) >= LEASE {
                self.leases.claims[server][router] = Claim::default();
            }
        }
        let slots = grant(self.workload.engine.batch_max, &self.leases.claims[server], server);
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

    fn hear_claims(&mut self) {
        for (idx, router) in self.routers.iter().enumerate() {
            let Some(router) = router else { continue };
            self.leases.heard[idx] = self.now;
            for (server, claims) in self.leases.claims.iter_mut().enumerate() {
                claims[idx] = Claim { demand: router.demand(), held: router.held(server) };
            }
        }
    }

    /// Each router sends one message with its demand and what it holds to each other router.
    fn count_claims(&mut self, live: usize) {
        let servers = self.servers.len() as u64;
        for _ in 0..live * live.saturating_sub(1) {
            self.tally.count_message(CLAIM_BYTES + servers * HELD_BYTES);
        }
    }
}
