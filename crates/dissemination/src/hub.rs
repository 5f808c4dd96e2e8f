//! The control VM's side: merges summaries and answers with what has changed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    Demand, Digest, Load, QuarantineRow, RouterIdx, Sender, ServerIdx, ServerLoad, ServerRef,
    ServerRow, ServerState, Share, Summary, Version, owner::WHOLE_65536THS,
};

/// How a hub keeps its entries.
#[derive(Debug, Clone)]
pub struct HubSettings {
    /// The number of this life of the hub; another one at each start, never 0.
    pub epoch: u64,
    /// A router that was silent for this long is no longer live.
    pub router_timeout: Duration,
    /// The part of a pool that is divided evenly, in thousandths; the rest goes by demand.
    pub even_permille: u32,
}

impl Default for HubSettings {
    fn default() -> Self {
        HubSettings { epoch: 1, router_timeout: Duration::from_secs(5), even_permille: 250 }
    }
}

/// Everything that the routers of one failure domain share.
#[derive(Debug)]
pub struct Hub {
    settings: HubSettings,
    version: Version,
    routers: BTreeMap<RouterIdx, Router>,
    routers_version: Version,
    next_router: u16,
    servers: Vec<Server>,
    by_addr: BTreeMap<SocketAddr, ServerIdx>,
    quarantine: BTreeMap<u64, Quarantined>,
}

#[derive(Debug)]
struct Router {
    name: String,
    heard: Instant,
    demand: Vec<Demand>,
}

#[derive(Debug)]
struct Server {
    row: ServerRow,
    row_version: Version,
    load: Load,
    load_version: Version,
}

#[derive(Debug)]
struct Quarantined {
    crashes: u8,
    expires: Instant,
    version: Version,
}

impl Hub {
    /// A hub that knows nobody yet.
    pub fn new(settings: HubSettings) -> Hub {
        Hub {
            settings,
            version: Version(0),
            routers: BTreeMap::new(),
            routers_version: Version(0),
            next_router: 0,
            servers: Vec::new(),
            by_addr: BTreeMap::new(),
            quarantine: BTreeMap::new(),
        }
    }

    /// Takes a router's summary and gives what has changed for it.
    pub fn exchange(&mut self, now: Instant, summary: Summary) -> Digest {
        self.version = Version(self.version.0 + 1);
        self.expire(now);
        let is_current = summary.epoch == self.settings.epoch;
        let held = if is_current { summary.held } else { Version(0) };
        let you = self.router(now, summary.from, is_current);
        self.take_demand(you, summary.demand);
        for (addr, state, incarnation) in summary.sightings {
            self.take_sighting(addr, state, incarnation);
        }
        for load in summary.loads {
            self.take_load(load, is_current);
        }
        for row in summary.quarantine {
            self.take_quarantine(now, row);
        }
        self.digest(now, you, held)
    }

    /// The names of the live routers.
    pub fn routers(&self) -> impl Iterator<Item = &str> {
        self.routers.values().map(|it| it.name.as_str())
    }

