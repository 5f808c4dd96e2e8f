//! The rows that travel, kept to a few bytes each.

use std::net::SocketAddr;

use derive_more::Display;
use policy::QuarantineEntry;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ServerWork;

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
    /// Servers of the tables and of the platform's list, when they are new or have changed.
    #[serde(rename = "sightings")]
    pub observations: Vec<ServerObservation>,
    /// Fingerprints of requests that crash servers, new or prolonged here.
    pub quarantine: Vec<QuarantineRow>,
    /// What the router could use now, by pool.
    pub demand: Vec<Demand>,
    /// Slots that its requests hold now.
    pub held_slots: Vec<Slots>,
    /// What its requests take at each server now.
    pub work: Vec<ServerWork>,
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
    #[serde(rename = "you")]
    pub recipient_idx: u16,
    /// All live routers by index, if the list has changed.
    pub routers: Option<Vec<(u16, String)>>,
    /// Servers whose entry has changed.
    pub servers: Vec<ServerRow>,
    /// Loads that have changed.
    pub loads: Vec<ServerLoad>,
    /// Quarantined fingerprints that are new.
    pub quarantine: Vec<QuarantineRow>,
    /// The slots that the receiver may hold until the next exchange.
    pub grants: Vec<Slots>,
    /// What the requests of all others take at each server, as far as it is known.
    pub work: Vec<ServerWork>,
}

/// A hash of a pool's name, short enough to be sent every second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolHash(pub u32);

impl PoolHash {
    /// The hash of `name`.
    pub fn of(name: &str) -> PoolHash {
        PoolHash(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A backend server as a router knows it from the tables or the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerObservation {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it may get new work.
    pub state: ServerState,
    /// The number that its restarts raise.
    pub incarnation: u64,
    /// The pool that it serves.
    pub pool: PoolHash,
    /// How many requests it takes at a time.
    pub slots: u16,
}

/// A backend server as the hub knows it.
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
    /// The pool that it serves.
    pub pool: PoolHash,
    /// How many requests it takes at a time.
    pub slots: u16,
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

/// A request that crashes backend servers of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineRow {
    /// The pool.
    pub pool: PoolHash,
    /// The fingerprint with the servers that fell to it.
    pub entry: QuarantineEntry,
}

/// What a router could use of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Demand {
    /// The pool.
    pub pool: PoolHash,
    /// Requests that wait or run at the router.
    pub requests: u32,
    /// Of these, the ones of the most urgent class.
    pub urgent: u32,
}

/// Slots of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Slots {
    /// The server.
    pub server: ServerIdx,
    /// How many of its slots.
    pub count: u16,
}
