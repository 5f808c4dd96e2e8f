//! Assigns requests to backend servers: one scheduler for each pool, driven by events and timers.
//!
//! The crate `policy` makes the decisions and this module executes them: it wakes the request that
//! a decision concerns, probes the servers that a decision names, and arms the timers.

mod decision_log;
mod lease;
mod locality;
mod pool_dispatcher;
mod pool_spec;
mod reach;
mod server_list;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use directory::ListedVm;
use futures::future::{FutureExt, LocalBoxFuture};
use policy::{
    BackendKey, LimitEntry, LoadReport, MeasuredPauses, PartEntry, PartReport, PendingWork,
    PermitGrant, PermitRequest, ProbeResult, Prompt, QuarantineEntry, QueueSnapshot, Refusal,
    RefusalReason, Repeat, ServerHash, Settings, VersionHash, leases::Claim,
};
use tables::{Revision, Tables};

pub use self::lease::{Control, FailureReport, HedgeWait, Lease, RetryResult};
use self::{pool_dispatcher::PoolDispatcher, reach::Reach};
use crate::{identity::Workspaces, quarantine_report::QuarantineReport};

/// A backend server whose health is probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The path of its health check.
    pub health_path: String,
    /// The name that it reports of itself; empty if it is known by its address alone.
    pub label: Rc<str>,
}

/// Probes the health of a backend server on a new connection.
pub trait Prober {
    /// Returns whether the server answers.
    fn probe(&self, target: &ProbeTarget) -> LocalBoxFuture<'static, ProbeResult>;

    /// Returns whether there is a path to the server: whether it answers anything, even if it is not well.
    fn is_reachable(&self, target: &ProbeTarget) -> LocalBoxFuture<'static, bool> {
        self.probe(target).map(|it| it != ProbeResult::Dead).boxed_local()
    }

    /// Closes the idle connections to a server to which there is no path.
    fn close_idle(&self, _: SocketAddr) {}
}

/// A request to be assigned to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct DispatchRequest<'a> {
    /// The pool that serves it.
    pub pool: &'a str,
    /// Its request class.
    pub class: &'a str,
    /// The workspace of the caller; `None` for an anonymous one.
    pub workspace: Option<&'a str>,
    /// Hash of the prompt's prefix; zero for none.
    pub prefix_hash: u64,
    /// The fingerprint of the request; a resend has the same.
    pub request_hash: u64,
    /// The maximum number of tokens of the answer, if the caller limits them.
    pub max_tokens: Option<u32>,
    /// The parts of the prompt; none if they are not known.
    pub prompt: &'a Prompt,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// If set, only servers of this software version may run it.
    pub version: Option<VersionHash>,
    /// The attempts that may have run at other routers.
    pub prior_attempts: u32,
}

impl Default for DispatchRequest<'_> {
    /// A request of an anonymous caller of which nothing is known, so it must not run more than once.
    fn default() -> Self {
        static UNKNOWN_PROMPT: Prompt = Prompt { parts: Vec::new() };
        Self {
            pool: "",
            class: "",
            workspace: None,
            prefix_hash: 0,
            request_hash: 0,
            max_tokens: None,
            prompt: &UNKNOWN_PROMPT,
            repeat: Repeat::AtMostOnce,
            version: None,
            prior_attempts: 0,
        }
    }
}

/// Dispatches the requests of all pools, each pool with a scheduler of its own.
pub struct Dispatcher {
    dispatchers: RefCell<BTreeMap<String, Rc<PoolDispatcher>>>,
    clock: Rc<dyn Clock>,
    prober: Rc<dyn Prober>,
    reach: Rc<Reach>,
    settings: Settings,
    own_domain: String,
}

impl Dispatcher {
    /// Creates a dispatcher without pools in the failure domain `own_domain`; with an empty name
    /// all servers count as local.
    #[must_use]
    pub fn new(
        clock: Rc<dyn Clock>,
        prober: Rc<dyn Prober>,
        settings: Settings,
        own_domain: &str,
    ) -> Dispatcher {
        let own_domain = own_domain.to_owned();
        let reach = Reach::new(Rc::clone(&clock), Rc::clone(&prober));
        Dispatcher { dispatchers: RefCell::default(), clock, prober, reach, settings, own_domain }
    }

    /// Applies `tables`, also to the requests that are queued or in flight.
    pub fn configure(&self, tables: &Tables, workspaces: &Workspaces) {
        let mut dispatchers = self.dispatchers.borrow_mut();
        for pool in &tables.pools {
            let dispatcher = dispatchers.entry(pool.name.clone()).or_insert_with(|| {
                let (clock, prober) = (Rc::clone(&self.clock), Rc::clone(&self.prober));
                let reach = Rc::clone(&self.reach);
                PoolDispatcher::start(clock, prober, reach, self.settings.clone(), &self.own_domain)
            });
            dispatcher.configure(tables, pool, workspaces);
        }
        // A pool that was removed keeps its dispatcher for the requests of older tables that are in
        // flight, but has no classes, so that no new request is queued there.
        for (name, dispatcher) in dispatchers.iter() {
            if !tables.pools.iter().any(|it| it.name == *name) {
                dispatcher.retire(tables.revision);
            }
        }
    }

