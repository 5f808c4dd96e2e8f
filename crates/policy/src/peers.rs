//! Selects the routers that serve requests of this one while it cannot reach the servers of a pool.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

/// A peer that does not reach the servers of a pool either, or does not answer, is not asked again for
/// this long.
const REFUSAL_TTL: Duration = Duration::from_secs(1);
/// A peer that served a request of the pool is preferred for this long.
const PREFERENCE_TTL: Duration = Duration::from_secs(5);
/// The largest number of peers that one request asks.
const ASKED_MAX: usize = 8;

/// Where a peer is, which decides what a request that goes there costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerPlace {
    /// In the failure domain of this router.
    OwnDomain,
    /// In another failure domain.
    OtherDomain,
}

/// What a request showed about a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerAnswer {
    /// It took the request.
    Served,
    /// It cannot serve the pool, or did not answer.
    Refused,
}

/// The known peers, with what they have shown lately.
#[derive(Debug)]
pub struct Peers {
    places: BTreeMap<SocketAddr, PeerPlace>,
    /// By peer and the name of the pool.
    answers: BTreeMap<(SocketAddr, String), (PeerAnswer, Instant)>,
    rng: ChaCha8Rng,
}

impl Peers {
    /// Creates an empty list.
    #[must_use]
    pub fn new(seed: u64) -> Peers {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Peers { places: BTreeMap::new(), answers: BTreeMap::new(), rng }
    }

    /// Replaces the peers.
    pub fn replace(&mut self, peers: impl Iterator<Item = (SocketAddr, PeerPlace)>) {
        self.places = peers.collect();
        let places = &self.places;
        self.answers.retain(|(addr, _), _| places.contains_key(addr));
    }

    /// Whether there are no peers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The peers to ask for a request of the pool, in this order: first those that served the pool
    /// lately; the others by turns from the own domain and from other domains, because a whole domain may
    /// be cut off. Those that refused lately are left out.
    pub fn candidates(&mut self, now: Instant, pool: &str) -> Vec<SocketAddr> {
        let mut own = self.unrefused(now, pool, PeerPlace::OwnDomain);
        let mut other = self.unrefused(now, pool, PeerPlace::OtherDomain);
        own.shuffle(&mut self.rng);
        other.shuffle(&mut self.rng);
        let ranks = own.len().max(other.len());
        let by_turns = (0..ranks).flat_map(|idx| [own.get(idx), other.get(idx)]).flatten().copied();
        let mut candidates: Vec<_> = by_turns.collect();
        candidates.sort_by_key(|it| self.answer(now, *it, pool) != Some(PeerAnswer::Served));
        candidates.truncate(ASKED_MAX);
        candidates
    }

    /// Records what a request of the pool showed about a peer.
    pub fn record(&mut self, now: Instant, addr: SocketAddr, pool: &str, answer: PeerAnswer) {
        if self.places.contains_key(&addr) {
            self.answers.insert((addr, pool.to_owned()), (answer, now));
        }
    }

    fn unrefused(&self, now: Instant, pool: &str, place: PeerPlace) -> Vec<SocketAddr> {
        let peers = self.places.iter().filter(|it| *it.1 == place).map(|it| *it.0);
        peers.filter(|it| self.answer(now, *it, pool) != Some(PeerAnswer::Refused)).collect()
    }

    fn answer(&self, now: Instant, addr: SocketAddr, pool: &str) -> Option<PeerAnswer> {
        let (answer, at) = *self.answers.get(&(addr, pool.to_owned()))?;
        let ttl = match answer {
            PeerAnswer::Served => PREFERENCE_TTL,
            PeerAnswer::Refused => REFUSAL_TTL,
        };
        (now < at + ttl).then_some(answer)
    }
}
