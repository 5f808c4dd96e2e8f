//! The hub on a control VM, which merges the summaries of the routers and returns the changes.

mod sums;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use policy::{MeasuredPauses, PendingWork, PermitGrant};

use crate::{
    BegunStreams, CrashRows, Digest, HubNews, Load, Peer, PoolHash, RouterIdx, Sender, ServerIdx,
    ServerLoad, ServerObservation, ServerRef, ServerRow, ServerState, SoleVersion, StreamHash,
    StreamLog, Summary, Version,
    grants::{self, Allocation},
    limits::Limits,
    parts::Parts,
    peers::{self, HubPeers},
    permits::{HubPermitRequest, HubPermits},
    reports::LatestReports,
    suspects::Suspects,
};

/// Time for which a report of servers that are down counts: routers and hubs send several within it.
const DOWN_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a report of pauses counts: routers and hubs send one every two seconds.
const PAUSES_TTL: Duration = Duration::from_secs(10);

/// Settings of a hub.
#[derive(Debug, Clone)]
pub struct HubSettings {
    /// The id of this run of the hub; each start uses another one, never 0.
    pub epoch: u64,
    /// A router that sends no summary for this long expires.
    ///
    /// Its grants then go to other routers, so a router must stop using a grant that has not been
    /// renewed before this time.
    pub router_timeout: Duration,
}

impl Default for HubSettings {
    fn default() -> Self {
        HubSettings { epoch: 1, router_timeout: Duration::from_secs(8) }
    }
}

/// The state shared by the routers of one failure domain.
#[derive(Debug)]
pub struct Hub {
    settings: HubSettings,
    version: Version,
    routers: BTreeMap<RouterIdx, Router>,
    allocations: BTreeMap<RouterIdx, Allocation>,
    routers_version: Version,
    next_router: u16,
    peers_of_hubs: HubPeers,
    peers_version: Version,
    servers: Vec<Server>,
    by_addr: BTreeMap<SocketAddr, ServerIdx>,
    suspects: Suspects,
    parts: Parts,
    /// The pending work of the routers and of the other hubs at each server.
    work: LatestReports<RouterIdx, ServerIdx, PendingWork>,
    work_of_hubs: LatestReports<u64, SocketAddr, PendingWork>,
    /// How many routers, and how many of those of the other hubs, have found each server down.
    down: LatestReports<RouterIdx, ServerIdx, u32>,
    down_of_hubs: LatestReports<u64, SocketAddr, u32>,
    /// The pauses that the routers and those of the other hubs have measured in each pool.
    pauses: LatestReports<RouterIdx, PoolHash, MeasuredPauses>,
    pauses_of_hubs: LatestReports<u64, PoolHash, MeasuredPauses>,
    limits: Limits,
    permits: HubPermits,
    streams: StreamLog,
    sole_versions: Vec<SoleVersion>,
    /// The streams that began at this hub's routers and that the other hubs do not know yet.
    new_streams: Vec<BegunStreams>,
}

#[derive(Debug)]
struct Router {
    name: String,
    peer: Option<Peer>,
    /// The level of its forms; 0 if its build does not tell it.
    level: u16,
    last_summary: Instant,
}

#[derive(Debug)]
struct Server {
    row: ServerRow,
    row_version: Version,
    load: Load,
    load_version: Version,
}

impl Hub {
    /// Creates a hub without routers and servers.
    pub fn new(settings: HubSettings) -> Hub {
        Hub {
            settings,
            version: Version(0),
            routers: BTreeMap::new(),
            allocations: BTreeMap::new(),
            routers_version: Version(0),
            next_router: 0,
            peers_of_hubs: HubPeers::default(),
            peers_version: Version(0),
            servers: Vec::new(),
            by_addr: BTreeMap::new(),
            suspects: Suspects::default(),
            parts: Parts::default(),
            work: LatestReports::new(PendingWork::TTL),
            work_of_hubs: LatestReports::new(PendingWork::TTL),
            down: LatestReports::new(DOWN_TTL),
            down_of_hubs: LatestReports::new(DOWN_TTL),
            pauses: LatestReports::new(PAUSES_TTL),
            pauses_of_hubs: LatestReports::new(PAUSES_TTL),
            limits: Limits::default(),
            permits: HubPermits::default(),
            streams: StreamLog::default(),
            sole_versions: Vec::new(),
            new_streams: Vec::new(),
        }
    }

