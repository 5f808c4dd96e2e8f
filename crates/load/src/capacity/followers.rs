//! Many light routers in one process, to load a control VM as a large fleet does.
//!
//! Each follows the tables and exchanges summaries by the same code as a real router; none has
//! callers or backend servers.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use control_client::{Domain, DomainMember, TablesWatch, WatchSettings};
use dissemination::{
    Demand, Load, MemberState, PoolHash, QuarantineRow, ServerEntry, ServerLoad, ServerObservation,
    ServerState, Slots, Summary,
};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};
use monoio::time;
use rpc::LinkSettings;
use tables::Revision;

use super::WireBytes;
use crate::{counters::CounterFault, loopback::LoopbackAddr};

/// The pause between the starts of two followers, which spreads their exchanges.
const START_SPACING: Duration = Duration::from_millis(7);

/// The pool of the servers that followers report, and how many requests each takes.
const POOL: PoolHash = PoolHash(1);
const SLOTS: u16 = 64;

/// How the followers behave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerSettings {
    /// The control VMs, the preferred one first.
    pub controls: Vec<LoopbackAddr>,
    /// How many followers there are.
    pub followers: usize,
    /// Backend servers whose load each follower reports.
    pub servers_each: usize,
    /// The time between two summaries, in milliseconds; 0 for none.
    pub exchange_interval_ms: u64,
}

/// A change that the control VMs have accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// The revision that it led to.
    pub revision: Revision,
    /// When the caller knew.
    pub at: Instant,
}

/// The followers; they stop with the runtime.
pub struct Followers {
    all: Vec<Rc<Follower>>,
}

struct Follower {
    watch: TablesWatch,
    clock: Rc<dyn Clock>,
    in_force: RefCell<Vec<Accepted>>,
}

impl Followers {
    /// Starts the followers one after the other.
    pub async fn start(settings: &FollowerSettings, clock: Rc<dyn Clock>) -> Followers {
        let mut all = Vec::new();
        for idx in 0..settings.followers {
            all.push(Follower::start(settings, idx, Rc::clone(&clock)));
            time::sleep(START_SPACING).await;
        }
        Followers { all }
    }

    /// Waits until every follower has `revision` or a newer one, for `timeout` at most, and says
    /// how many have.
    pub async fn reach(&self, revision: Revision, timeout: Duration) -> usize {
        let all = join_all(self.all.iter().map(|it| it.reach(revision)));
        // Those that came in time are counted below.
        let _ = time::timeout(timeout, all).await;
        self.all.iter().filter(|it| it.in_force_at(revision).is_some()).count()
    }

    /// The time from the acceptance of `change` until each follower had it in force, for those
    /// that have.
    pub fn in_force_times(&self, change: Accepted) -> Vec<Duration> {
        let times = self.all.iter().filter_map(|it| it.in_force_at(change.revision));
        times.map(|it| it.saturating_duration_since(change.at)).collect()
    }

    /// Bytes of payload that all followers have sent and received.
    pub fn wire_bytes(&self) -> u64 {
        let counters = self.all.iter().map(|it| it.watch.link().counters());
        counters.map(|it| it.sent_bytes() + it.received_bytes()).sum()
    }
}

impl WireBytes for Followers {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>> {
        futures::future::ready(Ok(Some(self.wire_bytes() as f64))).boxed_local()
    }
}

impl Follower {
    fn start(settings: &FollowerSettings, idx: usize, clock: Rc<dyn Clock>) -> Rc<Follower> {
        let addrs = settings.controls.iter().map(|it| it.addr()).collect();
        let link = LinkSettings { addrs, ..LinkSettings::default() };
        let watch = TablesWatch::start(WatchSettings { link, ..WatchSettings::default() });
        let follower = Rc::new(Follower { watch, clock, in_force: RefCell::default() });
        monoio::spawn(Rc::clone(&follower).note_revisions());
        if settings.exchange_interval_ms > 0 {
            let interval = Duration::from_millis(settings.exchange_interval_ms);
            let servers = owned_servers(idx, settings.servers_each);
            let link = follower.watch.link().clone();
            let (clock, member) = (Rc::clone(&follower.clock), Rc::new(BusyMember::new(servers)));
            // The exchange lasts as long as its link, which the follower holds.
            let _domain = Domain::start(&format!("follower-{idx}"), link, clock, interval, member);
        }
        follower
    }

    async fn note_revisions(self: Rc<Self>) {
        let mut held = Revision(0);
        loop {
            self.watch.newer_than(held).await;
            held = self.note();
        }
    }

    async fn reach(&self, revision: Revision) {
        self.watch.newer_than(Revision(revision.0.saturating_sub(1))).await;
        self.note();
    }

    /// Notes the revision in force if it is new. All who wait for a revision note it, so that the
    /// order in which they are woken does not matter.
    fn note(&self) -> Revision {
        let revision = self.watch.current().revision;
        let mut in_force = self.in_force.borrow_mut();
        if in_force.last().is_none_or(|it| it.revision < revision) {
            in_force.push(Accepted { revision, at: self.clock.now() });
        }
        revision
    }

    fn in_force_at(&self, revision: Revision) -> Option<Instant> {
        let in_force = self.in_force.borrow();
        in_force.iter().find(|it| it.revision >= revision).map(|it| it.at)
    }
}

/// A busy router's side of the exchange: loads that differ each round, demand, held slots.
struct BusyMember {
    servers: Vec<SocketAddr>,
    round: Cell<u16>,
    announced_epoch: Cell<u64>,
}

impl BusyMember {
    fn new(servers: Vec<SocketAddr>) -> BusyMember {
        BusyMember { servers, round: Cell::new(0), announced_epoch: Cell::new(0) }
    }

    /// Servers are announced once in each life of the hub, as real routers do.
    fn sightings(&self, epoch: u64) -> Vec<ServerObservation> {
        if epoch == 0 || self.announced_epoch.replace(epoch) == epoch {
            return Vec::new();
        }
        let sighting = |addr: &SocketAddr| ServerObservation {
            addr: *addr,
            state: ServerState::Live,
            incarnation: 1,
            pool: POOL,
            slots: SLOTS,
        };
        self.servers.iter().map(sighting).collect()
    }
}

impl DomainMember for BusyMember {
    fn report(&self, held: &MemberState, empty: Summary) -> Summary {
        let round = self.round.get();
        self.round.set(round.wrapping_add(1));
        let load = Load {
            running: round % 64,
            waiting: round % 8,
            kv_used_64ths: (round % 64) as u8,
            step_100us: 300 + round % 100,
        };
        let loads = self.servers.iter().map(|it| ServerLoad { server: held.server_ref(*it), load });
        let slots = |it: &ServerEntry| Slots { server: it.row.idx, count: 1 + round % 3 };
        Summary {
            loads: loads.collect(),
            observations: self.sightings(held.epoch()),
            demand: vec![Demand { pool: POOL, requests: 200 + u32::from(round % 9), urgent: 20 }],
            held_slots: held.servers().map(slots).collect(),
            ..empty
        }
    }

    fn apply_digest(&self, _held: &MemberState, _sent: Instant, _quarantine: &[QuarantineRow]) {}
}

/// Addresses of servers that nobody connects to; they are names here.
fn owned_servers(idx: usize, count: usize) -> Vec<SocketAddr> {
    let addr = |number: usize| {
        let number = idx * count + number;
        SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 8_000))
    };
    (0..count).map(addr).collect()
}
