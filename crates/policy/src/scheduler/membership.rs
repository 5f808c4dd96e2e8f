//! Membership of servers in pools, from list entries and load reports that arrive in any order.
//!
//! Updates of an older incarnation than the known one are ignored. Within one incarnation a server
//! only changes from live to leaving to gone; a newer incarnation starts as live again.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::Scheduler;
use crate::{
    backend::{Backend, BackendEntry, Health, LoadReport, PendingWork, SlotLease},
    class_queue::ClassQueue,
    keys::{BackendKey, PoolKey, Ticket},
    leases::Claim,
    partition::MeasuredPauses,
    request::Request,
};

/// The longest pause that a server is granted; after it, the server may ask again.
const PAUSE_MAX: Duration = Duration::from_secs(60);

impl Scheduler {
    /// Adds or updates a server that the platform lists as live.
    ///
    /// Returns its key, or `None` if the pool is unknown.
    pub fn backend_live(&mut self, now: Instant, entry: &BackendEntry<'_>) -> Option<BackendKey> {
        self.apply_entry(now, entry, Health::Up)
    }

    /// Stops new requests to a server that is leaving; its running streams finish.
    pub fn backend_leaving(
        &mut self,
        now: Instant,
        entry: &BackendEntry<'_>,
    ) -> Option<BackendKey> {
        self.apply_entry(now, entry, Health::Leaving)
    }

    /// Stops new requests to the server of a request's attempt, because it says in its answer that it
    /// is leaving; returns whether that is new. A list that lags behind does not revoke it.
    pub fn announced_leaving(&mut self, ticket: Ticket, backend: BackendKey) -> bool {
        let attempt = self.requests.get(ticket).and_then(Request::attempt);
        let Some(attempt) = attempt.filter(|it| it.backend == backend) else { return false };
        let server = &mut self.backends[backend];
        if server.incarnation != attempt.incarnation || !server.is_usable() {
            return false;
        }
        server.health = Health::Leaving;
        true
    }

    /// Sends nothing to a server for some time, because it has asked for that when it refused a request;
    /// returns the time that is granted.
    pub fn pause_requested(
        &mut self,
        now: Instant,
        backend: BackendKey,
        pause: Duration,
    ) -> Duration {
        let pause = pause.min(PAUSE_MAX);
        if let Some(server) = self.backends.get_mut(backend) {
            server.pause(now + pause);
        }
        pause
    }

    /// Stops new requests to a server that has left.
    pub fn backend_gone(&mut self, now: Instant, entry: &BackendEntry<'_>) -> Option<BackendKey> {
        self.apply_entry(now, entry, Health::Gone)
    }

    /// Applies a load report; a report of an older incarnation is ignored.
    pub fn load_report(&mut self, now: Instant, backend: BackendKey, report: &LoadReport) {
        if let Some(incarnation) = report.incarnation {
            self.update_incarnation(now, backend, incarnation);
        }
        let Some(entry) = self.backends.get_mut(backend) else { return };
        if report.incarnation.is_none_or(|it| it == entry.incarnation) {
            entry.apply_report(now, report);
        }
    }

    /// The pending work of this router's requests at a server.
    pub fn own_work(&self, backend: BackendKey) -> PendingWork {
        let Some(entry) = self.backends.get(backend) else { return PendingWork::default() };
        PendingWork { requests: entry.in_flight, unread_tokens: entry.prefill_queue.tokens() }
    }

    /// Sets the pending work of all other routers at the servers of a pool; servers that are not in
    /// `work` have none.
    pub fn set_others_work(
        &mut self,
        now: Instant,
        pool: PoolKey,
        work: &[(BackendKey, PendingWork)],
    ) {
        let Some(pool) = self.pools.get(pool) else { return };
        for member in &pool.members {
            self.backends[*member].set_others_work(now, PendingWork::default());
        }
        for (key, it) in work {
            if let Some(backend) = self.backends.get_mut(*key) {
                backend.set_others_work(now, *it);
            }
        }
    }

    /// The long pauses of lenient streams that this router has measured in a pool; `None` without any.
    pub fn own_pauses(&self, pool: PoolKey) -> Option<MeasuredPauses> {
        let pauses = self.pools.get(pool)?.partition.own_pauses();
        (pauses != MeasuredPauses::default()).then_some(pauses)
    }

