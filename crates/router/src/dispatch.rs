//! Waiting for a backend server: the scheduler of each pool, driven by events and timers.
//!
//! `policy` decides and this module carries out: it wakes the request that a decision concerns,
//! probes the servers that a decision names, and keeps the timers.

mod lease;
mod locality;
mod pool_dispatcher;
mod server_list;

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Instant};

use clock::Clock;
use directory::ListedVm;
use futures::future::LocalBoxFuture;
use policy::{
    BackendKey, LoadReport, PendingWork, ProbeResult, Prompt, QuarantineEntry, QueueSnapshot,
    Refusal, RefusalReason, Repeat, Settings, leases::Claim,
};
use tables::{Revision, Tables};

pub use self::lease::{Control, Lease, RetryResult};
use self::pool_dispatcher::PoolDispatcher;
use crate::{identity::Workspaces, quarantine_exchange::QuarantineReport};

/// A backend server whose health is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The path of its health.
    pub health_path: String,
    /// The name under which it answers; empty if it is known by its address alone.
    pub label: Rc<str>,
}

/// Asks a backend server for its health on a new connection.
pub trait Prober {
    /// Tells whether the server answers.
    fn probe(&self, target: &ProbeTarget) -> LocalBoxFuture<'static, ProbeResult>;
}

/// A request that waits for a backend server.
#[derive(Debug, Clone, Copy)]
pub struct DispatchRequest<'a> {
    /// The pool that serves it.
    pub pool: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Who asks.
    pub workspace: &'a str,
    /// Hash of the prompt's leading part; zero for none.
    pub prefix_hash: u64,
    /// Fingerprint of the whole request, equal for a resend.
    pub request_hash: u64,
    /// The most tokens of the answer, if the caller limits them.
    pub max_tokens: Option<u32>,
    /// The prompt in parts; without parts if it is not known.
    pub prompt: &'a Prompt,
    /// Whether it may run more than once.
    pub repeat: Repeat,
}

/// The schedulers of all pools.
pub struct Dispatcher {
    dispatchers: RefCell<BTreeMap<String, Rc<PoolDispatcher>>>,
    clock: Rc<dyn Clock>,
    prober: Rc<dyn Prober>,
    settings: Settings,
    own_domain: String,
}

impl Dispatcher {
    /// A dispatcher without pools in the failure domain `own_domain`; with an empty name all
    /// servers count as near.
    #[must_use]
    pub fn new(
        clock: Rc<dyn Clock>,
        prober: Rc<dyn Prober>,
        settings: Settings,
        own_domain: &str,
    ) -> Dispatcher {
        let own_domain = own_domain.to_owned();
        Dispatcher { dispatchers: RefCell::default(), clock, prober, settings, own_domain }
    }

    /// Puts `tables` in force; what waits or runs goes on under them.
    pub fn configure(&self, tables: &Tables, workspaces: &Workspaces) {
        let mut dispatchers = self.dispatchers.borrow_mut();
        for pool in &tables.pools {
            let dispatcher = dispatchers.entry(pool.name.clone()).or_insert_with(|| {
                let (clock, prober) = (Rc::clone(&self.clock), Rc::clone(&self.prober));
                PoolDispatcher::start(clock, prober, self.settings.clone(), &self.own_domain)
            });
            dispatcher.configure(tables, pool, workspaces);
        }
        // A pool that is gone keeps its desk while requests of older tables run, but gets no
        // class, so that nothing new waits there.
        for (name, dispatcher) in dispatchers.iter() {
            if !tables.pools.iter().any(|it| it.name == *name) {
                dispatcher.retire(tables.revision);
            }
        }
    }

    /// Waits until a backend server is free for the request.
    ///
    /// # Errors
    /// When the scheduler refuses it, at once or while it waits.
    pub async fn dispatch(&self, request: DispatchRequest<'_>) -> Result<Lease, Refusal> {
        let dispatcher = self.pool_dispatcher(request.pool).ok_or(UNKNOWN)?;
        dispatcher.dispatch(request).await
    }

    /// What a decision about the class goes by now, for logs.
    #[must_use]
    pub fn outlook(&self, pool: &str, class: &str) -> QueueSnapshot {
        self.pool_dispatcher(pool).map(|it| it.outlook(class)).unwrap_or_default()
    }

