//! The scheduler of one router: its state and configuration. The submodules implement the rest by
//! topic.

mod admission;
mod checks;
mod down_servers;
mod events;
mod failing;
mod fragile;
mod hedging;
mod limits;
mod membership;
mod outcomes;
mod pacing;
mod parts;
mod poll;
mod preempt;
mod reach;
mod transitions;
mod versions;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{SecondaryMap, SlotMap};

use crate::{
    backend::Backend,
    hedging::HedgeRefusal,
    keys::{BackendKey, ClassKey, PoolKey, Ticket, WorkspaceKey},
    part_suspects::{PartChange, PartSuspects},
    pool::Pool,
    prompt::{Prompt, RecentPrefixes},
    quarantine::Quarantine,
    rate_limit::{LimitStatement, ServerHash},
    request::{Refusal, Request},
    settings::Settings,
    spec::{ClassSpec, Spec, SpecError, WorkspaceSpec},
};

pub(crate) use down_servers::DownReport;

pub use checks::{ClassCounts, QueueSnapshot};
pub use events::ProbeResult;
pub use failing::FailingChange;
pub use fragile::FragileAnswer;
pub use reach::ReachChange;

/// An action that the router must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the server.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// The server.
        backend: BackendKey,
    },
    /// Answer the caller with a refusal; the ticket is closed.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason, and when the caller may retry.
        refusal: Refusal,
    },
    /// Pause the stream at the server.
    Pause {
        /// The stream.
        ticket: Ticket,
        /// Its server.
        backend: BackendKey,
    },
    /// Resume the paused stream at the server.
    Resume {
        /// The stream.
        ticket: Ticket,
        /// Its server.
        backend: BackendKey,
    },
    /// Send the request a second time, under the ticket `hedge`; the attempt whose first token
    /// arrives first is kept.
    Hedge {
        /// The request that is slow.
        ticket: Ticket,
        /// The ticket of the second attempt.
        hedge: Ticket,
        /// The server of the second attempt.
        backend: BackendKey,
    },
    /// The request is slow, but gets no second attempt.
    HedgeRefused {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: HedgeRefusal,
    },
    /// Cancel the attempt at the server, because the other attempt was faster; the ticket is
    /// closed.
    Cancel {
        /// The attempt.
        ticket: Ticket,
        /// Its server.
        backend: BackendKey,
    },
    /// Check the server's health on a new connection, and report to [`Scheduler::probe_result`].
    Probe {
        /// The server.
        backend: BackendKey,
    },
}

/// The scheduler of one router. The crate's documentation describes the order of calls.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    rng: ChaCha8Rng,
    revision: u64,
    classes: SlotMap<ClassKey, Class>,
    /// The classes of the current revision, most urgent first.
    order: Vec<ClassKey>,
    pools: SlotMap<PoolKey, Pool>,
    workspaces: SlotMap<WorkspaceKey, Workspace>,
    backends: SlotMap<BackendKey, Backend>,
    class_names: BTreeMap<String, ClassKey>,
    pool_names: BTreeMap<String, PoolKey>,
    workspace_names: BTreeMap<String, WorkspaceKey>,
    /// The workspace of all callers that have none, whatever the names of the others are.
    anonymous: WorkspaceKey,
    backend_names: BTreeMap<String, BackendKey>,
    requests: SlotMap<Ticket, Request>,
    /// The queued requests by their dispatch deadline.
    dispatch_deadlines: BTreeSet<(Instant, Ticket)>,
    /// The requests that wait for a retry, by the end of their delay.
    delayed: BTreeSet<(Instant, Ticket)>,
    /// The running requests that may be hedged, by the time of the hedge.
    hedges: BTreeSet<(Instant, Ticket)>,
    /// The servers on which each fingerprint runs, with the number of its requests there.
    fingerprint_hosts: BTreeMap<u64, Vec<(BackendKey, u32)>>,
    quarantine: Quarantine,
    part_suspects: PartSuspects,
    /// The parts refused or cleared since they were last taken.
    part_changes: Vec<PartChange>,
    /// Whether a part was refused since the queues were last searched for requests with one.
    has_new_refused_part: bool,
    /// The known prompts of requests. An entry stays until the slot of its ticket is reused.
    prompts: SecondaryMap<Ticket, Prompt>,
    recent_prefixes: RecentPrefixes,
    /// What the hub has told of the limits of servers that are not listed here yet.
    unlisted_limits: BTreeMap<ServerHash, LimitStatement>,
    /// The servers that have begun or ceased to be avoided since they were last taken.
    failing_changes: Vec<FailingChange>,
    /// The position of the first limited server for which permits are asked.
    first_asked: usize,
    /// The exchanges in which permits were asked for from there.
    unanswered_asks: u32,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Class {
    spec: ClassSpec,
    retired: bool,
}

#[derive(Debug)]
struct Workspace {
    spec: WorkspaceSpec,
    in_flight: u32,
    retired: bool,
}

