//! Selects the backend server for a request.
//!
//! The affinity server of a prefix follows from rendezvous hashing, so all routers agree on it
//! without communication. It is used while its load stays near the pool's mean; otherwise the less
//! loaded of two random servers is used. Random pairs keep routers that hold the same outdated load
//! reports from all selecting the same server.

mod cost;

use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::{
    backend::{Backend, Health},
    hash::mix,
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
    /// The target of the request's class for the time to the first token.
    pub(crate) first_token_target_ms: f64,
    pub(crate) ceiling: Ceiling,
}

/// Selects among the servers of one pool at one moment.
pub(crate) struct Selector<'a> {
    pub(crate) backends: &'a SlotMap<BackendKey, Backend>,
    pub(crate) members: &'a [BackendKey],
    pub(crate) settings: &'a Settings,
    pub(crate) recent_prefixes: &'a RecentPrefixes,
    /// `None` if the servers of the pool do not state how slow they are.
    pub(crate) pool_speed: Option<PoolSpeed>,
    pub(crate) now: Instant,
}

/// What the router has measured of the speed of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSpeed {
    /// Prompt tokens that a server reads in a millisecond when work takes as long as usual.
    pub(crate) prefill_tokens_per_ms: f64,
    /// The median time between two tokens of a stream.
    pub(crate) gap_ms: Option<f64>,
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
        let sum: f64 = candidates.iter().map(|it| self.weighted_load(*it)).sum();
        let mean = sum / candidates.len() as f64;
        let bound = mean * self.settings.affinity_bound + AFFINITY_LOAD_SLACK;
        (self.weighted_load(key) <= bound).then_some(key)
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
        let mut candidates = candidates.to_vec();
        self.retain_in_time(&mut candidates, criteria, prompt, &homes);
        let candidates = self.compared(&candidates, prompt, &homes, criteria.own_side, rng);
        let weight = self.prefill_weight();
        let cost = |it: &BackendKey| {
            let tokens = f64::from(self.uncached_tokens(*it, prompt, &homes));
            (*it, self.cost_ms(*it, tokens, weight, criteria))
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
