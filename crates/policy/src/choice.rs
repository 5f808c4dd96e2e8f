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
    partition::Side,
    prompt::{Prompt, SentParts},
    quarantine::Isolation,
    settings::Settings,
};

const AFFINITY_SLACK: f64 = 0.05;
/// How much of a shared prefix its first and second home are believed to keep; all routers send
/// there.
const HOME_BELIEFS: [f64; 2] = [1.0, 0.2];
/// How much a token that has to be read weighs against one that waits to be read, in an idle pool
/// and in a full one: it delays what runs and what comes after, and in a full pool all others.
const REREAD_WEIGHTS: [f64; 2] = [5.0, 80.0];
/// What one more running request costs all streams of an engine together, at 0.1 ms a step.
const BATCH_MS: f64 = 8.0;
/// What one more request beyond the slots costs.
const OVER_SLOTS_MS: f64 = 100.0;
/// A pool with half of its slots in use is taken to be full: prompts wait by then.
const FULL_PART: f64 = 0.5;
/// What a server of the other side costs a strict stream, and what it costs the others: a long
/// prompt among chats stops them all.
const LENIENT_SIDE_MS: f64 = 80.0;
const STRICT_SIDE_MS: f64 = 3_000.0;
/// The gaps between tokens differ by what runs, so slowness counts to this factor only.
const SLOWNESS_MAX: f64 = 1.5;

/// What a choice may and may not take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted<'a> {
    pub(crate) prefix_hash: u64,
    /// The prompt in parts, where it is known.
    pub(crate) prompt: Option<&'a Prompt>,
    /// The urgency of the request; a higher number is more urgent.
    pub(crate) priority: u8,
    /// The engines of the request's side; empty if the pool is not divided.
    pub(crate) own_side: &'a [BackendKey],
    /// The request's side, if the pool is divided.
    pub(crate) side: Option<Side>,
    /// The servers of earlier attempts, the last one at the end, avoided while there is another.
    pub(crate) tried: &'a [BackendKey],
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
    pub(crate) sent: &'a SentParts,
    pub(crate) now: Instant,
}

impl Choice<'_> {
    /// The server with a free slot that suits best, if there is one.
    pub(crate) fn pick(&self, wanted: &Wanted<'_>, rng: &mut ChaCha8Rng) -> Option<BackendKey> {
        let mut candidates = self.free(wanted);
        retain_some(&mut candidates, |it| !wanted.tried.contains(&it));
        retain_some(&mut candidates, |it| Some(&it) != wanted.tried.last());
        retain_some(&mut candidates, |it| self.backends[it].health == Health::Up);
        retain_some(&mut candidates, |it| !self.is_slow(it));
        if wanted.isolation == Isolation::Preferred {
            retain_some(&mut candidates, |it| !wanted.suspect_hosts.contains(&it));
        }
        self.soonest(&candidates, wanted)
            .or_else(|| self.preferred(&candidates, wanted.prefix_hash))
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

    fn preferred(&self, candidates: &[BackendKey], prefix_hash: u64) -> Option<BackendKey> {
        if prefix_hash == 0 || candidates.is_empty() {
            return None;
        }
        let key = *self.members.iter().max_by_key(|it| self.rendezvous(**it, prefix_hash))?;
        if !candidates.contains(&key) {
            return None;
        }
        let sum: f64 = candidates.iter().map(|it| self.load(*it)).sum();
        let mean = sum / candidates.len() as f64;
        let bound = mean * self.settings.affinity_bound + AFFINITY_SLACK;
        (self.load(key) <= bound).then_some(key)
    }

    /// The server where the first token of a prompt is expected soonest, with what reading it
    /// anew would cost all others there.
    ///
    /// What is cached decides more than the queue: reading a long shared part anew takes longer
    /// than waiting behind several requests at the server that keeps it, and takes the room of
    /// another part in the cache.
    fn soonest(&self, candidates: &[BackendKey], wanted: &Wanted<'_>) -> Option<BackendKey> {
        let prompt = wanted.prompt?;
        let homes = self.homes(prompt, wanted.own_side);
        let weight = self.reread_weight();
        let cost = |it: &BackendKey| {
            let unread = f64::from(self.unread_tokens(*it, prompt, &homes)) * weight;
            (*it, self.cost_ms(*it, unread, wanted))
        };
        let costs = candidates.iter().map(cost);
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|it| it.0)
    }

    /// What a token to be read weighs, by the part of the pool's slots that is in use.
    fn reread_weight(&self) -> f64 {
        let usable = self.members.iter().map(|it| &self.backends[*it]).filter(|it| it.is_usable());
        let (mut used, mut slots) = (0.0, 0.0);
        for backend in usable {
            used += f64::from(backend.in_flight) + backend.others_there(self.now).0;
            slots += f64::from(backend.slots());
        }
        let part = (used / f64::max(slots * FULL_PART, 1.0)).min(1.0);
        let [idle, full] = REREAD_WEIGHTS;
        idle + (full - idle) * part * part
    }

    /// The cost of a prompt whose weighted tokens to be read are `unread`.
    fn cost_ms(&self, key: BackendKey, unread: f64, wanted: &Wanted<'_>) -> f64 {
        let backend = &self.backends[key];
        let (others, others_unread) = backend.others_there(self.now);
        let queued = backend.unread.ahead_of(wanted.priority) + others_unread;
        let reading_ms = (unread + queued) / self.settings.prefill_tokens_per_ms;
        let batch = f64::from(backend.in_flight) + others;
        let over = (batch - f64::from(backend.slots())).max(0.0);
        let slowness = backend.slowness.clamp(1.0, SLOWNESS_MAX);
        let is_own = wanted.own_side.contains(&key);
        let side_ms = match wanted.side {
            Some(Side::Strict) if !is_own => LENIENT_SIDE_MS,
            Some(Side::Lenient) if !is_own => STRICT_SIDE_MS,
            _ => 0.0,
        };
        (reading_ms + batch * BATCH_MS + over * OVER_SLOTS_MS) * slowness + side_ms
    }

    /// The tokens of a prompt that a server is taken to read.
    pub(crate) fn unread_tokens(
        &self,
        key: BackendKey,
        prompt: &Prompt,
        homes: &[BackendKey],
    ) -> u32 {
        if self.sent.has(self.now, prompt, key) {
            return prompt.tokens() - prompt.shared_tokens();
        }
        let home = homes.iter().position(|it| *it == key);
        let belief = home.and_then(|it| HOME_BELIEFS.get(it)).copied().unwrap_or(0.0);
        let kept = f64::from(prompt.shared_tokens()) * belief;
        prompt.tokens().saturating_sub(kept as u32)
    }

    /// The servers at which routers that know nothing of one another meet for a prefix.
    pub(crate) fn homes(&self, prompt: &Prompt, own_side: &[BackendKey]) -> Vec<BackendKey> {
        let hash = prompt.shared_hash();
        if hash == 0 {
            return Vec::new();
        }
        let members = if own_side.is_empty() { self.members } else { own_side };
        let usable = members.iter().copied().filter(|it| self.backends[*it].is_usable());
        let mut ranked: Vec<_> = usable.collect();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse(self.rendezvous(*it, hash)));
        ranked.truncate(HOME_BELIEFS.len());
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
