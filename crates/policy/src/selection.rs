//! Selects the backend server for a request.
//!
//! The affinity server of a prefix follows from rendezvous hashing, so all routers agree on it
//! without communication. It is used while its load stays near the pool's mean; otherwise the less
//! loaded of two random servers is used. Random pairs keep routers that hold the same outdated load
//! reports from all selecting the same server.

use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::{
    backend::{Backend, Health},
    keys::BackendKey,
    pace::Ceiling,
    partition::Side,
    prompt::{Prompt, RecentPrefixes},
    quarantine::Isolation,
    request::Repeat,
    settings::Settings,
    software::VersionHash,
};

/// Load above the affinity bound that is tolerated, so that a nearly idle pool keeps its affinity.
const AFFINITY_LOAD_SLACK: f64 = 0.05;
/// The fraction of a shared prefix that its first and second home server are assumed to have
/// cached, since all routers prefer these two.
const HOME_CACHED_FRACTIONS: [f64; 2] = [1.0, 0.2];
/// Weight of a prompt token to prefill relative to a token that is already queued, in an idle pool
/// and in a full one. Prefill delays the running and later requests of the server, and in a full
/// pool the requests of all other servers too.
const PREFILL_WEIGHTS: [f64; 2] = [5.0, 80.0];
/// Cost of one more running request for all streams of a server together, at 0.1 ms per step.
const BATCH_COST_MS: f64 = 8.0;
/// Cost of each request beyond the server's slots.
const OVER_SLOTS_COST_MS: f64 = 100.0;
/// A pool counts as full once this fraction of its slots is in use, as prompts queue by then.
const FULL_POOL_FRACTION: f64 = 0.5;
/// Cost of a server of the lenient side for a strict request.
const LENIENT_SERVER_COST_MS: f64 = 80.0;
/// Cost of a server of the strict side for a lenient request; it is high because a long prompt
/// stalls all strict streams of a server.
const STRICT_SERVER_COST_MS: f64 = 3_000.0;
/// Gain of using a permit for a server with a rate limit, which would expire unused. It outweighs the
/// prefill of a short prompt and not that of a long one.
const PERMIT_GAIN_MS: f64 = 100.0;
/// Cost of a new connection, for the request and for the server.
const CONNECT_COST_MS: f64 = 24.0;
/// The same for requests without a prompt, as a fraction of a server's slots.
const CONNECT_LOAD: f64 = 0.1;
/// The servers of a kind that are compared for a request without a prompt.
const COMPARED_SERVERS: usize = 2;
/// The servers of each side of the partition that are compared for a prompt though the router has no reason
/// to prefer them.
const COMPARED_SERVERS_OF_SIDE: usize = 4;
/// A side with at most so many such servers is compared whole: few routers share it.
const SMALL_SIDE_SERVERS_MAX: usize = 12;
/// One in so many requests without a prompt does not prefer servers with a kept connection, so that a router
/// learns how the others do.
const EXPLORE_EVERY: u32 = 4;
/// Upper bound of the slowness factor, as gaps between tokens also differ by the running requests.
const SLOWNESS_MAX: f64 = 1.5;

/// What restricts and guides the selection of a server for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Criteria<'a> {
    pub(crate) prefix_hash: u64,
    /// The parts of the prompt, if they are known.
    pub(crate) prompt: Option<&'a Prompt>,
    /// The priority of the request; a higher number is more urgent.
    pub(crate) priority: u8,
    /// The servers of the request's side; empty if the pool is not partitioned.
    pub(crate) own_side: &'a [BackendKey],
    /// The request's side, if the pool is partitioned.
    pub(crate) side: Option<Side>,
    /// The servers of earlier attempts, the latest at the end; avoided if another one is free.
    pub(crate) tried: &'a [BackendKey],
    /// If set, only these servers are eligible.
    pub(crate) allowed: Option<&'a [BackendKey]>,
    /// The failing server that is tried with this request.
    pub(crate) to_try: Option<BackendKey>,
    /// If set, only servers of this software version are eligible.
    pub(crate) version: Option<VersionHash>,
    /// A request that must not run twice is only sent to servers with a proven path.
    pub(crate) repeat: Repeat,
    pub(crate) isolation: Isolation,
    /// Servers on which other suspects run.
    pub(crate) suspect_hosts: &'a [BackendKey],
    /// A straggler is eligible only if its gap between tokens is at most this.
    pub(crate) gap_limit_ms: f64,
    pub(crate) ceiling: Ceiling,
}

