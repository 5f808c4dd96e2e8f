//! The copy of the failure domain's shared state that a router holds.

use std::{collections::BTreeMap, net::SocketAddr};

use policy::{LimitEntry, PendingWork, PermitGrant};

use crate::{
    BegunStreams, CrashRows, Digest, Load, PauseRow, Peer, RouterIdx, Sender, ServerIdx, ServerRef,
    ServerRow, ServerWork, Slots, SoleVersion, Summary, Version,
};

/// One backend server as the router knows it from the hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerEntry {
    /// The entry of the server at the hub.
    pub row: ServerRow,
    /// The newest load report.
    pub load: Load,
}

/// The shared state as one router holds it.
#[derive(Debug, Clone)]
pub struct MemberState {
    name: String,
    epoch: u64,
    version: Version,
    own_idx: Option<RouterIdx>,
    routers: Vec<String>,
    servers: BTreeMap<ServerIdx, ServerEntry>,
    by_addr: BTreeMap<SocketAddr, ServerIdx>,
    grants: Vec<Slots>,
    others_work: Vec<ServerWork>,
    new_limits: Vec<LimitEntry>,
    permits: Vec<PermitGrant>,
    found_streams: Vec<BegunStreams>,
    sole_versions: Vec<SoleVersion>,
    down: Vec<ServerIdx>,
    pauses: Vec<PauseRow>,
    own_peer: Option<Peer>,
    peers: Vec<Peer>,
}

impl MemberState {
    /// Creates the state of a router that has received no digest yet.
    pub fn new(name: &str) -> MemberState {
        MemberState {
            name: name.to_owned(),
            epoch: 0,
            version: Version(0),
            own_idx: None,
            routers: vec![name.to_owned()],
            servers: BTreeMap::new(),
            by_addr: BTreeMap::new(),
            grants: Vec::new(),
            others_work: Vec::new(),
            new_limits: Vec::new(),
            permits: Vec::new(),
            found_streams: Vec::new(),
            sole_versions: Vec::new(),
            down: Vec::new(),
            pauses: Vec::new(),
            own_peer: None,
            peers: Vec::new(),
        }
    }

    /// The same state for a router that serves requests of other routers as `peer`.
    #[must_use]
    pub fn with_peer(self, peer: Option<Peer>) -> MemberState {
        MemberState { own_peer: peer, ..self }
    }

    /// The name of the router from the settings.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// A summary without rows, to which the router adds its own.
    pub fn empty_summary(&self) -> Summary {
        let from = self.own_idx.map_or_else(|| Sender::Name(self.name.clone()), Sender::Idx);
        Summary {
            from,
            epoch: self.epoch,
            held: self.version,
            loads: Vec::new(),
            observations: Vec::new(),
            quarantine: Vec::new(),
            parts: Vec::new(),
            demand: Vec::new(),
            held_slots: Vec::new(),
            work: Vec::new(),
            limits: Vec::new(),
            permit_requests: Vec::new(),
            begun_streams: Vec::new(),
            stream_lookups: Vec::new(),
            peer: self.own_peer.filter(|_| self.own_idx.is_none()),
            level: self.own_idx.is_none().then_some(wire_form::LEVEL),
            down: Vec::new(),
            pauses: Vec::new(),
            usage: None,
        }
    }

    /// Applies a digest and returns what it tells about causes of crashes.
    ///
    /// A digest from another epoch of the hub replaces the whole state.
    pub fn apply_digest(&mut self, digest: Digest) -> CrashRows {
        if digest.epoch != self.epoch {
            self.epoch = digest.epoch;
            self.servers.clear();
            self.by_addr.clear();
        }
        self.version = digest.version;
        // The largest index means that the hub does not list this router.
        self.own_idx =
            (digest.recipient_idx != u16::MAX).then_some(RouterIdx(digest.recipient_idx));
        if let Some(routers) = digest.routers {
            self.routers = routers.into_iter().map(|(_, name)| name).collect();
        }
        if let Some(peers) = digest.peers {
            self.peers = peers;
        }
        for row in digest.servers {
            self.insert_row(row);
        }
        for load in digest.loads {
            let ServerRef::Idx(idx) = load.server else { continue };
            if let Some(entry) = self.servers.get_mut(&idx) {
                entry.load = load.load;
            }
        }
        self.grants = digest.grants;
        self.others_work = digest.work;
        self.new_limits = digest.limits;
        self.permits = digest.permits;
        self.found_streams = digest.found_streams;
        self.sole_versions = digest.sole_versions;
        self.down = digest.down;
        self.pauses = digest.pauses;
        CrashRows { requests: digest.quarantine, parts: digest.parts }
    }

    /// The reference to a server in messages to the hub: its index if known, else its address.
    pub fn server_ref(&self, addr: SocketAddr) -> ServerRef {
        self.by_addr.get(&addr).map_or(ServerRef::Addr(addr), |idx| ServerRef::Idx(*idx))
    }

    /// The servers received from the hub.
    pub fn servers(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values()
    }

    /// The other routers that serve requests of this one.
    pub fn peers(&self) -> impl Iterator<Item = Peer> {
        self.peers.iter().copied().filter(|it| Some(*it) != self.own_peer)
    }

    /// The live routers of the failure domain, including this one once the hub lists it.
    pub fn routers(&self) -> impl Iterator<Item = &str> {
        self.routers.iter().map(String::as_str)
    }

    /// The slots granted to this router, by the address of the server.
    pub fn grants(&self) -> impl Iterator<Item = (SocketAddr, u16)> + '_ {
        self.grants.iter().filter_map(|it| {
            let entry = self.servers.get(&it.server)?;
            Some((entry.row.addr, it.count))
        })
    }

    /// The pending work of all other routers, by the address of the server.
    pub fn others_work(&self) -> impl Iterator<Item = (SocketAddr, PendingWork)> + '_ {
        self.others_work.iter().filter_map(|it| {
            let addr = match it.server {
                ServerRef::Addr(addr) => addr,
                ServerRef::Idx(idx) => self.servers.get(&idx)?.row.addr,
            };
            Some((addr, it.work))
        })
    }

    /// The rate limits of servers that the last digest has told.
    pub fn new_limits(&self) -> &[LimitEntry] {
        &self.new_limits
    }

    /// The permits that the last digest has granted.
    pub fn permits(&self) -> &[PermitGrant] {
        &self.permits
    }

    /// The streams that were looked up by the last summary and are known.
    pub fn found_streams(&self) -> &[BegunStreams] {
        &self.found_streams
    }

    /// The pools that have had a single software version for longer than streams last, if a stream that
    /// was looked up is not known.
    pub fn sole_versions(&self) -> &[SoleVersion] {
        &self.sole_versions
    }

    /// The addresses of the servers that several routers have found down.
    pub fn down(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.down.iter().filter_map(|it| Some(self.servers.get(it)?.row.addr))
    }

    /// The pauses that all routers have measured, if the last digest has told them.
    pub fn pauses(&self) -> &[PauseRow] {
        &self.pauses
    }

    /// The epoch of the hub that the state belongs to; 0 before the first digest.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The index of a server, if the hub has assigned one.
    pub fn server_idx(&self, addr: SocketAddr) -> Option<ServerIdx> {
        self.by_addr.get(&addr).copied()
    }

    fn insert_row(&mut self, row: ServerRow) {
        self.by_addr.insert(row.addr, row.idx);
        let load = self.servers.get(&row.idx).map(|it| it.load).unwrap_or_default();
        self.servers.insert(row.idx, ServerEntry { row, load });
    }
}