    /// The backend servers of a pool in the own failure domain that are not gone.
    #[must_use]
    pub fn local_servers(&self, pool: &str) -> Vec<Server> {
        self.pool_dispatcher(pool).map(|it| it.local_servers()).unwrap_or_default()
    }

    /// Takes in the load report of a backend server.
    pub fn report_load(&self, pool: &str, server: &Server, report: &LoadReport) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.report_load(server, report);
        }
    }

    /// Takes in the platform's list of a pool's servers.
    pub fn update_servers(&self, pool: &str, vms: &[&ListedVm]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.update_servers(vms);
        }
    }

    /// Takes in a whole list of a pool's servers, from which the others are missing because they
    /// have left.
    pub fn replace_servers(&self, pool: &str, vms: &[&ListedVm]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.replace_servers(vms);
        }
    }

    /// The fingerprints that crashed servers, for the other routers of the failure domain.
    #[must_use]
    pub fn export_quarantine(&self) -> QuarantineReport {
        let dispatchers = self.dispatchers.borrow();
        let pools = dispatchers.iter().map(|(pool, dispatcher)| {
            let entries = dispatcher.note(|scheduler, now| scheduler.export_quarantine(now));
            (pool.clone(), entries)
        });
        QuarantineReport { pools: pools.filter(|(_, it)| !it.is_empty()).collect() }
    }

    /// Takes in the fingerprints of another router.
    pub fn import_quarantine(&self, report: &QuarantineReport) {
        for (pool, entries) in &report.pools {
            self.import_entries(pool, entries);
        }
    }

    /// Takes in fingerprints of one pool.
    pub fn import_entries(&self, pool: &str, entries: &[QuarantineEntry]) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.tell(|scheduler, now| scheduler.import_quarantine(now, entries));
        }
    }

    /// What is known of a pool's servers, for the failure domain.
    #[must_use]
    pub fn server_statuses(&self, pool: &str) -> Vec<ServerStatus> {
        self.pool_dispatcher(pool).map(|it| it.server_statuses()).unwrap_or_default()
    }

    /// What this router could use of a pool's servers, and holds there.
    #[must_use]
    pub fn claims(&self, pool: &str) -> Vec<ServerClaim> {
        self.pool_dispatcher(pool).map(|it| it.claims()).unwrap_or_default()
    }

    /// Takes in the load report of a server that another router reads; [`Dispatcher::run_actions`] is to
    /// follow.
    pub fn report_load_at(&self, pool: &str, addr: SocketAddr, report: &LoadReport) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.report_load_at(addr, report);
        }
    }

    /// What this router's requests take at each server of a pool.
    #[must_use]
    pub fn own_work(&self, pool: &str) -> Vec<(SocketAddr, PendingWork)> {
        self.pool_dispatcher(pool).map(|it| it.own_work()).unwrap_or_default()
    }

    /// Takes in what the requests of all other routers take, in place of what was told before.
    pub fn set_others_work(
        &self,
        pool: &str,
        work: impl Iterator<Item = (SocketAddr, PendingWork)>,
    ) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.set_others_work(work);
        }
    }

    /// Takes in the slots of a server that this router may hold until `expires`.
    pub fn grant_slots(&self, pool: &str, addr: SocketAddr, slots: u32, expires: Instant) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.grant_slots(addr, slots, expires);
        }
    }

    /// Carries out what follows from reports and grants.
    pub fn run_actions(&self, pool: &str) {
        if let Some(dispatcher) = self.pool_dispatcher(pool) {
            dispatcher.run_actions();
        }
    }

    fn pool_dispatcher(&self, pool: &str) -> Option<Rc<PoolDispatcher>> {
        self.dispatchers.borrow().get(pool).cloned()
    }
}

/// What a router knows of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The number that its restarts raise.
    pub incarnation: u64,
    /// Whether the platform said that it is leaving.
    pub is_leaving: bool,
    /// How many requests it takes at a time.
    pub slots: u32,
}

/// What a router could use of a backend server, and holds there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerClaim {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The claim on its slots.
    pub claim: Claim,
}

/// A backend server of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    key: BackendKey,
}

const UNKNOWN: Refusal =
    Refusal { reason: RefusalReason::Unknown, retry_after: std::time::Duration::from_secs(1) };

/// The number that the scheduler compares revisions by.
fn revision_number(revision: Revision) -> u64 {
    revision.0
}
