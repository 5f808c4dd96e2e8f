//! The control VM's side: merges summaries and answers with what has changed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use policy::{CrashSite, PendingWork, QuarantineEntry};

use crate::{
    Digest, Load, PoolHash, QuarantineRow, RouterIdx, Sender, ServerIdx, ServerLoad,
    ServerObservation, ServerRef, ServerRow, ServerState, ServerWork, Summary, Version,
    grants::{self, Account},
    work::WorkBook,
};

/// How a hub keeps its entries.
#[derive(Debug, Clone)]
pub struct HubSettings {
    /// The number of this life of the hub; another one at each start, never 0.
    pub epoch: u64,
    /// A router that was silent for this long is no longer live.
    /// Its grants are given to others then, so a router uses no grant for that long unrenewed.
    pub router_timeout: Duration,
}

impl Default for HubSettings {
    fn default() -> Self {
        HubSettings { epoch: 1, router_timeout: Duration::from_secs(8) }
    }
}

/// Everything that the routers of one failure domain share.
#[derive(Debug)]
pub struct Hub {
    settings: HubSettings,
    version: Version,
    routers: BTreeMap<RouterIdx, Router>,
    accounts: BTreeMap<RouterIdx, Account>,
    routers_version: Version,
    next_router: u16,
    servers: Vec<Server>,
    by_addr: BTreeMap<SocketAddr, ServerIdx>,
    quarantine: BTreeMap<(PoolHash, u64), Quarantined>,
    work: WorkBook,
}

#[derive(Debug)]
struct Router {
    name: String,
    heard: Instant,
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
    crashes: Vec<CrashSite>,
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
            accounts: BTreeMap::new(),
            routers_version: Version(0),
            next_router: 0,
            servers: Vec::new(),
            by_addr: BTreeMap::new(),
            quarantine: BTreeMap::new(),
            work: WorkBook::default(),
        }
    }

    /// Takes a router's summary and gives what has changed for it.
    pub fn exchange(&mut self, now: Instant, summary: Summary) -> Digest {
        self.version = Version(self.version.0 + 1);
        self.expire(now);
        let is_current = summary.epoch == self.settings.epoch;
        let held = if is_current { summary.held } else { Version(0) };
        let you = self.router(now, summary.from, is_current);
        for observation in summary.observations {
            self.merge_observation(you, observation);
        }
        for load in summary.loads {
            self.take_load(load, is_current);
        }
        for row in summary.quarantine {
            self.take_quarantine(now, row);
        }
        if let Some(account) = self.accounts.get_mut(&you) {
            // Indexes of another life of the hub name other servers.
            let held_slots = if is_current { summary.held_slots } else { Vec::new() };
            account.take(summary.demand, held_slots);
        }
        let work = summary.work.into_iter();
        let work = work.filter_map(|it| Some((self.known(it.server, is_current)?, it.work)));
        let work = work.collect();
        self.work.take(now, you, work);
        self.digest(now, you, held)
    }

    /// What the requests of this hub's routers take, for the other hubs.
    pub fn own_work(&mut self, now: Instant) -> Vec<(SocketAddr, PendingWork)> {
        let sums = self.work.of_routers(now, None).into_iter();
        sums.map(|(idx, work)| (self.servers[idx.0 as usize].row.addr, work)).collect()
    }

    /// Takes in what another hub's routers take.
    pub fn update_hub_work(
        &mut self,
        now: Instant,
        hub: u64,
        rows: Vec<(SocketAddr, PendingWork)>,
    ) {
        self.work.take_hub(now, hub, rows);
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
            let routers = &self.routers;
            self.accounts.retain(|idx, _| routers.contains_key(idx));
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
        self.routers.insert(idx, Router { name, heard: now });
        self.accounts.insert(idx, Account::default());
        self.routers_version = self.version;
        idx
    }

    /// A server seen leaving stays leaving until it shows a newer incarnation.
    fn merge_observation(&mut self, from: RouterIdx, observation: ServerObservation) {
        let idx = self.server(observation.addr);
        if let Some(account) = self.accounts.get_mut(&from) {
            account.announce(idx);
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

    /// The index of a server that a router names; indexes of another life name other servers.
    fn known(&mut self, server: ServerRef, is_current: bool) -> Option<ServerIdx> {
        match server {
            ServerRef::Addr(addr) => Some(self.server(addr)),
            ServerRef::Idx(idx) if is_current && usize::from(idx.0) < self.servers.len() => {
                Some(idx)
            }
            ServerRef::Idx(_) => None,
        }
    }

    fn others_work(&mut self, now: Instant, you: RouterIdx) -> Vec<ServerWork> {
        let mut all = self.work.of_routers(now, Some(you));
        for (addr, work) in self.work.of_hubs(now) {
            let idx = self.server(addr);
            *all.entry(idx).or_default() += work;
        }
        all.into_iter()
            .map(|(idx, work)| ServerWork { server: ServerRef::Idx(idx), work })
            .collect()
    }

    fn take_load(&mut self, row: ServerLoad, is_current: bool) {
        let Some(idx) = self.known(row.server, is_current) else { return };
        let version = self.version;
        let Some(server) = self.servers.get_mut(idx.0 as usize) else { return };
        if server.load != row.load {
            server.load = row.load;
            server.load_version = version;
        }
    }

    /// Entries are merged by the set of crash sites, as the routers do it.
    fn take_quarantine(&mut self, now: Instant, row: QuarantineRow) {
        let expires = now + Duration::from_millis(row.entry.ttl_ms);
        let version = self.version;
        let entry = self.quarantine.entry((row.pool, row.entry.request_hash));
        let entry = entry.or_insert(Quarantined { crashes: Vec::new(), expires, version });
        for site in row.entry.crashes {
            if !entry.crashes.contains(&site) {
                entry.crashes.push(site);
                entry.version = version;
            }
        }
        entry.expires = entry.expires.max(expires);
    }

    fn server(&mut self, addr: SocketAddr) -> ServerIdx {
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

    fn digest(&mut self, now: Instant, you: RouterIdx, held: Version) -> Digest {
        let live = self.servers.iter().map(|it| it.row);
        let live: Vec<_> = live.filter(|it| it.state == ServerState::Live).collect();
        let grants = grants::grant(you, &mut self.accounts, &live);
        let work = self.others_work(now, you);
        let loads = self.servers.iter().filter(|it| it.load_version > held);
        let rows = self.servers.iter().filter(|it| it.row_version > held);
        let quarantine = self.quarantine.iter().filter(|(_, it)| it.version > held);
        Digest {
            epoch: self.settings.epoch,
            version: self.version,
            recipient_idx: you.0,
            routers: (self.routers_version > held).then(|| self.router_list()),
            servers: rows.map(|it| it.row).collect(),
            loads: loads
                .map(|it| ServerLoad { server: ServerRef::Idx(it.row.idx), load: it.load })
                .collect(),
            quarantine: quarantine.map(|(key, it)| it.row(now, *key)).collect(),
            grants,
            work,
        }
    }

    fn router_list(&self) -> Vec<(u16, String)> {
        self.routers.iter().map(|(idx, it)| (idx.0, it.name.clone())).collect()
    }
}

impl Quarantined {
    fn row(&self, now: Instant, (pool, request_hash): (PoolHash, u64)) -> QuarantineRow {
        let ttl_ms = self.expires.saturating_duration_since(now).as_millis() as u64;
        let entry = QuarantineEntry { request_hash, crashes: self.crashes.clone(), ttl_ms };
        QuarantineRow { pool, entry }
    }
}