    /// Merges a router's summary and returns everything that has changed for this router.
    pub fn exchange(&mut self, now: Instant, summary: Summary) -> Digest {
        self.version = Version(self.version.0 + 1);
        self.expire(now);
        let is_current = summary.epoch == self.settings.epoch;
        let held = if is_current { summary.held } else { Version(0) };
        let router = self.find_or_add_router(now, summary.from, is_current);
        self.record_peer(router, summary.peer);
        self.record_level(router, summary.level);
        for observation in summary.observations {
            self.merge_observation(router, observation);
        }
        for load in summary.loads {
            self.merge_load(load, is_current);
        }
        for row in summary.quarantine {
            self.suspects.merge_from_router(now, self.version, row);
        }
        for row in &summary.parts {
            self.parts.merge_from_router(now, self.version, row);
        }
        for entry in &summary.limits {
            self.limits.merge_from_router(now, self.version, entry);
        }
        let limits = &self.limits;
        let rate = |server| limits.rate(server);
        self.permits.update(now, router, &summary.permit_requests, rate);
        self.record_streams(now, &summary.begun_streams);
        self.new_streams.extend(summary.begun_streams);
        self.decide(now);
        if let Some(allocation) = self.allocations.get_mut(&router) {
            // Indexes from another epoch refer to other servers.
            let held_slots = if is_current { summary.held_slots } else { Vec::new() };
            allocation.update(summary.demand, held_slots);
        }
        let work = summary.work.into_iter();
        let work =
            work.filter_map(|it| Some((self.resolve_server(it.server, is_current)?, it.work)));
        let work = work.collect();
        self.work.update(now, router, work);
        let down = summary.down.into_iter().filter_map(|it| self.resolve_server(it, is_current));
        let down = down.map(|it| (it, 1)).collect();
        self.down.update(now, router, down);
        let found_streams = self.find_streams(now, &summary.stream_lookups);
        let down = self.down_servers(now);
        let pauses = self.exchange_pauses(now, router, &summary.pauses);
        let found: usize = found_streams.iter().map(|it| it.streams.len()).sum();
        let is_any_unknown = found < summary.stream_lookups.len();
        let sole_versions = if is_any_unknown { self.sole_versions.clone() } else { Vec::new() };
        Digest { found_streams, down, pauses, sole_versions, ..self.digest(now, router, held) }
    }

    /// The suspects and rate limits that have changed through this hub's routers since the last call,
    /// for the other hubs.
    pub fn take_news(&mut self, now: Instant) -> HubNews {
        let (requests, parts) = (self.suspects.take_new(now), self.parts.take_new(now));
        HubNews { crashes: CrashRows { requests, parts }, limits: self.limits.take_new(now) }
    }

    /// The latest quarantined requests, refused parts and rate limits, for other hubs that have missed
    /// a change.
    pub fn repeated_news(&mut self, now: Instant) -> HubNews {
        self.version = Version(self.version.0 + 1);
        self.decide(now);
        let (requests, parts) = (self.suspects.quarantined(now), self.parts.refused(now));
        HubNews { crashes: CrashRows { requests, parts }, limits: self.limits.latest(now) }
    }

    /// Merges the news of another hub.
    pub fn merge_news(&mut self, now: Instant, news: HubNews) {
        self.version = Version(self.version.0 + 1);
        for row in news.crashes.requests {
            self.suspects.merge(now, self.version, row);
        }
        for row in &news.crashes.parts {
            self.parts.merge(now, self.version, row);
        }
        for entry in &news.limits {
            self.limits.merge_from_hub(now, self.version, entry);
        }
        self.decide(now);
    }

    /// The routers of this hub that serve requests of others, for the other hubs.
    pub fn own_peers(&self) -> Vec<Peer> {
        peers::to_name(self.routers.values().filter_map(|it| it.peer))
    }

    /// Replaces the routers that another hub names.
    pub fn update_hub_peers(&mut self, now: Instant, hub: u64, peers: Vec<Peer>) {
        if self.peers_of_hubs.update(now, hub, peers) {
            self.version = Version(self.version.0 + 1);
            self.peers_version = self.version;
        }
    }

    fn record_peer(&mut self, router: RouterIdx, peer: Option<Peer>) {
        let Some(router) = self.routers.get_mut(&router) else { return };
        if peer.is_some() && router.peer != peer {
            router.peer = peer;
            self.peers_version = self.version;
        }
    }

