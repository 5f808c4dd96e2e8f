//! Whether the router reaches the servers of a pool.

use std::time::Instant;

use super::Scheduler;
use crate::{
    backend::Health,
    keys::{BackendKey, PoolKey, Ticket},
    request::Repeat,
};

/// A pool whose servers can no longer be reached, or can be reached again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachChange {
    /// Whether a server of the pool can be reached.
    pub is_reachable: bool,
    /// The number of its servers that are down for this router.
    pub down_servers: usize,
    /// When a server of the pool last answered a request of this router.
    pub last_answer: Option<Instant>,
}

impl Scheduler {
    /// Whether a server of the pool can be reached, as far as known. Servers that are leaving do not
    /// count, and neither does a pool without servers.
    #[must_use]
    pub fn is_reachable(&self, pool: PoolKey) -> bool {
        let Some(pool) = self.pools.get(pool) else { return true };
        let mut members = pool.members.iter().map(|it| &self.backends[*it]);
        members.clone().any(|it| it.is_usable()) || !members.any(|it| it.health == Health::Down)
    }

    /// Whether a server of the pool can be reached by requests of this kind. Those that must not run twice
    /// need a proven path.
    #[must_use]
    pub fn is_reachable_by(&self, pool: PoolKey, repeat: Repeat) -> bool {
        let Some(members) = self.pools.get(pool).map(|it| &it.members) else { return true };
        let mut usable = members.iter().map(|it| &self.backends[*it]).filter(|it| it.is_usable());
        match repeat {
            Repeat::Idempotent => self.is_reachable(pool),
            Repeat::AtMostOnce => {
                self.is_reachable(pool)
                    && (usable.clone().next().is_none() || usable.any(|it| it.path.is_proven()))
            }
        }
    }

    /// Whether requests that must not run twice may be sent to the server, as far as its path is concerned.
    #[must_use]
    pub fn has_proven_path(&self, backend: BackendKey) -> bool {
        self.backends.get(backend).is_some_and(|it| it.path.is_proven())
    }

    /// Whether the server counts as reachable and may be sent a probe at any time: it rests from no request
    /// and has no limit on their rate.
    #[must_use]
    pub fn may_be_probed(&self, now: Instant, backend: BackendKey) -> bool {
        self.backends
            .get(backend)
            .is_some_and(|it| it.is_usable() && it.pause_end(now).is_none() && it.limit.is_none())
    }

    /// Records that this router is cut off from all servers. Queued requests are refused at once: no
    /// server is expected back soon.
    pub fn cut_off(&mut self, now: Instant, key: PoolKey) {
        let Some(pool) = self.pools.get_mut(key) else { return };
        pool.without_backend_since = now.checked_sub(self.settings.no_backend_grace);
        for backend in pool.members.clone() {
            self.mark_down(backend, now);
            self.backends[backend].path.lost(now);
        }
    }

    /// Whether the pool's servers have become reachable or unreachable since the last call, for logs.
    pub fn take_reach_change(&mut self, key: PoolKey) -> Option<ReachChange> {
        let is_reachable = self.is_reachable(key);
        let pool = self.pools.get_mut(key)?;
        if pool.was_unreachable != is_reachable {
            return None;
        }
        pool.was_unreachable = !is_reachable;
        let last_answer = pool.last_answer;
        let members = self.pools[key].members.iter().map(|it| &self.backends[*it]);
        let down_servers = members.filter(|it| it.health == Health::Down).count();
        Some(ReachChange { is_reachable, down_servers, last_answer })
    }

    /// Records that the server of the request's current attempt has answered.
    pub(super) fn record_answer(&mut self, now: Instant, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else { return };
        self.pools[request.offer.pool].last_answer = Some(now);
        if let Some(attempt) = request.attempt() {
            self.backends[attempt.backend].path.request_answered(attempt.sent_at);
        }
    }
}
