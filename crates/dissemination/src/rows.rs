//! The rows that travel, kept to a few bytes each.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A router's place in the hub's list.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouterIdx(pub u16);

/// A backend server's place in the hub's list.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServerIdx(pub u16);

/// The number of a change at the hub; a router's version stands for all that it holds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Who sends a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sender {
    /// The name from the settings, until the hub has given an index.
    Name(String),
    /// The index in the hub's list.
    Idx(RouterIdx),
}

/// Which backend server a row is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerRef {
    /// Its address, until the router knows the index.
    Addr(SocketAddr),
    /// The index in the hub's list.
    Idx(ServerIdx),
}

/// What one router tells the hub.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Summary {
    /// The sender.
    pub from: Sender,
    /// The hub's life that the indexes and the version belong to; 0 for none yet.
    pub epoch: u64,
    /// The version that the router holds.
    pub held: Version,
    /// Load reports of the servers that the router owns.
    pub loads: Vec<ServerLoad>,
    /// News of the platform's list.
    pub sightings: Vec<(SocketAddr, ServerState, u64)>,
    /// Fingerprints of requests that crash servers, new or prolonged here.
    pub quarantine: Vec<QuarantineRow>,
    /// The capacity that the router could use now, by pool.
    pub demand: Vec<Demand>,
}

/// What the hub answers: all that has changed since the version held.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Digest {
    /// The hub's life.
    pub epoch: u64,
    /// The version that the receiver holds after taking this digest.
    pub version: Version,
    /// The receiver's index.
    pub you: u16,
    /// All live routers by index, if the list has changed.
    pub routers: Option<Vec<(u16, String)>>,
    /// Servers whose entry has changed.
    pub servers: Vec<ServerRow>,
    /// Loads that have changed.
    pub loads: Vec<ServerLoad>,
    /// Quarantined fingerprints that are new.
    pub quarantine: Vec<QuarantineRow>,
    /// The receiver's part of each pool.
    pub shares: Vec<Share>,
}

/// A backend server as the platform's list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerRow {
    /// The index.
    pub idx: ServerIdx,
    /// The address.
    pub addr: SocketAddr,
    /// Whether it may get new work.
    pub state: ServerState,
    /// The number that its restarts raise.
    pub incarnation: u64,
}

/// Whether a backend server may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It may.
    Live,
    /// It may not, and it does not come back in this incarnation.
    Leaving,
}

/// The load of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerRef,
    /// Its report.
    pub load: Load,
}

/// A load report in short form.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Requests in the batch.
    pub running: u16,
    /// Requests that wait at the server.
    pub waiting: u16,
    /// KV cache in use, in 64ths, which is as fine as the decisions need.
    pub kv_used_64ths: u8,
    /// Time of one step, in units of 100 µs.
    pub step_100us: u16,
}

/// A request that crashes backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineRow {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// How many crashes it is suspected of.
    pub crashes: u8,
    /// How long the entry still holds, in seconds.
    pub expires_in_s: u32,
}

/// What a router could use of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Demand {
    /// A hash of the pool's name.
    pub pool: u32,
    /// Requests in flight and waiting, weighted by urgency.
    pub weight: u32,
}

/// A router's part of a pool's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Share {
    /// A hash of the pool's name.
    pub pool: u32,
    /// The first part before this router's, in 65,536ths of the whole.
    pub start_65536ths: u32,
    /// The part, in 65,536ths of the whole.
    pub width_65536ths: u32,
}
