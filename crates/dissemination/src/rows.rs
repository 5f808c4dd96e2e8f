//! The rows exchanged between routers and hub, kept to a few bytes each.

use std::net::SocketAddr;

use derive_more::Display;
use duties::UsageRows;
use policy::{
    LimitEntry, MeasuredPauses, PartEntry, PermitGrant, PermitRequest, QuarantineEntry, VersionHash,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{BegunStreams, Peer, ServerWork, StreamHash};

/// The index of a router at the hub.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouterIdx(pub u16);

/// The index of a backend server at the hub.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServerIdx(pub u16);

/// The number of an exchange at the hub; a router's version covers all the state that it holds.
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

/// The sender of a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sender {
    /// The name from the settings, until the hub has assigned an index.
    Name(String),
    /// The index at the hub.
    Idx(RouterIdx),
}

/// A reference to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerRef {
    /// The address, until the router knows the index.
    Addr(SocketAddr),
    /// The index at the hub.
    Idx(ServerIdx),
}

/// The message from a router to the hub.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Summary {
    /// The sender.
    pub from: Sender,
    /// The epoch of the hub to which the indexes and the version belong; 0 before the first digest.
    pub epoch: u64,
    /// The version that the router holds.
    pub held: Version,
    /// Load reports of the servers that the router owns.
    pub loads: Vec<ServerLoad>,
    /// Servers of the tables and of the platform's list that are new or have changed.
    #[serde(rename = "sightings")]
    pub observations: Vec<ServerObservation>,
    /// Suspects of crashes that are new, have new crash sites or have been cleared at this router.
    pub quarantine: Vec<QuarantineRow>,
    /// Parts of prompts that may crash servers and have changed at this router.
    pub parts: Vec<PartRow>,
    /// The current demand by pool.
    pub demand: Vec<Demand>,
    /// The slots that requests of the router hold now.
    pub held_slots: Vec<Slots>,
    /// The pending work of the router's requests at each server.
    pub work: Vec<ServerWork>,
    /// Rate limits of servers that are new or have changed at this router.
    pub limits: Vec<LimitEntry>,
    /// The permits that the router asks for, for requests to servers with rate limits.
    pub permit_requests: Vec<PermitRequest>,
    /// The streams that have begun at this router.
    pub begun_streams: Vec<BegunStreams>,
    /// The streams whose software version the router needs to know.
    pub stream_lookups: Vec<StreamHash>,
    /// The router as a peer of others, if it serves their requests; sent until the hub has assigned an
    /// index.
    pub peer: Option<Peer>,
    /// The level of the router's forms, sent as often as `peer`.
    #[serde(skip)]
    pub level: Option<u16>,
    /// The servers that the router has found down.
    #[serde(skip)]
    pub down: Vec<ServerRef>,
    /// The pauses that the router has measured.
    #[serde(skip)]
    pub pauses: Vec<PauseRow>,
    /// The counts of begun requests that have changed, where usage is metered.
    #[serde(skip)]
    pub usage: Option<UsageRows>,
}

/// The hub's reply to a summary: everything that has changed since the version held.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Digest {
    /// The epoch of the hub.
    pub epoch: u64,
    /// The version that the recipient holds after applying this digest.
    pub version: Version,
    /// The index of the recipient; `u16::MAX` if the hub does not list it.
    #[serde(rename = "you")]
    pub recipient_idx: u16,
    /// All live routers with their indexes, if the list has changed.
    pub routers: Option<Vec<(u16, String)>>,
    /// The routers that serve requests of others, if the list has changed.
    pub peers: Option<Vec<Peer>>,
    /// Servers whose entry has changed.
    pub servers: Vec<ServerRow>,
    /// Loads that have changed.
    pub loads: Vec<ServerLoad>,
    /// Requests that are to be refused and are new or have new crash sites.
    pub quarantine: Vec<QuarantineRow>,
    /// Parts of prompts that are refused, no longer refused, or suspects on which the hub needs to
    /// know the answers, as far as they have changed.
    pub parts: Vec<PartRow>,
    /// The slots that the recipient may hold until the next exchange.
    pub grants: Vec<Slots>,
    /// The pending work of all other routers at each server, as far as the hub knows it.
    pub work: Vec<ServerWork>,
    /// Rate limits of servers that have changed.
    pub limits: Vec<LimitEntry>,
    /// The permits for requests to servers with rate limits.
    pub permits: Vec<PermitGrant>,
    /// The streams that were looked up and are known.
    pub found_streams: Vec<BegunStreams>,
    /// The servers that several routers have found down.
    #[serde(skip)]
    pub down: Vec<ServerIdx>,
    /// The pauses that all routers have measured; empty unless the summary has some.
    #[serde(skip)]
    pub pauses: Vec<PauseRow>,
    /// The pools that have had a single software version for longer than streams last; empty unless the
    /// hub does not know a stream that was looked up.
    #[serde(skip)]
    pub sole_versions: Vec<SoleVersion>,
}