impl Workspace {
    fn new(spec: WorkspaceSpec) -> Workspace {
        Workspace { spec, in_flight: 0, retired: false }
    }
}

impl Scheduler {
    /// Creates a scheduler without classes, pools or servers.
    pub fn new(settings: Settings) -> Self {
        let mut workspaces = SlotMap::default();
        let anonymous = workspaces.insert(Workspace::new(WorkspaceSpec::default()));
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            // Routers begin at different servers.
            first_asked: settings.seed as usize,
            settings,
            revision: 0,
            classes: SlotMap::default(),
            order: Vec::new(),
            pools: SlotMap::default(),
            workspaces,
            backends: SlotMap::default(),
            class_names: BTreeMap::new(),
            pool_names: BTreeMap::new(),
            workspace_names: BTreeMap::new(),
            anonymous,
            backend_names: BTreeMap::new(),
            requests: SlotMap::default(),
            dispatch_deadlines: BTreeSet::new(),
            delayed: BTreeSet::new(),
            hedges: BTreeSet::new(),
            fingerprint_hosts: BTreeMap::new(),
            quarantine: Quarantine::default(),
            part_suspects: PartSuspects::default(),
            part_changes: Vec::new(),
            has_new_refused_part: false,
            prompts: SecondaryMap::default(),
            recent_prefixes: RecentPrefixes::default(),
            unlisted_limits: BTreeMap::new(),
            failing_changes: Vec::new(),
            unanswered_asks: 0,
            actions: Vec::new(),
        }
    }

    /// Applies a revision of the tables. Rows that keep their name keep their state and key.
    ///
    /// Waiting requests of removed classes and pools are refused by the next poll, and running ones
    /// finish. New requests of removed workspaces are refused.
    ///
    /// # Errors
    /// If the revision is older than the current one, or if a row is invalid. Nothing is applied
    /// then.
    pub fn configure(&mut self, spec: Spec) -> Result<(), SpecError> {
        spec.check()?;
        if spec.revision < self.revision {
            return Err(SpecError::Stale { offered: spec.revision, current: self.revision });
        }
        self.revision = spec.revision;
        self.classes.values_mut().for_each(|it| it.retired = true);
        self.pools.values_mut().for_each(|it| it.retired = true);
        self.workspaces.values_mut().for_each(|it| it.retired = true);
        self.workspaces[self.anonymous].retired = false;
        spec.classes.into_iter().for_each(|it| self.put_class(it));
        spec.pools.into_iter().for_each(|it| self.put_pool(it));
        spec.workspaces.into_iter().for_each(|it| self.put_workspace(it));
        self.order = self.classes.keys().filter(|it| !self.classes[*it].retired).collect();
        self.order.sort_by_key(|it| std::cmp::Reverse(self.classes[*it].spec.priority));
        Ok(())
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The key of a class in the current revision.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_names.get(name).copied().filter(|it| !self.classes[*it].retired)
    }

    /// The key of a pool in the current revision.
    pub fn pool(&self, name: &str) -> Option<PoolKey> {
        self.pool_names.get(name).copied().filter(|it| !self.pools[*it].retired)
    }

    /// The key of a workspace in the current revision.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_names.get(name).copied().filter(|it| !self.workspaces[*it].retired)
    }

    /// The key of the workspace of all callers that have none.
    pub fn anonymous(&self) -> WorkspaceKey {
        self.anonymous
    }

    /// The key of a server that was listed at any time.
    pub fn backend(&self, name: &str) -> Option<BackendKey> {
        self.backend_names.get(name).copied()
    }

    fn put_class(&mut self, spec: ClassSpec) {
        let class = Class { spec, retired: false };
        match self.class_names.get(&class.spec.name) {
            Some(key) => self.classes[*key] = class,
            None => {
                let name = class.spec.name.clone();
                let key = self.classes.insert(class);
                self.class_names.insert(name, key);
            }
        }
    }

    fn put_pool(&mut self, spec: crate::PoolSpec) {
        match self.pool_names.get(&spec.name) {
            Some(key) => {
                let pool = &mut self.pools[*key];
                pool.spec = spec;
                pool.retired = false;
                for member in &pool.members {
                    self.backends[*member].set_configured_slots(pool.spec.slots);
                }
            }
            None => {
                let name = spec.name.clone();
                let key = self.pools.insert(Pool::new(spec));
                self.pool_names.insert(name, key);
            }
        }
    }

    fn put_workspace(&mut self, spec: WorkspaceSpec) {
        match self.workspace_names.get(&spec.name) {
            Some(key) => {
                let workspace = &mut self.workspaces[*key];
                workspace.spec = spec;
                workspace.retired = false;
            }
            None => {
                let name = spec.name.clone();
                let key = self.workspaces.insert(Workspace::new(spec));
                self.workspace_names.insert(name, key);
            }
        }
    }
}
