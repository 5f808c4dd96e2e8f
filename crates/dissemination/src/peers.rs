//! The routers that serve requests of other routers, as told through the hubs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The largest number of its routers that a hub names to the other hubs: a router needs a few peers in
/// other failure domains, not all of them.
const NAMED_PEERS_MAX: usize = 8;
/// A hub's routers are forgotten if it has not repeated them for this long; it repeats them every 2 s.
const HUB_PEERS_TTL: Duration = Duration::from_secs(20);

/// A hash of a failure domain's name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DomainHash(pub u32);

impl DomainHash {
    /// The hash of `name`.
    pub fn of(name: &str) -> DomainHash {
        DomainHash(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A router that serves requests of other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Peer {
    /// The address of its listener for other routers.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainHash,
}

/// The peers that a hub knows through the other hubs.
#[derive(Debug, Default)]
pub(crate) struct HubPeers {
    hubs: BTreeMap<u64, (Vec<Peer>, Instant)>,
}

impl HubPeers {
    /// Replaces the peers that another hub names; returns whether they differ.
    pub(crate) fn update(&mut self, now: Instant, hub: u64, peers: Vec<Peer>) -> bool {
        let known = self.hubs.insert(hub, (peers.clone(), now));
        known.is_none_or(|(known, _)| known != peers)
    }

    /// Forgets hubs that are silent; returns whether there was one.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let before = self.hubs.len();
        self.hubs.retain(|_, (_, at)| now.saturating_duration_since(*at) < HUB_PEERS_TTL);
        self.hubs.len() != before
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Peer> {
        self.hubs.values().flat_map(|(peers, _)| peers.iter().copied())
    }
}

/// The peers that a hub names to the other hubs: some of each failure domain, so that no domain is left
/// out.
pub(crate) fn to_name(peers: impl Iterator<Item = Peer>) -> Vec<Peer> {
    let mut by_domain: BTreeMap<DomainHash, Vec<Peer>> = BTreeMap::new();
    peers.for_each(|it| by_domain.entry(it.domain).or_default().push(it));
    let ranks = by_domain.values().map(Vec::len).max().unwrap_or_default();
    let by_rank = (0..ranks).flat_map(|rank| by_domain.values().filter_map(move |it| it.get(rank)));
    by_rank.copied().take(NAMED_PEERS_MAX).collect()
}