    /// Waits until the scheduler assigns a backend server to the request.
    ///
    /// # Errors
    /// If the scheduler refuses the request, at admission or while it is queued.
    pub async fn dispatch(&self, request: DispatchRequest<'_>) -> Result<Lease, Refusal> {
        let dispatcher = self.pool_dispatcher(request.pool).ok_or(UNKNOWN_REFUSAL)?;
        dispatcher.dispatch(request).await
    }

    /// The current inputs of a decision about the class, for logs.
    #[must_use]
    pub fn queue_snapshot(&self, pool: &str, class: &str) -> QueueSnapshot {
        self.pool_dispatcher(pool).map(|it| it.queue_snapshot(class)).unwrap_or_default()
    }

    /// The backend servers of a pool in the own failure domain that accept new requests.
    #[must_use]
    pub fn local_servers(&self, pool: &str) -> Vec<Server> {
        self.pool_dispatcher(pool).map(|it| it.local_servers()).unwrap_or_default()
    }

    /// The servers of a pool that get new requests.
    #[must_use]
    pub fn usable_servers(&self, pool: &str) -> Vec<UsableServer> {
        self.pool_dispatcher(pool).map(|it| it.usable_servers()).unwrap_or_default()
    }

    /// Whether a server of the pool can be reached by requests of this kind, as far as known.
    #[must_use]
    pub fn is_reachable_by(&self, pool: &str, repeat: Repeat) -> bool {
        self.pool_dispatcher(pool).is_none_or(|it| it.is_reachable_by(repeat))
    }