    /// The servers known, with their loads.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerRow, &Load)> {
        self.servers.iter().map(|it| (&it.row, &it.load))
    }

    fn expire(&mut self, now: Instant) {
        let timeout = self.settings.router_timeout;
        let before = self.routers.len();
        self.routers.retain(|_, it| now.saturating_duration_since(it.heard) < timeout);
        if self.routers.len() != before {
            self.routers_version = self.version;
        }
        self.quarantine.retain(|_, it| it.expires > now);
    }

    fn router(&mut self, now: Instant, from: Sender, is_current: bool) -> RouterIdx {
        let known = match &from {
            Sender::Idx(idx) if is_current && self.routers.contains_key(idx) => Some(*idx),
            Sender::Idx(_) => None,
            Sender::Name(name) => {
                self.routers.iter().find(|(_, it)| it.name == *name).map(|(idx, _)| *idx)
            }
        };
        if let Some(router) = known.and_then(|idx| self.routers.get_mut(&idx)) {
            router.heard = now;
        }
        known.unwrap_or_else(|| self.add_router(now, from))
    }

    /// A router whose index has expired stays unnamed until it reads the new epoch or list.
    fn add_router(&mut self, now: Instant, from: Sender) -> RouterIdx {
        let Sender::Name(name) = from else { return RouterIdx(u16::MAX) };
        let idx = RouterIdx(self.next_router);
        self.next_router += 1;
        self.routers.insert(idx, Router { name, heard: now, demand: Vec::new() });
        self.routers_version = self.version;
        idx
    }

    fn take_demand(&mut self, you: RouterIdx, demand: Vec<Demand>) {
        if let Some(router) = self.routers.get_mut(&you) {
            router.demand = demand;
        }
    }

    /// A server seen leaving stays leaving until it shows a newer incarnation.
    fn take_sighting(&mut self, addr: SocketAddr, state: ServerState, incarnation: u64) {
        let idx = self.server(addr);
        let version = self.version;
        let server = &mut self.servers[idx.0 as usize];
        let is_newer = incarnation > server.row.incarnation;
        let is_worse = incarnation == server.row.incarnation && state > server.row.state;
        if is_newer || is_worse {
            server.row = ServerRow { state, incarnation, ..server.row };
            server.row_version = version;
        }
    }

    fn take_load(&mut self, row: ServerLoad, is_current: bool) {
        let idx = match row.server {
            ServerRef::Addr(addr) => self.server(addr),
            ServerRef::Idx(idx) if is_current => idx,
            ServerRef::Idx(_) => return,
        };
        let version = self.version;
        let Some(server) = self.servers.get_mut(idx.0 as usize) else { return };
        if server.load != row.load {
            server.load = row.load;
            server.load_version = version;
        }
    }

    fn take_quarantine(&mut self, now: Instant, row: QuarantineRow) {
        let expires = now + Duration::from_secs(row.expires_in_s.into());
        let version = self.version;
        let entry = self.quarantine.entry(row.fingerprint).or_insert(Quarantined {
            crashes: 0,
            expires,
            version,
        });
        if row.crashes > entry.crashes {
            entry.crashes = row.crashes;
            entry.version = version;
        }
        entry.expires = entry.expires.max(expires);
    }

    fn server(&mut self, addr: SocketAddr) -> ServerIdx {
        if let Some(idx) = self.by_addr.get(&addr) {
            return *idx;
        }
        let idx = ServerIdx(self.servers.len() as u16);
        let row = ServerRow { idx, addr, state: ServerState::Live, incarnation: 0 };
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

    fn digest(&self, now: Instant, you: RouterIdx, held: Version) -> Digest {
        let loads = self.servers.iter().filter(|it| it.load_version > held);
        let rows = self.servers.iter().filter(|it| it.row_version > held);
        let quarantine = self.quarantine.iter().filter(|(_, it)| it.version > held);
        Digest {
            epoch: self.settings.epoch,
            version: self.version,
            you: you.0,
            routers: (self.routers_version > held).then(|| self.router_list()),
            servers: rows.map(|it| it.row).collect(),
            loads: loads
                .map(|it| ServerLoad { server: ServerRef::Idx(it.row.idx), load: it.load })
                .collect(),
            quarantine: quarantine
                .map(|(fingerprint, it)| QuarantineRow {
                    fingerprint: *fingerprint,
                    crashes: it.crashes,
                    expires_in_s: (it.expires - now).as_secs() as u32,
                })
                .collect(),
            shares: self.shares(you),
        }
    }

    fn router_list(&self) -> Vec<(u16, String)> {
        self.routers.iter().map(|(idx, it)| (idx.0, it.name.clone())).collect()
    }

    fn shares(&self, you: RouterIdx) -> Vec<Share> {
        let Some(router) = self.routers.get(&you) else { return Vec::new() };
        router.demand.iter().map(|it| self.share(you, it.pool)).collect()
    }

    /// Walks the routers in order, so that their parts follow one another without a gap.
    fn share(&self, you: RouterIdx, pool: u32) -> Share {
        let total: u64 = self.routers.values().map(|it| it.weight(pool)).sum();
        let mut edges = Edges::new(self.routers.len() as u64, total, self.settings.even_permille);
        for (idx, router) in &self.routers {
            let start = edges.position();
            edges.pass(router.weight(pool));
            if *idx == you {
                let width_65536ths = edges.position() - start;
                return Share { pool, start_65536ths: start, width_65536ths };
            }
        }
        Share { pool, start_65536ths: 0, width_65536ths: 0 }
    }
}

impl Router {
    fn weight(&self, pool: u32) -> u64 {
        let demand = self.demand.iter().find(|it| it.pool == pool);
        demand.map_or(0, |it| it.weight.into())
    }
}

/// The running sum of the parts; the last one always ends at the whole.
struct Edges {
    routers: u64,
    total: u64,
    even_permille: u64,
    passed_routers: u64,
    passed_weight: u64,
}

impl Edges {
    fn new(routers: u64, total: u64, even_permille: u32) -> Edges {
        let even_permille = if total == 0 { 1000 } else { even_permille.min(1000).into() };
        Edges { routers, total, even_permille, passed_routers: 0, passed_weight: 0 }
    }

    fn pass(&mut self, weight: u64) {
        self.passed_routers += 1;
        self.passed_weight += weight;
    }

    fn position(&self) -> u32 {
        if self.passed_routers == self.routers {
            return WHOLE_65536THS;
        }
        let whole = u64::from(WHOLE_65536THS);
        let even = whole * self.passed_routers * self.even_permille / (self.routers * 1000);
        let by_demand = whole * self.passed_weight * (1000 - self.even_permille);
        (even + by_demand / (self.total.max(1) * 1000)) as u32
    }
}