    /// Sets the long pauses of lenient streams that all routers, this one included, have measured in a pool.
    pub fn set_common_pauses(&mut self, pool: PoolKey, pauses: MeasuredPauses) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.partition.set_common_pauses(pauses);
        }
    }

    /// Sets how many requests a server runs at once, as given by the platform's list.
    pub fn set_slots(&mut self, backend: BackendKey, slots: u32) {
        if let Some(entry) = self.backends.get_mut(backend) {
            entry.set_reported_slots(slots);
        }
    }

    /// Grants this router a lease of some of the server's slots until `expires`.
    ///
    /// Once a lease is set, load reports no longer limit the requests that this router sends to the
    /// server.
    pub fn set_lease(&mut self, backend: BackendKey, slots: u32, expires: Instant) {
        if let Some(entry) = self.backends.get_mut(backend) {
            entry.lease = Some(SlotLease { slots, expires });
        }
    }

    /// The claim to send to the owner of the server, which divides the server's slots.
    pub fn claim(&self, backend: BackendKey) -> Claim {
        let Some(entry) = self.backends.get(backend) else { return Claim::default() };
        let queues = &self.pools[entry.pool].queues;
        let urgent = self.order.first().and_then(|it| queues.get(*it));
        Claim {
            demand: queues.values().map(ClassQueue::demand).sum(),
            urgent: urgent.map_or(0, ClassQueue::demand),
            held: entry.in_flight + entry.reserved,
        }
    }

    /// The health of a server.
    pub fn health(&self, backend: BackendKey) -> Option<Health> {
        self.backends.get(backend).map(|it| it.health)
    }

    /// Restarts a server that itself reports a newer incarnation.
    pub(super) fn update_incarnation(&mut self, now: Instant, key: BackendKey, incarnation: u64) {
        let Some(backend) = self.backends.get(key) else { return };
        if incarnation > backend.incarnation {
            self.restart(now, key, incarnation, Health::Up);
        }
    }

    fn apply_entry(
        &mut self,
        now: Instant,
        entry: &BackendEntry<'_>,
        health: Health,
    ) -> Option<BackendKey> {
        self.pools.get(entry.pool)?;
        let Some(key) = self.backend(entry.name) else {
            return Some(self.insert_backend(now, entry, health));
        };
        let known = self.backends[key].incarnation;
        if entry.incarnation > known {
            self.move_to_pool(key, entry.pool);
            self.restart(now, key, entry.incarnation, health);
        } else if entry.incarnation == known {
            let backend = &mut self.backends[key];
            backend.health = merge_health(backend.health, health);
        }
        Some(key)
    }

    fn insert_backend(
        &mut self,
        now: Instant,
        entry: &BackendEntry<'_>,
        health: Health,
    ) -> BackendKey {
        let pool = &mut self.pools[entry.pool];
        let hash = xxh3_64(entry.name.as_bytes());
        let mut backend = Backend::new(hash, entry.pool, entry.incarnation, pool.spec.slots);
        backend.health = health;
        let members = &pool.members;
        let joins_active_pool =
            members.iter().any(|it| self.backends[*it].gap_ms.value().is_some());
        backend.slow_start_since = joins_active_pool.then_some(now);
        let key = self.backends.insert(backend);
        pool.members.push(key);
        self.backend_names.insert(entry.name.to_owned(), key);
        self.apply_limit_of_listed(now, key);
        key
    }

    fn restart(&mut self, now: Instant, key: BackendKey, incarnation: u64, health: Health) {
        let backend = &mut self.backends[key];
        backend.restart(incarnation);
        backend.health = health;
        backend.next_probe = (!backend.path.is_proven()).then_some(now);
        backend.slow_start_since = Some(now);
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

/// Within one incarnation a server never becomes live again after it is leaving or gone.
fn merge_health(known: Health, entry: Health) -> Health {
    match (known, entry) {
        (Health::Gone, _) | (_, Health::Gone) => Health::Gone,
        (Health::Leaving, _) | (_, Health::Leaving) => Health::Leaving,
        (known, _) => known,
    }
}
