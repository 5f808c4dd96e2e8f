//! Limits on the rate of requests to a server: what its answers say, the permits for requests to it, and
//! the refusal of requests that would wait too long for one.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::Scheduler;
use crate::{
    backend::Backend,
    keys::{BackendKey, PoolKey, Ticket},
    rate_limit::{
        Allowance, LimitChange, LimitEntry, LimitStatement, PermitDemand, PermitGrant,
        PermitIssuer, PermitRequest, Permits, RequestRate, ServerHash, ServerLimit,
    },
    request::{Offer, Refusal, RefusalReason, Request},
    settings::PermitSource,
};

/// The largest number of servers for which one exchange asks for permits, so that a pool whose servers
/// all have limits does not exceed the bandwidth for control.
const ASKED_SERVERS_MAX: usize = 8;
/// After so many exchanges without a grant other servers are asked for.
const UNANSWERED_ASKS_MAX: u32 = 4;
/// More than a pool has servers.
const SERVER_POSITIONS: usize = 1 << 16;
/// The largest number of servers that are not listed here and whose limits are kept.
const UNLISTED_LIMITS_MAX: usize = 4_096;
/// Permits are asked for the requests that are expected within this time.
const EXPECTED_TIME: Duration = Duration::from_millis(500);
/// The deadline divided by this is the longest wait for a permit.
const PERMIT_WAIT_DEADLINE_DIVISOR: u32 = 3;
/// A router that was granted no permit lately expects this fraction of the limits.
const MIN_SHARE: f64 = 0.02;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);
/// Callers come back after up to this multiple of the expected wait, so that they do not all come at
/// once.
const RETRY_SPREAD_MAX: f64 = 1.25;

/// What a router may send to a pool whose servers all have limits.
struct LimitedPool {
    permits: u32,
    share_per_s: f64,
}

/// The permits that a router lacks for requests to a pool.
struct MissingPermits {
    waiting: usize,
    expected: usize,
}

impl MissingPermits {
    /// Spreads the permits evenly over the servers.
    fn spread(&self, servers: impl Iterator<Item = ServerHash>) -> Vec<PermitRequest> {
        let servers: Vec<_> = servers.collect();
        let total = self.waiting + self.expected;
        let each = |permits: usize, idx: usize| {
            let count = (permits + servers.len() - 1 - idx) / servers.len();
            count.try_into().unwrap_or(u16::MAX)
        };
        let requests = servers.iter().enumerate().map(|(idx, server)| {
            let waiting = each(self.waiting, idx);
            let expected = each(total, idx) - waiting;
            PermitRequest { server: *server, demand: PermitDemand { waiting, expected } }
        });
        requests.filter(|it| it.demand != PermitDemand::default()).collect()
    }
}

impl LimitedPool {
    /// The expected time until so many requests have been sent.
    fn time_for(&self, requests: usize) -> Duration {
        let time = Duration::try_from_secs_f64(requests as f64 / self.share_per_s);
        time.unwrap_or(MAX_RETRY_AFTER)
    }
}

impl Scheduler {
    /// Records what an answer to the request's current attempt says of its server's limit; returns
    /// whether the limit has changed.
    pub fn limit_named(
        &mut self,
        now: Instant,
        ticket: Ticket,
        rate: Option<RequestRate>,
    ) -> LimitChange {
        let attempt = self.requests.get(ticket).and_then(Request::attempt);
        let Some(attempt) = attempt else { return LimitChange::Unchanged };
        let server = &self.backends[attempt.backend];
        let known = server.limit.as_ref().map(|it| it.statement);
        if server.incarnation != attempt.incarnation || (known.is_none() && rate.is_none()) {
            return LimitChange::Unchanged;
        }
        let statement = LimitStatement::of_answer(known, rate, attempt.sent_at, now);
        self.merge_limit(now, attempt.backend, statement)
    }

    /// Merges what the hub knows of the limits of servers. Returns the servers whose limit has changed
    /// and those of which this router knows better.
    pub fn import_limits(
        &mut self,
        now: Instant,
        entries: &[LimitEntry],
    ) -> Vec<(BackendKey, LimitEntry, LimitChange)> {
        let mut changes = Vec::new();
        for entry in entries {
            let key = self.backends.iter().find(|(_, it)| it.hash() == entry.server);
            let Some(key) = key.map(|it| it.0) else {
                self.keep_limit_of_unlisted(now, entry);
                continue;
            };
            let change = self.merge_limit(now, key, entry.statement(now));
            if change != LimitChange::Unchanged {
                changes.push((key, *entry, change));
            }
        }
        changes
    }