/// The only software version that the servers of a pool have had for longer than streams last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SoleVersion {
    /// The pool.
    pub pool: PoolHash,
    /// The version.
    pub version: VersionHash,
}

/// The pauses that routers have measured in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PauseRow {
    /// The pool.
    pub pool: PoolHash,
    /// The pauses.
    pub pauses: MeasuredPauses,
}

/// A hash of a pool's name, sent in place of the name because rows are sent every second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolHash(pub u32);

impl PoolHash {
    /// The hash of `name`.
    pub fn of(name: &str) -> PoolHash {
        PoolHash(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A backend server as a router observes it in the tables or the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerObservation {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it may get new work.
    pub state: ServerState,
    /// The incarnation number, which increases with each restart.
    pub incarnation: u64,
    /// The pool that it serves.
    pub pool: PoolHash,
    /// The maximum number of concurrent requests.
    pub slots: u16,
}

/// The entry of a backend server at the hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerRow {
    /// The index.
    pub idx: ServerIdx,
    /// The address.
    pub addr: SocketAddr,
    /// Whether it may get new work.
    pub state: ServerState,
    /// The incarnation number, which increases with each restart.
    pub incarnation: u64,
    /// The pool that it serves.
    pub pool: PoolHash,
    /// The maximum number of concurrent requests.
    pub slots: u16,
}

/// Whether a backend server may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// The server may get new work.
    Live,
    /// The server gets no new work, and does not return in this incarnation.
    Leaving,
}

/// The load of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerRef,
    /// The load.
    pub load: Load,
}

/// A load report in compact form.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Requests in the current batch.
    pub running: u16,
    /// Requests queued at the server.
    pub waiting: u16,
    /// KV cache in use, in 64ths; the scheduling decisions need no finer resolution.
    pub kv_used_64ths: u8,
    /// Duration of one step, in units of 100 µs.
    pub step_100us: u16,
}

/// A request that ran on servers of a pool that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineRow {
    /// The pool.
    pub pool: PoolHash,
    /// The request fingerprint with the servers that it crashed.
    pub entry: QuarantineEntry,
}

/// A part of prompts that may crash servers of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PartRow {
    /// The pool.
    pub pool: PoolHash,
    /// The part with the crashes that it may have caused.
    pub entry: PartEntry,
}

/// What is known of requests and parts of prompts that may crash servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CrashRows {
    /// The requests.
    pub requests: Vec<QuarantineRow>,
    /// The parts of prompts.
    pub parts: Vec<PartRow>,
}

impl CrashRows {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }
}

/// What a hub tells the other hubs as soon as it learns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HubNews {
    /// Causes of crashes.
    pub crashes: CrashRows,
    /// Rate limits of servers.
    pub limits: Vec<LimitEntry>,
}

impl HubNews {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.limits.is_empty()
    }
}

/// A router's demand for a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Demand {
    /// The pool.
    pub pool: PoolHash,
    /// Requests that are queued or in flight at the router.
    pub requests: u32,
    /// Those of them that belong to the most urgent class.
    pub urgent: u32,
}

/// Slots of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Slots {
    /// The server.
    pub server: ServerIdx,
    /// The number of slots.
    pub count: u16,
}
