//! Streams that have begun go on only at servers of the software version that began them.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::{
    keys::{BackendKey, PoolKey, Ticket},
    pool::Contender,
    request::{Phase, RefusalReason, Request},
    software::VersionHash,
};

/// How long a request that is restricted to a version waits apart from the queue while no server of the
/// version is free, so that it does not hold up the requests behind it.
const RESTRICTED_WAIT: Duration = Duration::from_millis(25);

impl Scheduler {
    /// Sets the software version of a server, as given by the platform's list.
    pub fn set_version(&mut self, backend: BackendKey, version: VersionHash) {
        if let Some(entry) = self.backends.get_mut(backend) {
            entry.version = version;
        }
    }

    /// Restricts a request that has been offered to servers of a software version.
    pub fn restrict_version(&mut self, ticket: Ticket, version: VersionHash) {
        if let Some(request) = self.requests.get_mut(ticket) {
            request.version = Some(version);
        }
    }

    /// Restricts a request to the software version of its current attempt, because the caller receives
    /// the first event of its answer; returns the version.
    pub fn pin_version(&mut self, ticket: Ticket) -> Option<VersionHash> {
        let request = self.requests.get_mut(ticket)?;
        let version = request.attempt()?.version;
        request.version = Some(version);
        Some(version)
    }

    /// Whether a server of the pool has the software version and may be sent requests.
    pub fn has_usable_version(&self, now: Instant, pool: PoolKey, version: VersionHash) -> bool {
        self.has_usable_backend_of(now, pool, Some(version))
    }

    pub(super) fn has_usable_backend_for(&self, now: Instant, request: &Request) -> bool {
        let offer = &request.offer;
        self.is_reachable_by(offer.pool, offer.repeat)
            && self.has_usable_backend_of(now, offer.pool, request.version)
    }

    pub(super) fn has_usable_backend_of(
        &self,
        now: Instant,
        pool: PoolKey,
        version: Option<VersionHash>,
    ) -> bool {
        let Some(pool) = self.pools.get(pool) else { return false };
        let mut members = pool.members.iter().map(|it| &self.backends[*it]);
        members.any(|it| {
            let is_eligible = version.is_none_or(|version| version == it.version);
            is_eligible && it.is_usable() && it.pause_end(now).is_none()
        })
    }

    /// Takes the next request of a class out of the queue for a short time if it is restricted to a
    /// version of which no server is free, and refuses it if none is usable. Returns whether there was
    /// one.
    pub(super) fn set_restricted_aside(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contenders: &[Contender],
    ) -> bool {
        let heads = contenders.iter().map(|it| it.class);
        let heads: Vec<_> = heads.filter_map(|it| self.waiting_head(pool, it)).collect();
        let restricted = heads.into_iter().find(|it| self.requests[*it].version.is_some());
        let Some(ticket) = restricted else { return false };
        if !self.has_usable_backend_for(now, &self.requests[ticket]) {
            self.refuse_waiting(now, ticket, RefusalReason::NoVersion);
            return true;
        }
        self.remove_from_queue(ticket);
        let until = now + RESTRICTED_WAIT;
        let request = &mut self.requests[ticket];
        request.phase = Phase::Delayed { until };
        self.delayed.insert((until, ticket));
        self.dispatch_deadlines.insert((request.dispatch_deadline, ticket));
        true
    }
}