    fn record_level(&mut self, router: RouterIdx, level: Option<u16>) {
        let (Some(router), Some(level)) = (self.routers.get_mut(&router), level) else { return };
        router.level = level;
    }

    /// The permits to ask the leader for, on behalf of this hub's routers.
    pub fn permit_requests(&mut self, now: Instant) -> Vec<HubPermitRequest> {
        let limits = &self.limits;
        self.permits.requests(now, |server| limits.rate(server))
    }

    /// Applies the leader's answer to the requests for permits.
    pub fn permits_granted(&mut self, now: Instant, grants: &[PermitGrant]) {
        self.permits.granted(now, grants);
    }

    /// The streams that began at this hub's routers since the last call, for the other hubs.
    pub fn take_new_streams(&mut self) -> Vec<BegunStreams> {
        std::mem::take(&mut self.new_streams)
    }

    /// Sets the pools that have had a single software version for longer than streams last.
    pub fn set_sole_versions(&mut self, sole_versions: Vec<SoleVersion>) {
        self.sole_versions = sole_versions;
    }

    /// Records streams that began at routers of this or another hub.
    pub fn record_streams(&mut self, now: Instant, begun: &[BegunStreams]) {
        for group in begun {
            group.streams.iter().for_each(|it| self.streams.record(now, *it, group.version));
        }
    }

    /// The number of the last stream that was recorded.
    pub fn last_stream(&self) -> u64 {
        self.streams.last_record()
    }

    /// The streams that were recorded after the one with the number `known`.
    pub fn streams_since(&self, known: u64) -> Vec<BegunStreams> {
        self.streams.since(known)
    }

    fn find_streams(&self, now: Instant, streams: &[StreamHash]) -> Vec<BegunStreams> {
        let found = streams.iter().filter_map(|it| Some((*it, self.streams.version(now, *it)?)));
        BegunStreams::group(found)
    }

    fn decide(&mut self, now: Instant) {
        self.suspects.decide(now, self.version);
        self.parts.decide(now, self.version);
    }

    /// The names of the live routers.
    pub fn routers(&self) -> impl Iterator<Item = &str> {
        self.routers.values().map(|it| it.name.as_str())
    }

    /// How many live routers have each level of forms.
    pub fn router_levels(&self) -> BTreeMap<u16, usize> {
        let mut levels = BTreeMap::new();
        self.routers.values().for_each(|it| *levels.entry(it.level).or_default() += 1);
        levels
    }

