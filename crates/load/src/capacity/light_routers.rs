//! Runs many light routers in one process, to load a control VM like a large fleet does.
//!
//! A light router watches the tables and exchanges summaries with the same code as a real router,
//! but has no callers and no backend servers.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use control_client::{Domain, DomainMember, TablesWatch, WatchSettings};
use dissemination::{
    CrashRows, Demand, Load, MemberState, PoolHash, ServerEntry, ServerLoad, ServerObservation,
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

/// The interval between the starts of two routers, which spreads their exchanges over time.
const START_INTERVAL: Duration = Duration::from_millis(7);

/// The pool of the reported servers, and the number of concurrent requests of each server.
const POOL: PoolHash = PoolHash(1);
const SLOTS: u16 = 64;

/// The settings of the light routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LightRouterSettings {
    /// The control VMs, the preferred one first.
    pub controls: Vec<LoopbackAddr>,
    /// The number of light routers.
    pub routers: usize,
    /// The number of backend servers whose load each router reports.
    pub servers_per_router: usize,
    /// The time between two summaries in milliseconds; 0 disables them.
    pub exchange_interval_ms: u64,
}

/// A revision and the time at which it was accepted or applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedRevision {
    /// The revision.
    pub revision: Revision,
    /// When its acceptance was known, or when a router applied it.
    pub at: Instant,
}

/// The running light routers. They run until the runtime ends.
pub struct LightRouters {
    routers: Vec<Rc<LightRouter>>,
}

struct LightRouter {
    watch: TablesWatch,
    clock: Rc<dyn Clock>,
    applied: RefCell<Vec<TimedRevision>>,
}

impl LightRouters {
    /// Starts the routers one after another.
    pub async fn start(settings: &LightRouterSettings, clock: Rc<dyn Clock>) -> LightRouters {
        let mut routers = Vec::new();
        for idx in 0..settings.routers {
            routers.push(LightRouter::start(settings, idx, Rc::clone(&clock)));
            time::sleep(START_INTERVAL).await;
        }
        LightRouters { routers }
    }

    /// Waits until every router has applied `revision` or a newer one, or until `timeout`. Returns
    /// how many have applied it.
    pub async fn wait_for_revision(&self, revision: Revision, timeout: Duration) -> usize {
        let all_applied = join_all(self.routers.iter().map(|it| it.wait_for_revision(revision)));
        // A timeout is not an error: the routers that have applied the revision are counted below.
        let _ = time::timeout(timeout, all_applied).await;
        self.routers.iter().filter(|it| it.applied_at(revision).is_some()).count()
    }

    /// The times from the acceptance of `change` until each router applied it, for the routers that
    /// have applied it.
    pub fn apply_times(&self, change: TimedRevision) -> Vec<Duration> {
        let times = self.routers.iter().filter_map(|it| it.applied_at(change.revision));
        times.map(|it| it.saturating_duration_since(change.at)).collect()
    }

    /// Payload bytes that all routers have sent and received.
    pub fn wire_bytes(&self) -> u64 {
        let counters = self.routers.iter().map(|it| it.watch.link().counters());
        counters.map(|it| it.sent_bytes() + it.received_bytes()).sum()
    }
}

impl WireBytes for LightRouters {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>> {
        futures::future::ready(Ok(Some(self.wire_bytes() as f64))).boxed_local()
    }
}

impl LightRouter {
    fn start(settings: &LightRouterSettings, idx: usize, clock: Rc<dyn Clock>) -> Rc<LightRouter> {
        let addrs = settings.controls.iter().map(|it| it.addr()).collect();
        let link = LinkSettings { addrs, ..LinkSettings::default() };
        let watch = TablesWatch::start(WatchSettings { link, ..WatchSettings::default() });
        let router = Rc::new(LightRouter { watch, clock, applied: RefCell::default() });
        monoio::spawn(Rc::clone(&router).record_revisions());
        if settings.exchange_interval_ms > 0 {
            let interval = Duration::from_millis(settings.exchange_interval_ms);
            let servers = server_addrs(idx, settings.servers_per_router);
            let link = router.watch.link().clone();
            let (clock, member) = (Rc::clone(&router.clock), Rc::new(BusyMember::new(servers)));
            // The exchange runs as long as its link, which the router owns.
            let _domain = Domain::start(
                MemberState::new(&format!("follower-{idx}")),
                link,
                clock,
                interval,
                member,
            );
        }
        router
    }

    async fn record_revisions(self: Rc<Self>) {
        let mut current = Revision(0);
        loop {
            self.watch.newer_than(current).await;
            current = self.record_current();
        }
    }

    async fn wait_for_revision(&self, revision: Revision) {
        self.watch.newer_than(Revision(revision.0.saturating_sub(1))).await;
        self.record_current();
    }

    /// Records the current revision if it is new. Every task that waits for a revision records it,
    /// so that the order in which the tasks are woken does not matter.
    fn record_current(&self) -> Revision {
        let revision = self.watch.current().revision;
        let mut applied = self.applied.borrow_mut();
        if applied.last().is_none_or(|it| it.revision < revision) {
            applied.push(TimedRevision { revision, at: self.clock.now() });
        }
        revision
    }

    fn applied_at(&self, revision: Revision) -> Option<Instant> {
        let applied = self.applied.borrow();
        applied.iter().find(|it| it.revision >= revision).map(|it| it.at)
    }
}

/// Reports the summary of a busy router: loads that change each round, demand and held slots.
struct BusyMember {
    servers: Vec<SocketAddr>,
    round: Cell<u16>,
    announced_epoch: Cell<u64>,
}

impl BusyMember {
    fn new(servers: Vec<SocketAddr>) -> BusyMember {
        BusyMember { servers, round: Cell::new(0), announced_epoch: Cell::new(0) }
    }

    /// Servers are announced once per hub epoch, as real routers do.
    fn new_observations(&self, epoch: u64) -> Vec<ServerObservation> {
        if epoch == 0 || self.announced_epoch.replace(epoch) == epoch {
            return Vec::new();
        }
        let observation = |addr: &SocketAddr| ServerObservation {
            addr: *addr,
            state: ServerState::Live,
            incarnation: 1,
            pool: POOL,
            slots: SLOTS,
        };
        self.servers.iter().map(observation).collect()
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
            observations: self.new_observations(held.epoch()),
            demand: vec![Demand { pool: POOL, requests: 200 + u32::from(round % 9), urgent: 20 }],
            held_slots: held.servers().map(slots).collect(),
            ..empty
        }
    }

    fn apply_digest(&self, _held: &MemberState, _sent: Instant, _suspects: &CrashRows) {}
}

/// Addresses of fictitious servers, unique to each router. No connection is made to them.
fn server_addrs(idx: usize, count: usize) -> Vec<SocketAddr> {
    let addr = |number: usize| {
        let number = idx * count + number;
        SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 8_000))
    };
    (0..count).map(addr).collect()
}