    /// Applies the load report of a backend server.
    pub fn report_load(&self, pool: &str, server: &Server, report: &LoadReport) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.report_load(server, report);
        }
    }

    /// Applies the platform's list of a pool's servers; servers that are missing from it stay.
    pub fn update_servers(&self, pool: &str, vms: &[&ListedVm]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.update_servers(vms);
        }
    }

    /// Applies a complete list of a pool's servers; servers that are missing from consecutive
    /// complete lists have left.
    pub fn replace_servers(&self, pool: &str, vms: &[&ListedVm]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.replace_servers(vms);
        }
    }

    /// The hashes of requests that crashed servers, for the other routers of the failure domain.
    #[must_use]
    pub fn export_quarantine(&self) -> QuarantineReport {
        let dispatchers = self.dispatchers.borrow();
        let pools = dispatchers.iter().map(|(pool, dispatcher)| {
            let entries = dispatcher.apply(|scheduler, now| scheduler.export_quarantine(now));
            (pool.clone(), entries)
        });
        QuarantineReport { pools: pools.filter(|(_, it)| !it.is_empty()).collect() }
    }

    /// Imports the quarantine entries of another router.
    pub fn import_quarantine(&self, report: &QuarantineReport) {
        for (pool, entries) in &report.pools {
            self.import_entries(pool, entries);
        }
    }

    /// Imports quarantine entries of one pool.
    pub fn import_entries(&self, pool: &str, entries: &[QuarantineEntry]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.apply_and_run(|scheduler, now| scheduler.import_quarantine(now, entries));
        }
    }

    /// The names of the pools.
    #[must_use]
    pub fn pools(&self) -> Vec<String> {
        self.dispatchers.borrow().keys().cloned().collect()
    }

    /// The parts of the pool's prompts that may crash servers and have changed since the report with
    /// the stamp `acknowledged`.
    #[must_use]
    pub fn part_reports(&self, pool: &str, acknowledged: u64) -> PartReport {
        let dispatcher = self.pool_dispatcher(pool);
        let report = |it: Rc<PoolDispatcher>| {
            it.apply(|scheduler, now| scheduler.part_reports(now, acknowledged))
        };
        dispatcher.map(report).unwrap_or_default()
    }

    /// Imports what the hub knows about parts of the pool's prompts.
    pub fn import_parts(&self, pool: &str, entries: &[PartEntry]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.apply_and_run(|scheduler, now| scheduler.import_parts(now, entries));
        }
    }

    /// Whether a server of the software version may be sent requests of the pool.
    #[must_use]
    pub fn serves_version(&self, pool: &str, version: VersionHash) -> bool {
        self.pool_dispatcher(pool).is_some_and(|it| it.serves_version(version))
    }

    /// The software version of all servers of the pool, if they have had none else for `time`.
    #[must_use]
    pub fn sole_version(&self, pool: &str, time: Duration) -> Option<VersionHash> {
        self.pool_dispatcher(pool)?.sole_version(time)
    }

    /// The known rate limits of all servers.
    #[must_use]
    pub fn limit_entries(&self) -> Vec<LimitEntry> {
        self.dispatchers.borrow().values().flat_map(|it| it.limit_entries()).collect()
    }

    /// Imports what the hub knows of the rate limits of servers; returns the servers of which this
    /// router knows better.
    pub fn import_limits(&self, entries: &[LimitEntry]) -> Vec<ServerHash> {
        self.dispatchers.borrow().values().flat_map(|it| it.import_limits(entries)).collect()
    }

    /// The permits to ask the hub for.
    #[must_use]
    pub fn permit_requests(&self) -> Vec<PermitRequest> {
        self.dispatchers.borrow().values().flat_map(|it| it.permit_requests()).collect()
    }

    /// Applies the hub's answer to the requests for permits, which may grant none.
    pub fn grant_permits(&self, grants: &[PermitGrant]) {
        let dispatchers: Vec<_> = self.dispatchers.borrow().values().cloned().collect();
        for dispatcher in dispatchers {
            dispatcher.grant_permits(grants);
            dispatcher.run_actions();
        }
    }

    /// The status of each of a pool's servers, for the other routers of the failure domain.
    #[must_use]
    pub fn server_statuses(&self, pool: &str) -> Vec<ServerStatus> {
        self.pool_dispatcher(pool).map(|it| it.server_statuses()).unwrap_or_default()
    }

    /// This router's claims on the slots of a pool's servers: its demand and the slots it holds.
    #[must_use]
    pub fn claims(&self, pool: &str) -> Vec<ServerClaim> {
        self.pool_dispatcher(pool).map(|it| it.claims()).unwrap_or_default()
    }

    /// Applies the load report of a server that another router polls; the caller must call
    /// [`Dispatcher::run_actions`] afterwards.
    pub fn report_load_at(&self, pool: &str, addr: SocketAddr, report: &LoadReport) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.report_load_at(addr, report);
        }
    }

    /// The work of this router's requests at each server of a pool.
    #[must_use]
    pub fn own_work(&self, pool: &str) -> Vec<(SocketAddr, PendingWork)> {
        self.pool_dispatcher(pool).map(|it| it.own_work()).unwrap_or_default()
    }

    /// Replaces the known work of the requests of all other routers.
    pub fn set_others_work(
        &self,
        pool: &str,
        work: impl Iterator<Item = (SocketAddr, PendingWork)>,
    ) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.set_others_work(work);
        }
    }

    /// The servers of a pool that this router has found down.
    pub fn down_servers(&self, pool: &str) -> Vec<SocketAddr> {
        self.pool_dispatcher(pool).map(|it| it.down_servers()).unwrap_or_default()
    }

    /// Sets the servers that are down for several routers, of all pools.
    pub fn set_reported_down(&self, servers: &[SocketAddr]) {
        for dispatcher in self.dispatchers.borrow().values() {
            dispatcher.set_reported_down(servers);
        }
    }

    /// The long pauses of lenient streams that this router has measured in a pool.
    pub fn own_pauses(&self, pool: &str) -> Option<MeasuredPauses> {
        self.pool_dispatcher(pool)?.own_pauses()
    }

    /// Sets the long pauses of lenient streams that all routers have measured in a pool.
    pub fn set_common_pauses(&self, pool: &str, pauses: MeasuredPauses) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.set_common_pauses(pauses);
        }
    }

    /// Grants slots of a server, which this router may hold until `expires`.
    pub fn grant_slots(&self, pool: &str, addr: SocketAddr, slots: u32, expires: Instant) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.grant_slots(addr, slots, expires);
        }
    }

    /// Executes the actions that follow from reports and grants.
    pub fn run_actions(&self, pool: &str) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.run_actions();
        }
    }

    fn pool_dispatcher(&self, pool: &str) -> Option<Rc<PoolDispatcher>> {
        self.dispatchers.borrow().get(pool).cloned()
    }
}

/// A server that gets new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsableServer {
    /// Its address.
    pub addr: SocketAddr,
    /// The name that it reports of itself; empty if it is known by its address alone.
    pub name: Rc<str>,
}

/// What a router knows about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The number that grows with each of its restarts.
    pub incarnation: u64,
    /// Whether the platform listed it as leaving.
    pub is_leaving: bool,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
}

/// A router's demand for a backend server and the slots it holds there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerClaim {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The claim on its slots.
    pub claim: Claim,
}

/// A backend server of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server {
    /// The address it listens on.
    pub addr: SocketAddr,
    key: BackendKey,
}

/// Refuses a request whose pool, class or workspace the scheduler does not know.
const UNKNOWN_REFUSAL: Refusal =
    Refusal { reason: RefusalReason::Unknown, retry_after: Duration::from_secs(1) };

/// The number by which the scheduler compares revisions.
fn revision_number(revision: Revision) -> u64 {
    revision.0
}