    /// The known servers with their loads.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerRow, &Load)> {
        self.servers.iter().map(|it| (&it.row, &it.load))
    }

    /// Removes the routers and quarantine entries that have expired.
    fn expire(&mut self, now: Instant) {
        let timeout = self.settings.router_timeout;
        let before = self.routers.len();
        self.routers.retain(|_, it| now.saturating_duration_since(it.last_summary) < timeout);
        if self.routers.len() != before {
            let routers = &self.routers;
            self.allocations.retain(|idx, _| routers.contains_key(idx));
            self.routers_version = self.version;
            self.peers_version = self.version;
        }
        if self.peers_of_hubs.expire(now) {
            self.peers_version = self.version;
        }
        self.suspects.expire(now);
    }

    /// The index of the sender of a summary; a router with a new name is added.
    fn find_or_add_router(&mut self, now: Instant, from: Sender, is_current: bool) -> RouterIdx {
        let known = match &from {
            Sender::Idx(idx) if is_current && self.routers.contains_key(idx) => Some(*idx),
            Sender::Idx(_) => None,
            Sender::Name(name) => {
                self.routers.iter().find(|(_, it)| it.name == *name).map(|(idx, _)| *idx)
            }
        };
        if let Some(router) = known.and_then(|idx| self.routers.get_mut(&idx)) {
            router.last_summary = now;
        }
        known.unwrap_or_else(|| self.add_router(now, from))
    }

    /// Adds a router by its name. A router that still sends an expired index gets `u16::MAX`, so
    /// that it sends its name in the next summary.
    fn add_router(&mut self, now: Instant, from: Sender) -> RouterIdx {
        let Sender::Name(name) = from else { return RouterIdx(u16::MAX) };
        let idx = RouterIdx(self.next_router);
        self.next_router += 1;
        self.routers.insert(idx, Router { name, peer: None, level: 0, last_summary: now });
        self.allocations.insert(idx, Allocation::default());
        self.routers_version = self.version;
        idx
    }

    /// Merges what a router reports about a server. A leaving server stays leaving until a newer
    /// incarnation of it is reported.
    fn merge_observation(&mut self, from: RouterIdx, observation: ServerObservation) {
        let idx = self.find_or_add_server(observation.addr);
        if let Some(allocation) = self.allocations.get_mut(&from) {
            allocation.add_server(idx);
        }
        let version = self.version;
        let server = &mut self.servers[idx.0 as usize];
        let mut row = ServerRow { pool: observation.pool, slots: observation.slots, ..server.row };
        let is_newer = observation.incarnation > row.incarnation;
        let is_worse = observation.incarnation == row.incarnation && observation.state > row.state;
        if is_newer || is_worse {
            row =
                ServerRow { state: observation.state, incarnation: observation.incarnation, ..row };
        }
        if row != server.row {
            server.row = row;
            server.row_version = version;
        }
    }

    /// The index of a server that a router refers to; an index from another epoch is ignored,
    /// because it refers to another server.
    fn resolve_server(&mut self, server: ServerRef, is_current: bool) -> Option<ServerIdx> {
        match server {
            ServerRef::Addr(addr) => Some(self.find_or_add_server(addr)),
            ServerRef::Idx(idx) if is_current && usize::from(idx.0) < self.servers.len() => {
                Some(idx)
            }
            ServerRef::Idx(_) => None,
        }
    }

    /// Replaces the load of a server; its version changes only if the load differs.
    fn merge_load(&mut self, row: ServerLoad, is_current: bool) {
        let Some(idx) = self.resolve_server(row.server, is_current) else { return };
        let version = self.version;
        let Some(server) = self.servers.get_mut(idx.0 as usize) else { return };
        if server.load != row.load {
            server.load = row.load;
            server.load_version = version;
        }
    }

    /// The index of the server at `addr`; an unknown server is added as live, without slots.
    fn find_or_add_server(&mut self, addr: SocketAddr) -> ServerIdx {
        if let Some(idx) = self.by_addr.get(&addr) {
            return *idx;
        }
        let idx = ServerIdx(self.servers.len() as u16);
        let row = ServerRow {
            idx,
            addr,
            state: ServerState::Live,
            incarnation: 0,
            pool: PoolHash(0),
            slots: 0,
        };
        let version = self.version;
        self.servers.push(Server {
            row,
            row_version: version,
            load: Load::default(),
            load_version: version,
        });
        self.by_addr.insert(addr, idx);
        idx
    }

    /// Everything that has changed for `router` since the version `held`.
    fn digest(&mut self, now: Instant, router: RouterIdx, held: Version) -> Digest {
        let live = self.servers.iter().map(|it| it.row);
        let live: Vec<_> = live.filter(|it| it.state == ServerState::Live).collect();
        let grants = grants::grant(router, &mut self.allocations, &live);
        let work = self.others_work(now, router);
        let loads = self.servers.iter().filter(|it| it.load_version > held);
        let rows = self.servers.iter().filter(|it| it.row_version > held);
        Digest {
            epoch: self.settings.epoch,
            version: self.version,
            recipient_idx: router.0,
            routers: (self.routers_version > held).then(|| self.router_list()),
            peers: (self.peers_version > held).then(|| self.peer_list()),
            servers: rows.map(|it| it.row).collect(),
            loads: loads
                .map(|it| ServerLoad { server: ServerRef::Idx(it.row.idx), load: it.load })
                .collect(),
            quarantine: self.suspects.quarantined_since(now, held),
            parts: self.parts.notices_since(now, held),
            grants,
            work,
            limits: self.limits.since(now, held),
            permits: self.permits.take(now, router),
            found_streams: Vec::new(),
            sole_versions: Vec::new(),
            down: Vec::new(),
            pauses: Vec::new(),
        }
    }

    fn peer_list(&self) -> Vec<Peer> {
        let own = self.routers.values().filter_map(|it| it.peer);
        own.chain(self.peers_of_hubs.iter()).collect()
    }

    fn router_list(&self) -> Vec<(u16, String)> {
        self.routers.iter().map(|(idx, it)| (idx.0, it.name.clone())).collect()
    }
}
