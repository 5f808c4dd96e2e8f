//! Servers that are down for several routers, as these have told one another.
//!
//! With many routers, each one would find out by a request of its own that a server is down, and until then
//! prompts would be sent to different home servers. A report is a hint only: a router that is cut off from
//! some servers reports them too. So servers that are reported down are avoided, and checked one by one.

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;

use super::Scheduler;
use crate::{
    backend::{Backend, Health},
    keys::{BackendKey, PoolKey},
};

/// Time for which a report counts; it is renewed with each exchange.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a server is not avoided after it has answered a probe while it was reported down.
const VERIFIED_TTL: Duration = Duration::from_secs(5);
/// Reports on more than this part of a pool's servers are ignored: a large part of the routers may be cut
/// off from the servers.
const REPORTED_PART_MAX: f64 = 0.5;

/// What other routers have told of a server that is down for them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DownReport {
    reported_at: Option<Instant>,
    /// When the server last answered a probe although it was reported down.
    verified_at: Option<Instant>,
}

impl DownReport {
    fn is_current(&self, now: Instant) -> bool {
        let is_verified = self.verified_at.is_some_and(|it| now < it + VERIFIED_TTL);
        !is_verified && self.reported_at.is_some_and(|it| now < it + REPORT_TTL)
    }

    /// Records that the server has answered a probe.
    pub(crate) fn probe_answered(&mut self, now: Instant) {
        if self.reported_at.is_some() {
            self.verified_at = Some(now);
        }
    }
}

impl Scheduler {
    /// The pool's servers that this router has found down itself; none if it is cut off from all of them.
    pub fn down_servers(&self, pool: PoolKey) -> Vec<BackendKey> {
        let Some(entry) = self.pools.get(pool).filter(|_| self.is_reachable(pool)) else {
            return Vec::new();
        };
        let members = entry.members.iter().copied();
        members.filter(|it| self.backends[*it].health == Health::Down).collect()
    }

    /// Sets the servers of a pool that are down for several routers, and probes one of those that this router
    /// has not checked. Returns how many servers are avoided for the reports, if that number has changed.
    pub fn set_reported_down(
        &mut self,
        now: Instant,
        pool: PoolKey,
        servers: &[BackendKey],
    ) -> Option<usize> {
        let entry = self.pools.get(pool)?;
        let before = self.avoided_as_down(now, &entry.members);
        let is_too_large = servers.len() as f64 > entry.members.len() as f64 * REPORTED_PART_MAX;
        for member in &entry.members {
            let is_reported = !is_too_large && servers.contains(member);
            self.backends[*member].down_report.reported_at = is_reported.then_some(now);
        }
        let avoided = self.avoided_as_down(now, &entry.members);
        let unchecked = entry.members.iter().copied().filter(|it| {
            let server = &self.backends[*it];
            server.health == Health::Up && server.down_report.is_current(now)
        });
        if let Some(server) = unchecked.choose(&mut self.rng) {
            self.connection_timed_out(server, now);
        }
        (avoided != before).then_some(avoided)
    }

    fn avoided_as_down(&self, now: Instant, members: &[BackendKey]) -> usize {
        members.iter().filter(|it| self.backends[**it].down_report.is_current(now)).count()
    }
}

impl Backend {
    /// Whether the server is usable and not down for other routers, as far as known.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.is_usable() && !self.down_report.is_current(now)
    }
}