    /// The known limits of servers, those that have ended included.
    pub fn limit_entries(&self, now: Instant) -> Vec<LimitEntry> {
        let limits = self.backends.values().filter_map(|it| Some((it.hash(), it.limit.as_ref()?)));
        limits.map(|(server, it)| LimitEntry::new(server, it.statement, now)).collect()
    }

    /// The permits to ask for, for requests to the pool's servers.
    pub fn permit_requests(&mut self, now: Instant, pool: PoolKey) -> Vec<PermitRequest> {
        let (limited, held) = self.limited_servers(now, pool);
        if limited.is_empty() {
            return Vec::new();
        }
        let is_whole_pool = self.limited_pool(now, pool).is_some();
        let waiting = if is_whole_pool { self.pools[pool].waiting } else { 0 };
        let expected = self.expected_requests(now, pool, limited.len());
        let missing = MissingPermits {
            waiting: waiting.saturating_sub(held),
            expected: expected.saturating_sub(held.saturating_sub(waiting)),
        };
        let start = self.first_asked % limited.len();
        let servers = limited.iter().cycle().skip(start).take(limited.len()).copied();
        let requests = missing.spread(servers.take(ASKED_SERVERS_MAX));
        self.unanswered_asks += u32::from(!requests.is_empty());
        requests
    }

    /// The servers of the pool that have limits, and the permits that can be used now. Any of the servers can
    /// take a request, so a permit for one of them counts for all.
    fn limited_servers(&self, now: Instant, pool: PoolKey) -> (Vec<ServerHash>, usize) {
        let members = self.pools.get(pool).map_or(&[][..], |it| &it.members);
        let (mut servers, mut permits) = (Vec::new(), 0);
        for server in members.iter().map(|it| &self.backends[*it]) {
            let Some(held) = server.limit.as_ref().and_then(|it| it.held(now)) else { continue };
            if server.is_usable() || server.next_probe.is_some() {
                servers.push(server.hash());
            }
            if server.is_usable() && server.pause_end(now).is_none() {
                permits += held as usize;
            }
        }
        (servers, permits)
    }

    /// The requests expected within [`EXPECTED_TIME`] at so many of the pool's servers.
    fn expected_requests(&mut self, now: Instant, pool: PoolKey, servers: usize) -> usize {
        let pool = &mut self.pools[pool];
        let usable = pool.members.iter().filter(|it| self.backends[**it].is_usable()).count();
        let arrivals_per_s = pool.arrivals.per_second(now).unwrap_or(1.0);
        let share = servers as f64 / usable.max(1) as f64;
        (arrivals_per_s * EXPECTED_TIME.as_secs_f64() * share).ceil() as usize
    }

    /// Applies the hub's answer to the requests for permits. It is called after each exchange, also if
    /// it grants none.
    pub fn grant_permits(&mut self, now: Instant, pool: PoolKey, grants: &[PermitGrant]) {
        let Some(pool) = self.pools.get(pool) else { return };
        for member in &pool.members {
            let server = &mut self.backends[*member];
            let granted = grants.iter().find(|it| it.server == server.hash());
            if let Some(limit) = &mut server.limit {
                limit.granted(now, granted.map_or(0, |it| it.count.into()));
            }
        }
        // The same servers are asked for until there is a grant, so that the hub can tell a repeated
        // request from a further one.
        if !grants.is_empty() || self.unanswered_asks >= UNANSWERED_ASKS_MAX {
            self.first_asked = self.rng.random_range(0..SERVER_POSITIONS);
            self.unanswered_asks = 0;
        }
    }

    /// The limit of a server, if it has one.
    pub fn rate_limit(&self, backend: BackendKey) -> Option<RequestRate> {
        self.backends.get(backend)?.limit.as_ref()?.rate()
    }

    /// Refuses a request to a pool whose servers all have limits if it would wait too long for a permit.
    /// The first request of a class always waits, since only waiting requests are granted permits for.
    pub(super) fn check_limits(&mut self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        let Some(limited) = self.limited_pool(now, offer.pool) else { return Ok(()) };
        let ahead = self.waiting_ahead(offer);
        if ahead == 0 || ahead < limited.permits as usize {
            return Ok(());
        }
        let wait = limited.time_for(ahead);
        if wait <= self.permit_wait_max(offer) {
            return Ok(());
        }
        Err(self.rate_limited(wait))
    }

