//! Servers that come, restart, leave and are gone, in whatever order the news arrives.
//!
//! News of an older incarnation than the known one is dropped. Within one incarnation a server
//! only goes from live over leaving to gone; a newer incarnation starts over.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::Scheduler;
use crate::{
    backend::{Backend, BackendEntry, Health, LoadReport, PendingWork, SlotLease},
    keys::{BackendKey, PoolKey},
    lane::Lane,
    leases::Claim,
};

impl Scheduler {
    /// Takes a live server of the platform's list in.
    ///
    /// Returns its key, or `None` if the pool is not known.
    pub fn backend_live(&mut self, now: Instant, seen: &BackendEntry<'_>) -> Option<BackendKey> {
        self.sight(now, seen, Health::Up)
    }

    /// Stops new work on a server that is leaving; its streams finish.
    pub fn backend_leaving(&mut self, now: Instant, seen: &BackendEntry<'_>) -> Option<BackendKey> {
        self.sight(now, seen, Health::Leaving)
    }

    /// Stops new work on a server that has left.
    pub fn backend_gone(&mut self, now: Instant, seen: &BackendEntry<'_>) -> Option<BackendKey> {
        self.sight(now, seen, Health::Gone)
    }

    /// Takes a lagging load report in; one of an older incarnation is dropped.
    pub fn load_report(&mut self, now: Instant, backend: BackendKey, report: &LoadReport) {
        if let Some(incarnation) = report.incarnation {
            self.note_incarnation(now, backend, incarnation);
        }
        let Some(entry) = self.backends.get_mut(backend) else { return };
        if report.incarnation.is_none_or(|it| it == entry.incarnation) {
            entry.apply_report(now, report);
        }
    }

    /// What this router's requests take at a server.
    pub fn own_work(&self, backend: BackendKey) -> PendingWork {
        let Some(entry) = self.backends.get(backend) else { return PendingWork::default() };
        PendingWork { requests: entry.in_flight, unread_tokens: entry.unread.tokens() }
    }

    /// Takes in what the requests of all other routers take at the servers of a pool; those not
    /// named have none.
    pub fn set_others_work(
        &mut self,
        now: Instant,
        pool: PoolKey,
        work: &[(BackendKey, PendingWork)],
    ) {
        let Some(pool) = self.pools.get(pool) else { return };
        for member in &pool.members {
            self.backends[*member].note_others_work(now, PendingWork::default());
        }
        for (key, it) in work {
            if let Some(backend) = self.backends.get_mut(*key) {
                backend.note_others_work(now, *it);
            }
        }
    }

    /// Notes how many requests a server runs at once, as the platform's list names it.
    pub fn set_slots(&mut self, backend: BackendKey, slots: u32) {
        if let Some(entry) = self.backends.get_mut(backend) {
            entry.note_slots(slots);
        }
    }

    /// Grants this router a part of the server's slots until `expires`.
    ///
    /// Once a lease is set, load reports no longer bound what this router sends there.
    pub fn set_lease(&mut self, backend: BackendKey, slots: u32, expires: Instant) {
        if let Some(entry) = self.backends.get_mut(backend) {
            entry.lease = Some(SlotLease { slots, expires });
        }
    }

    /// What this router tells the owner of the server, so that it divides the server's slots.
    pub fn claim(&self, backend: BackendKey) -> Claim {
        let Some(entry) = self.backends.get(backend) else { return Claim::default() };
        let lanes = &self.pools[entry.pool].lanes;
        let urgent = self.order.first().and_then(|it| lanes.get(*it));
        Claim {
            demand: lanes.values().map(Lane::demand).sum(),
            urgent: urgent.map_or(0, Lane::demand),
            held: entry.in_flight + entry.reserved,
        }
    }

    /// The health of a server.
    pub fn health(&self, backend: BackendKey) -> Option<Health> {
        self.backends.get(backend).map(|it| it.health)
    }

    /// A server that tells a newer incarnation itself has restarted.
    pub(super) fn note_incarnation(&mut self, now: Instant, key: BackendKey, incarnation: u64) {
        let Some(backend) = self.backends.get(key) else { return };
        if incarnation > backend.incarnation {
            self.restart(now, key, incarnation, Health::Up);
        }
    }

    fn sight(
        &mut self,
        now: Instant,
        seen: &BackendEntry<'_>,
        health: Health,
    ) -> Option<BackendKey> {
        self.pools.get(seen.pool)?;
        let Some(key) = self.backend(seen.name) else {
            return Some(self.insert_backend(now, seen, health));
        };
        let known = self.backends[key].incarnation;
        if seen.incarnation > known {
            self.move_to_pool(key, seen.pool);
            self.restart(now, key, seen.incarnation, health);
        } else if seen.incarnation == known {
            let backend = &mut self.backends[key];
            backend.health = later_of(backend.health, health);
        }
        Some(key)
    }

    fn insert_backend(
        &mut self,
        now: Instant,
        seen: &BackendEntry<'_>,
        health: Health,
    ) -> BackendKey {
        let pool = &mut self.pools[seen.pool];
        let hash = xxh3_64(seen.name.as_bytes());
        let mut backend = Backend::new(hash, seen.pool, seen.incarnation, pool.spec.slots);
        backend.health = health;
        let members = &pool.members;
        let joins_a_running_pool =
            members.iter().any(|it| self.backends[*it].gap_ms.value().is_some());
        backend.ramp_from = joins_a_running_pool.then_some(now);
        let key = self.backends.insert(backend);
        pool.members.push(key);
        self.backend_names.insert(seen.name.to_owned(), key);
        key
    }

    fn restart(&mut self, now: Instant, key: BackendKey, incarnation: u64, health: Health) {
        let backend = &mut self.backends[key];
        backend.restart(incarnation);
        backend.health = health;
        backend.next_probe = None;
        backend.ramp_from = Some(now);
    }

    fn move_to_pool(&mut self, key: BackendKey, pool: PoolKey) {
        let from = self.backends[key].pool;
        if from == pool {
            return;
        }
        self.pools[from].members.retain(|it| *it != key);
        self.pools[pool].members.push(key);
        self.backends[key].pool = pool;
    }
}

/// Within one incarnation a server never comes back from leaving or gone.
fn later_of(known: Health, seen: Health) -> Health {
    match (known, seen) {
        (Health::Gone, _) | (_, Health::Gone) => Health::Gone,
        (Health::Leaving, _) | (_, Health::Leaving) => Health::Leaving,
        (known, _) => known,
    }
}
