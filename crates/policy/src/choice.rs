//! Which backend server gets a request.
//!
//! The preferred server of a prefix comes from rendezvous hashing, so all routers agree on it
//! without a message. It is taken while its load stays near the pool's mean; otherwise two random
//! servers are compared. Random pairs keep routers with the same old reports from all choosing
//! the same server.

use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::{
    backend::{Backend, Health},
    keys::BackendKey,
    pace::Ceiling,
    quarantine::Isolation,
    settings::Settings,
};

const AFFINITY_SLACK: f64 = 0.05;

/// What a choice may and may not take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted<'a> {
    pub(crate) prefix_hash: u64,
    /// The servers of earlier attempts, avoided while there is another.
    pub(crate) tried: Option<BackendKey>,
    /// If set, only these servers may be taken.
    pub(crate) only: Option<&'a [BackendKey]>,
    pub(crate) isolation: Isolation,
    /// Servers on which other suspects run.
    pub(crate) suspect_hosts: &'a [BackendKey],
    /// A straggler is taken only while its gap between tokens is below this.
    pub(crate) gap_limit_ms: f64,
    pub(crate) ceiling: Ceiling,
}

pub(crate) struct Choice<'a> {
    pub(crate) backends: &'a SlotMap<BackendKey, Backend>,
    pub(crate) members: &'a [BackendKey],
    pub(crate) settings: &'a Settings,
    pub(crate) now: Instant,
}

impl Choice<'_> {
    /// The server with a free slot that suits best, if there is one.
    pub(crate) fn pick(&self, wanted: &Wanted<'_>, rng: &mut ChaCha8Rng) -> Option<BackendKey> {
        let mut candidates = self.free(wanted);
        retain_some(&mut candidates, |it| Some(it) != wanted.tried);
        retain_some(&mut candidates, |it| self.backends[it].health == Health::Up);
        retain_some(&mut candidates, |it| !self.is_slow(it));
        if wanted.isolation == Isolation::Preferred {
            retain_some(&mut candidates, |it| !wanted.suspect_hosts.contains(&it));
        }
        self.preferred(&candidates, wanted.prefix_hash)
            .or_else(|| self.better_of_two(&candidates, rng))
    }

    /// Whether the request may run on the server, if a slot there is free.
    pub(crate) fn admits(&self, key: BackendKey, wanted: &Wanted<'_>) -> bool {
        let backend = &self.backends[key];
        let is_apart =
            wanted.isolation != Isolation::Required || !wanted.suspect_hosts.contains(&key);
        let is_fast =
            !self.is_slow(key) || backend.gap_ms.value().is_none_or(|it| it <= wanted.gap_limit_ms);
        is_apart && is_fast && wanted.only.is_none_or(|it| it.contains(&key))
    }

    /// Whether a slot that another stream gives up there can be used at once.
    ///
    /// That the server is over a limit which has shrunk does not matter: the sum stays the same.
    pub(crate) fn is_good_host(&self, key: BackendKey) -> bool {
        let backend = &self.backends[key];
        backend.health == Health::Up && !self.is_slow(key)
    }

    fn free(&self, wanted: &Wanted<'_>) -> Vec<BackendKey> {
        let members = self.members.iter().copied();
        let open = members.filter(|it| {
            self.backends[*it].free_within(self.now, self.settings, wanted.ceiling) > 0
        });
        open.filter(|it| self.admits(*it, wanted)).collect()
    }

    fn is_slow(&self, key: BackendKey) -> bool {
        self.backends[key].is_straggler(self.settings)
    }

    /// The first of the prefix's homes that is free and not much busier than the others. Several
    /// homes keep a hot prefix in a few caches instead of in all.
    fn preferred(&self, candidates: &[BackendKey], prefix_hash: u64) -> Option<BackendKey> {
        if prefix_hash == 0 || candidates.is_empty() {
            return None;
        }
        let sum: f64 = candidates.iter().map(|it| self.load(*it)).sum();
        let mean = sum / candidates.len() as f64;
        let bound = mean * self.settings.affinity_bound + AFFINITY_SLACK;
        let is_fit = |it: &BackendKey| candidates.contains(it) && self.load(*it) <= bound;
        self.homes(prefix_hash).into_iter().find(is_fit)
    }

    fn homes(&self, prefix_hash: u64) -> Vec<BackendKey> {
        let members = self.members.iter().copied();
        let mut ranked: Vec<_> = members.filter(|it| self.backends[*it].is_usable()).collect();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse(self.rendezvous(*it, prefix_hash)));
        ranked.truncate(self.settings.prefix_homes);
        ranked
    }

    fn load(&self, key: BackendKey) -> f64 {
        self.backends[key].load(self.now, self.settings)
    }

    fn rendezvous(&self, key: BackendKey, prefix_hash: u64) -> u64 {
        mix(self.backends[key].name_hash ^ prefix_hash)
    }

    fn better_of_two(&self, candidates: &[BackendKey], rng: &mut ChaCha8Rng) -> Option<BackendKey> {
        if candidates.len() < 2 {
            return candidates.first().copied();
        }
        let first = rng.random_range(0..candidates.len());
        let step = rng.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let (a, b) = (candidates[first], candidates[second]);
        Some(if self.score(a) <= self.score(b) { a } else { b })
    }

    fn score(&self, key: BackendKey) -> f64 {
        let backend = &self.backends[key];
        self.load(key) * backend.slowness.max(1.0)
    }
}

/// Drops what does not hold, unless nothing would be left.
fn retain_some(candidates: &mut Vec<BackendKey>, holds: impl Fn(BackendKey) -> bool) {
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