/// Selects among the servers of one pool at one moment.
pub(crate) struct Selector<'a> {
    pub(crate) backends: &'a SlotMap<BackendKey, Backend>,
    pub(crate) members: &'a [BackendKey],
    pub(crate) settings: &'a Settings,
    pub(crate) recent_prefixes: &'a RecentPrefixes,
    pub(crate) now: Instant,
}

impl Selector<'_> {
    /// The best eligible server with a free slot, if there is one.
    pub(crate) fn pick(&self, criteria: &Criteria<'_>, rng: &mut ChaCha8Rng) -> Option<BackendKey> {
        let mut candidates = self.free_servers(criteria);
        retain_unless_empty(&mut candidates, |it| !criteria.tried.contains(&it));
        retain_unless_empty(&mut candidates, |it| Some(&it) != criteria.tried.last());
        retain_unless_empty(&mut candidates, |it| {
            let server = &self.backends[it];
            server.health == Health::Up && server.is_available(self.now)
        });
        if let Some(server) = criteria.to_try.filter(|it| candidates.contains(it)) {
            return Some(server);
        }
        retain_unless_empty(&mut candidates, |it| !self.backends[it].failures.is_failing);
        retain_unless_empty(&mut candidates, |it| !self.is_slow(it));
        if criteria.isolation == Isolation::Preferred {
            retain_unless_empty(&mut candidates, |it| !criteria.suspect_hosts.contains(&it));
        }
        if criteria.prompt.is_none() {
            retain_unless_empty(&mut candidates, |it| self.is_limited(it));
        }
        self.cheapest(&candidates, criteria, rng)
            .or_else(|| self.affinity_server(&candidates, criteria.prefix_hash))
            .or_else(|| self.best_of_some(&candidates, rng))
    }

    /// Whether the server is eligible, whether or not it has a free slot.
    pub(crate) fn admits(&self, key: BackendKey, criteria: &Criteria<'_>) -> bool {
        let backend = &self.backends[key];
        let is_isolated =
            criteria.isolation != Isolation::Required || !criteria.suspect_hosts.contains(&key);
        let is_fast = !self.is_slow(key)
            || backend.gap_ms.value().is_none_or(|it| it <= criteria.gap_limit_ms);
        let has_version = criteria.version.is_none_or(|it| it == backend.version);
        let has_path = criteria.repeat == Repeat::Idempotent || backend.path.is_proven();
        has_version
            && has_path
            && is_isolated
            && is_fast
            && criteria.allowed.is_none_or(|it| it.contains(&key))
    }

    /// Whether a slot that a paused stream frees on the server can be used immediately.
    ///
    /// This holds even if the server is above a limit that was lowered, since the number of
    /// requests in flight does not change.
    pub(crate) fn can_reuse_slot(&self, key: BackendKey) -> bool {
        let backend = &self.backends[key];
        backend.health == Health::Up && !self.is_slow(key)
    }

    fn free_servers(&self, criteria: &Criteria<'_>) -> Vec<BackendKey> {
        let members = self.members.iter().copied();
        let free = members.filter(|it| {
            let backend = &self.backends[*it];
            backend.free_slots_within(self.now, self.settings, criteria.ceiling) > 0
                && backend.has_permit(self.now)
        });
        free.filter(|it| self.admits(*it, criteria)).collect()
    }

    fn is_slow(&self, key: BackendKey) -> bool {
        self.backends[key].is_straggler(self.settings)
    }

    /// Whether the server has a rate limit. A candidate then has a permit, which expires unused, while
    /// other servers can be used at any time.
    fn is_limited(&self, key: BackendKey) -> bool {
        self.backends[key].limit.as_ref().is_some_and(|it| it.rate().is_some())
    }

    fn affinity_server(&self, candidates: &[BackendKey], prefix_hash: u64) -> Option<BackendKey> {
        if prefix_hash == 0 || candidates.is_empty() {
            return None;
        }
        let key = *self.members.iter().max_by_key(|it| self.rendezvous(**it, prefix_hash))?;
        if !candidates.contains(&key) {
            return None;
        }
        let sum: f64 = candidates.iter().map(|it| self.load(*it)).sum();
        let mean = sum / candidates.len() as f64;
        let bound = mean * self.settings.affinity_bound + AFFINITY_LOAD_SLACK;
        (self.load(key) <= bound).then_some(key)
    }

    /// The server with the lowest cost: the expected time to the first token and the delay that the
    /// prefill causes to other requests.
    ///
    /// The cache matters more than the queue: prefilling a long shared prefix takes longer than
    /// waiting behind several requests at the server that has it cached, and evicts another prefix.
    fn cheapest(
        &self,
        candidates: &[BackendKey],
        criteria: &Criteria<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<BackendKey> {
        let prompt = criteria.prompt?;
        let homes = self.homes(prompt, criteria.own_side);
        let candidates = self.compared(candidates, prompt, &homes, criteria.own_side, rng);
        let weight = self.prefill_weight();
        let cost = |it: &BackendKey| {
            let weighted_tokens = f64::from(self.uncached_tokens(*it, prompt, &homes)) * weight;
            (*it, self.cost_ms(*it, weighted_tokens, criteria))
        };
        let costs = candidates.iter().map(cost);
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|it| it.0)
    }

    /// The servers that are compared for a prompt: those that the router has a reason to prefer, and some at
    /// random. Routers that know the same of all servers would otherwise all choose the same one.
    fn compared(
        &self,
        candidates: &[BackendKey],
        prompt: &Prompt,
        homes: &[BackendKey],
        own_side: &[BackendKey],
        rng: &mut ChaCha8Rng,
    ) -> Vec<BackendKey> {
        let is_preferred = |it: &BackendKey| {
            homes.contains(it)
                || self.has_connection(*it)
                || self.recent_prefixes.contains(self.now, prompt, *it)
        };
        let (mut compared, others): (Vec<_>, Vec<_>) =
            candidates.iter().copied().partition(is_preferred);
        let (own, other): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|it| own_side.contains(it));
        for side in [own, other] {
            let is_small = side.len() <= SMALL_SIDE_SERVERS_MAX;
            let count = if is_small { side.len() } else { COMPARED_SERVERS_OF_SIDE };
            compared.extend(sample(side, count, rng));
        }
        compared
    }

    /// The weight of a token to prefill, by the fraction of the pool's slots in use.
    fn prefill_weight(&self) -> f64 {
        let usable = self.members.iter().map(|it| &self.backends[*it]).filter(|it| it.is_usable());
        let (mut used, mut slots) = (0.0, 0.0);
        for backend in usable {
            used += f64::from(backend.in_flight) + backend.other_routers_load(self.now).0;
            slots += f64::from(backend.slots());
        }
        let used_fraction = (used / f64::max(slots * FULL_POOL_FRACTION, 1.0)).min(1.0);
        let [idle, full] = PREFILL_WEIGHTS;
        idle + (full - idle) * used_fraction * used_fraction
    }

    /// The cost of a request on a server, given its weighted tokens to prefill.
    fn cost_ms(&self, key: BackendKey, weighted_tokens: f64, criteria: &Criteria<'_>) -> f64 {
        let backend = &self.backends[key];
        let (others, other_tokens) = backend.other_routers_load(self.now);
        let queued = backend.prefill_queue.tokens_ahead_of(criteria.priority) + other_tokens;
        let prefill_ms = (weighted_tokens + queued) / self.settings.prefill_tokens_per_ms;
        let batch = f64::from(backend.in_flight) + others;
        let over = (batch - f64::from(backend.slots())).max(0.0);
        let slowness = backend.slowness.clamp(1.0, SLOWNESS_MAX);
        let is_own = criteria.own_side.contains(&key);
        let partition_ms = match criteria.side {
            Some(Side::Strict) if !is_own => LENIENT_SERVER_COST_MS,
            Some(Side::Lenient) if !is_own => STRICT_SERVER_COST_MS,
            _ => 0.0,
        };
        let permit_ms = if self.is_limited(key) { PERMIT_GAIN_MS } else { 0.0 };
        let connect_ms = if self.has_connection(key) { 0.0 } else { CONNECT_COST_MS };
        (prefill_ms + batch * BATCH_COST_MS + over * OVER_SLOTS_COST_MS) * slowness + partition_ms
            - permit_ms
            + connect_ms
    }

    /// The tokens of a prompt that a server is expected to prefill.
    pub(crate) fn uncached_tokens(
        &self,
        key: BackendKey,
        prompt: &Prompt,
        homes: &[BackendKey],
    ) -> u32 {
        if self.recent_prefixes.contains(self.now, prompt, key) {
            return prompt.tokens() - prompt.shared_tokens();
        }
        let home = homes.iter().position(|it| *it == key);
        let cached_fraction =
            home.and_then(|it| HOME_CACHED_FRACTIONS.get(it)).copied().unwrap_or(0.0);
        let cached = f64::from(prompt.shared_tokens()) * cached_fraction;
        prompt.tokens().saturating_sub(cached as u32)
    }

    /// The home servers of a prefix, on which all routers agree without communication.
    pub(crate) fn homes(&self, prompt: &Prompt, own_side: &[BackendKey]) -> Vec<BackendKey> {
        let hash = prompt.shared_hash();
        if hash == 0 {
            return Vec::new();
        }
        let members = if own_side.is_empty() { self.members } else { own_side };
        let available = members.iter().copied();
        let available = available.filter(|it| self.backends[*it].is_available(self.now));
        let mut ranked: Vec<_> = available.collect();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse(self.rendezvous(*it, hash)));
        ranked.truncate(HOME_CACHED_FRACTIONS.len());
        ranked
    }

    fn load(&self, key: BackendKey) -> f64 {
        self.backends[key].load(self.now, self.settings)
    }

    fn rendezvous(&self, key: BackendKey, prefix_hash: u64) -> u64 {
        mix(self.backends[key].name_hash ^ prefix_hash)
    }

    /// Compares two servers at random and, mostly, two of those to which a connection is kept.
    fn best_of_some(&self, candidates: &[BackendKey], rng: &mut ChaCha8Rng) -> Option<BackendKey> {
        let mut compared = sample(candidates.to_vec(), COMPARED_SERVERS, rng);
        if rng.random_ratio(1, EXPLORE_EVERY) {
            return lowest(compared, |it| self.score(it));
        }
        let kept = candidates.iter().copied().filter(|it| self.has_connection(*it)).collect();
        compared.extend(sample(kept, COMPARED_SERVERS, rng));
        lowest(compared, |it| self.score(it) + self.connect_load(it))
    }

    fn score(&self, key: BackendKey) -> f64 {
        let backend = &self.backends[key];
        self.load(key) * backend.slowness.max(1.0)
    }

    fn connect_load(&self, key: BackendKey) -> f64 {
        if self.has_connection(key) { 0.0 } else { CONNECT_LOAD }
    }

    /// Whether an idle connection to the server is kept.
    fn has_connection(&self, key: BackendKey) -> bool {
        self.backends[key].kept.has_one(self.now, &self.settings.kept_connections)
    }
}

/// Draws up to `count` servers at random.
fn sample(mut servers: Vec<BackendKey>, count: usize, rng: &mut ChaCha8Rng) -> Vec<BackendKey> {
    let draws = (0..count.min(servers.len()))
        .map(|_| servers.swap_remove(rng.random_range(0..servers.len())));
    draws.collect()
}

fn lowest(servers: Vec<BackendKey>, score: impl Fn(BackendKey) -> f64) -> Option<BackendKey> {
    servers.into_iter().min_by(|a, b| score(*a).total_cmp(&score(*b)))
}

/// Retains the candidates that satisfy `holds`, or all of them if none does.
fn retain_unless_empty(candidates: &mut Vec<BackendKey>, holds: impl Fn(BackendKey) -> bool) {
    if candidates.iter().any(|it| holds(*it)) {
        candidates.retain(|it| holds(*it));
    }
}

/// Spreads the bits of a combined hash (the finaliser of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