    /// Refuses the requests that have waited too long for their first permit.
    pub(super) fn refuse_without_permit(&mut self, now: Instant, pool: PoolKey) {
        if self.pools[pool].waiting == 0 {
            return;
        }
        let Some(limited) = self.limited_pool(now, pool) else { return };
        let queued = self.pools[pool].queues.values().flat_map(|it| it.tickets());
        let expired = queued.filter(|it| {
            let request = &self.requests[*it];
            request.attempts == 0 && now >= request.arrived + self.permit_wait_max(&request.offer)
        });
        for ticket in expired.collect::<Vec<_>>() {
            let ahead = self.waiting_ahead(&self.requests[ticket].offer);
            let refusal = self.rate_limited(limited.time_for(ahead));
            self.remove_from_queue(ticket);
            self.close_refused(ticket, refusal);
        }
    }

    fn permit_wait_max(&self, offer: &Offer) -> Duration {
        self.classes[offer.class].spec.deadline() / PERMIT_WAIT_DEADLINE_DIVISOR
    }

    fn rate_limited(&mut self, wait: Duration) -> Refusal {
        let spread = self.rng.random_range(1.0..RETRY_SPREAD_MAX);
        let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(spread);
        Refusal { reason: RefusalReason::RateLimited, retry_after }
    }

    /// What may be sent to the pool, if all its usable servers have limits.
    fn limited_pool(&self, now: Instant, pool: PoolKey) -> Option<LimitedPool> {
        let members = self.pools[pool].members.iter().map(|it| &self.backends[*it]);
        let usable = members.filter(|it| it.is_usable() && it.pause_end(now).is_none());
        let mut limited = LimitedPool { permits: 0, share_per_s: 0.0 };
        let mut total_per_s = 0.0;
        for server in usable {
            let limit = server.limit.as_ref()?;
            limited.permits += limit.available(now)?;
            limited.share_per_s += limit.share_per_s();
            total_per_s += limit.rate()?.permits_per_second();
        }
        limited.share_per_s = limited.share_per_s.max(total_per_s * MIN_SHARE);
        (total_per_s > 0.0).then_some(limited)
    }

    /// The waiting requests of the class and of more urgent ones.
    fn waiting_ahead(&self, offer: &Offer) -> usize {
        let priority = self.classes[offer.class].spec.priority;
        let queues = self.pools[offer.pool].queues.iter();
        let ahead = queues.filter(|(key, _)| self.classes[*key].spec.priority >= priority);
        ahead.map(|(_, queue)| queue.waiting).sum()
    }

    fn keep_limit_of_unlisted(&mut self, now: Instant, entry: &LimitEntry) {
        let statement = entry.statement(now);
        if let Some(known) = self.unlisted_limits.get_mut(&entry.server) {
            known.merge(statement);
        } else if self.unlisted_limits.len() < UNLISTED_LIMITS_MAX {
            self.unlisted_limits.insert(entry.server, statement);
        }
    }

    /// Applies what was known of the limit of a server before it was listed here.
    pub(super) fn apply_limit_of_listed(&mut self, now: Instant, key: BackendKey) {
        if let Some(statement) = self.unlisted_limits.remove(&self.backends[key].hash()) {
            self.merge_limit(now, key, statement);
        }
    }

    pub(super) fn merge_limit(
        &mut self,
        now: Instant,
        key: BackendKey,
        statement: LimitStatement,
    ) -> LimitChange {
        let server = &mut self.backends[key];
        if let Some(limit) = &mut server.limit {
            return limit.merge(now, statement);
        }
        let permits = match self.settings.permits {
            PermitSource::Hub => Permits::Granted(Allowance::new(now)),
            PermitSource::Own => Permits::Own(PermitIssuer::new(now)),
        };
        server.limit =
            Some(ServerLimit { statement, permits, free_until: None, is_fragile: false });
        match statement.rate {
            Some(_) => LimitChange::Changed,
            None => LimitChange::Unchanged,
        }
    }
}

impl Backend {
    /// The identity of the server in messages about its limit.
    pub(crate) fn hash(&self) -> ServerHash {
        ServerHash(self.name_hash as u32)
    }

    /// Whether a request may be sent under the server's limit.
    pub(crate) fn has_permit(&self, now: Instant) -> bool {
        let Some(limit) = &self.limit else { return true };
        let is_permitted = limit.available(now).is_none_or(|it| it > 0);
        is_permitted && !(limit.is_fragile && limit.rate().is_some() && self.is_crowded(now))
    }

    /// Whether the requests of all routers take all places of the server, as far as is known.
    fn is_crowded(&self, now: Instant) -> bool {
        f64::from(self.in_flight) + self.other_routers_load(now).0 >= f64::from(self.slots())
    }
}
