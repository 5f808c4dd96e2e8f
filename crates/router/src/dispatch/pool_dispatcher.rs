//! The scheduler of one pool, the requests queued for it and its timers.

mod exchange;
mod hedging;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use clock::Clock;
use directory::ListedVm;
use futures::{
    FutureExt, StreamExt,
    channel::{mpsc, oneshot},
    future::{LocalBoxFuture, Shared},
    pin_mut, select_biased,
};
use monoio::time;
use policy::{
    Action, BackendKey, Health, LoadReport, Offer, ProbeResult, QueueSnapshot, Refusal, Repeat,
    Scheduler, Settings, Spec, Ticket, VersionHash,
};
use tables::{Pool, Revision, Tables};

pub(super) use self::hedging::HedgeDecision;
use super::{
    Control, DispatchRequest, Lease, ProbeTarget, Prober, Server, UNKNOWN_REFUSAL, UsableServer,
    decision_log::log_changes, locality::Locality, pool_spec::pool_spec, reach::Reach,
    revision_number, server_list::ServerList,
};
use crate::identity::Workspaces;

/// The result that a queued request receives.
pub(super) type Placement = Result<Server, Refusal>;

/// Dispatches the requests of one pool.
pub(super) struct PoolDispatcher {
    state: RefCell<State>,
    clock: Rc<dyn Clock>,
    prober: Rc<dyn Prober>,
    pub(super) reach: Rc<Reach>,
    /// Makes the timer task read the next wakeup again.
    rearm: mpsc::Sender<()>,
}

struct State {
    scheduler: Scheduler,
    pool: String,
    slots: u32,
    waiting: BTreeMap<Ticket, oneshot::Sender<Placement>>,
    controls: BTreeMap<Ticket, mpsc::UnboundedSender<Control>>,
    /// The attempts that wait for a decision about a second one.
    hedges: BTreeMap<Ticket, oneshot::Sender<HedgeDecision>>,
    servers: ServerList,
    locality: Locality,
    /// When the timer fires next.
    armed: Option<Instant>,
    health_path: String,
    /// Servers that are to be probed.
    probes: Vec<Server>,
    /// The probes under way, which all requests that wait for the result share.
    probing: BTreeMap<BackendKey, SharedProbe>,
}

/// A probe whose result several requests wait for.
type SharedProbe = Shared<LocalBoxFuture<'static, ProbeResult>>;

impl PoolDispatcher {
    /// Creates a dispatcher whose timers run until it is dropped.
    pub(super) fn start(
        clock: Rc<dyn Clock>,
        prober: Rc<dyn Prober>,
        reach: Rc<Reach>,
        settings: Settings,
        own_domain: &str,
    ) -> Rc<PoolDispatcher> {
        let (rearm, rearmed) = mpsc::channel(0);
        let state = State {
            scheduler: Scheduler::new(settings),
            pool: String::new(),
            slots: 0,
            waiting: BTreeMap::new(),
            controls: BTreeMap::new(),
            hedges: BTreeMap::new(),
            servers: ServerList::default(),
            locality: Locality::new(own_domain),
            armed: None,
            health_path: String::new(),
            probes: Vec::new(),
            probing: BTreeMap::new(),
        };
        let dispatcher =
            Rc::new(PoolDispatcher { state: RefCell::new(state), clock, prober, reach, rearm });
        dispatcher.reach.add_pool(&dispatcher);
        monoio::spawn(run_timers(Rc::downgrade(&dispatcher), rearmed));
        dispatcher
    }

    pub(super) fn configure(
        self: &Rc<Self>,
        tables: &Tables,
        pool: &Pool,
        workspaces: &Workspaces,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.pool.clone_from(&pool.name);
        state.slots = pool.in_flight_max;
        state.health_path.clone_from(&pool.health_path);
        let spec = pool_spec(tables, pool, workspaces);
        if let Err(error) = state.scheduler.configure(spec) {
            tracing::error!(pool = %pool.name, %error, "tables not applied");
            return;
        }
        let State { scheduler, servers, locality, .. } = &mut *state;
        locality.apply_table(pool);
        servers.apply_table(scheduler, now, pool);
        drop(state);
        self.run_actions();
    }

    pub(super) fn retire(self: &Rc<Self>, revision: Revision) {
        let spec = Spec { revision: revision_number(revision), ..Spec::default() };
        // The scheduler rejects a revision older than its own, which is fine: nothing changes.
        let _ = self.state.borrow_mut().scheduler.configure(spec);
        self.run_actions();
    }

    pub(super) async fn dispatch(
        self: Rc<Self>,
        request: DispatchRequest<'_>,
    ) -> Result<Lease, Refusal> {
        if request.repeat == Repeat::AtMostOnce {
            // If the router turns out to be cut off, nobody can tell whether the request ran.
            self.reach.await_check().await;
        }
        let offer = self.to_offer(&request)?;
        let ticket = {
            let prompt = request.prompt.clone();
            self.apply(|scheduler, now| scheduler.offer_prompt(now, offer, prompt))?
        };
        if let Some(version) = request.version {
            self.apply(|scheduler, _| scheduler.restrict_version(ticket, version));
        }
        self.apply(|scheduler, _| scheduler.count_prior_attempts(ticket, request.prior_attempts));
        let placed = self.register_waiter(ticket);
        // Dropping the lease while it waits removes the request from the queue.
        let mut lease = Lease::new(Rc::clone(&self), ticket, offer);
        self.run_actions();
        lease.wait_for_server(placed).await?;
        Ok(lease)
    }

    pub(super) fn queue_snapshot(&self, class: &str) -> QueueSnapshot {
        let now = self.clock.now();
        let State { scheduler, pool, .. } = &mut *self.state.borrow_mut();
        let (class, pool) = (scheduler.class(class), scheduler.pool(pool));
        class
            .zip(pool)
            .map(|(class, pool)| scheduler.queue_snapshot(now, class, pool))
            .unwrap_or_default()
    }

    fn to_offer(&self, request: &DispatchRequest<'_>) -> Result<Offer, Refusal> {
        let scheduler = &self.state.borrow().scheduler;
        let workspace = match request.workspace {
            Some(name) => scheduler.workspace(name).ok_or(UNKNOWN_REFUSAL)?,
            None => scheduler.anonymous(),
        };
        Ok(Offer {
            class: scheduler.class(request.class).ok_or(UNKNOWN_REFUSAL)?,
            workspace,
            pool: scheduler.pool(request.pool).ok_or(UNKNOWN_REFUSAL)?,
            prefix_hash: request.prefix_hash,
            request_hash: request.request_hash,
            max_tokens: request.max_tokens,
            repeat: request.repeat,
        })
    }

    /// Registers a queued ticket; the receiver yields its server or its refusal.
    pub(super) fn register_waiter(&self, ticket: Ticket) -> oneshot::Receiver<Placement> {
        self.state.borrow_mut().register_waiter(ticket)
    }

    /// Applies an event to the scheduler and executes the resulting actions.
    pub(super) fn apply_and_run<T>(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Scheduler, Instant) -> T,
    ) -> T {
        let result = self.apply(event);
        self.run_actions();
        result
    }

    /// Applies an event to the scheduler without executing actions.
    pub(super) fn apply<T>(&self, event: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        event(&mut self.state.borrow_mut().scheduler, self.clock.now())
    }

    /// Registers a ticket whose stream the scheduler may pause.
    pub(super) fn register_controls(&self, ticket: Ticket) -> mpsc::UnboundedReceiver<Control> {
        // The scheduler alternates pause and resume, and a relay that lags must read them in order.
        let (sender, receiver) = mpsc::unbounded();
        self.state.borrow_mut().controls.insert(ticket, sender);
        receiver
    }

    pub(super) fn unregister(&self, ticket: Ticket) {
        let mut state = self.state.borrow_mut();
        state.waiting.remove(&ticket);
        state.controls.remove(&ticket);
    }

    pub(super) fn local_servers(&self) -> Vec<Server> {
        let state = self.state.borrow();
        let listed = state.servers.listed().into_iter();
        listed.filter(|it| !state.locality.is_remote(it.addr)).collect()
    }

    pub(super) fn usable_servers(&self) -> Vec<UsableServer> {
        let state = self.state.borrow();
        let is_usable = |it: &Server| {
            matches!(state.scheduler.health(it.key), Some(Health::Up | Health::Suspect))
        };
        let listed = state.servers.listed().into_iter().filter(is_usable);
        listed.map(|it| UsableServer { addr: it.addr, name: state.servers.label(it.key) }).collect()
    }

    pub(super) fn update_servers(self: &Rc<Self>, vms: &[&ListedVm]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { scheduler, servers, pool, locality, .. } = &mut *state;
        locality.apply_platform_list(vms);
        servers.apply_platform_list(scheduler, now, pool, vms);
        drop(state);
        self.run_actions();
    }

    pub(super) fn replace_servers(self: &Rc<Self>, vms: &[&ListedVm]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { scheduler, servers, pool, .. } = &mut *state;
        servers.remove_missing(scheduler, now, pool, vms);
        drop(state);
        self.update_servers(vms);
    }

    /// The name that a server reports of itself; empty if it is known by its address alone.
    pub(super) fn label(&self, server: Server) -> Rc<str> {
        self.state.borrow().servers.label(server.key)
    }

    /// The version of the server's software; empty if it is unknown.
    pub(super) fn software_version(&self, server: Server) -> Rc<str> {
        self.state.borrow().servers.software_version(server.key)
    }

    /// Whether a server of the software version may be sent requests.
    pub(super) fn serves_version(&self, version: VersionHash) -> bool {
        let now = self.clock.now();
        let State { scheduler, pool, .. } = &*self.state.borrow();
        scheduler.pool(pool).is_some_and(|it| scheduler.has_usable_version(now, it, version))
    }

    /// The software version of all servers, if they have had none else for `time`.
    pub(super) fn sole_version(&self, time: Duration) -> Option<VersionHash> {
        let state = self.state.borrow();
        let version = state.servers.sole_version(self.clock.now(), time)?;
        Some(VersionHash::of(&state.pool, &version))
    }

    fn probe_target(&self, server: Server) -> ProbeTarget {
        let state = self.state.borrow();
        let (health_path, label) = (state.health_path.clone(), state.servers.label(server.key));
        ProbeTarget { addr: server.addr, health_path, label }
    }

    pub(super) fn report_load(self: &Rc<Self>, server: &Server, report: &LoadReport) {
        self.apply_load_report(server, report);
        self.run_actions();
    }

    fn apply_load_report(&self, server: &Server, report: &LoadReport) {
        if let Some(incarnation) = report.incarnation {
            self.state.borrow_mut().servers.record_incarnation(server.addr, incarnation);
        }
        self.apply(|scheduler, now| scheduler.load_report(now, server.key, report));
    }

    /// Executes the actions that follow from the applied events.
    pub(super) fn run_actions(self: &Rc<Self>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { scheduler, servers, locality, slots, .. } = &mut *state;
        locality.update_remote_leases(scheduler, servers, now, *slots);
        loop {
            let actions = state.scheduler.poll(now);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute(&mut state, action);
            }
        }
        let wakeup = state.scheduler.next_wakeup(now);
        let is_sooner = match (wakeup, state.armed) {
            (Some(wakeup), Some(armed)) => wakeup < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let probes = std::mem::take(&mut state.probes);
        let State { scheduler, servers, pool, .. } = &mut *state;
        log_changes(scheduler, now, pool, servers);
        drop(state);
        for server in probes {
            drop(self.probe(server));
        }
        if is_sooner {
            // If the channel is full, the timer task is about to rearm anyway.
            let _ = self.rearm.clone().try_send(());
        }
    }

    fn execute(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Dispatch { ticket, backend } => {
                let server = state.servers.find_by_key(backend);
                let waiting = state.waiting.remove(&ticket);
                let delivered = waiting.zip(server).map(|(to, server)| to.send(Ok(server)));
                if !matches!(delivered, Some(Ok(()))) {
                    state.scheduler.cancelled(ticket);
                }
            }
            Action::Refuse { ticket, refusal } => {
                if let Some(to) = state.waiting.remove(&ticket) {
                    // The caller may have abandoned the request.
                    let _ = to.send(Err(refusal));
                }
            }
            Action::Probe { backend } => state.probes.extend(state.servers.find_by_key(backend)),
            Action::Pause { ticket, .. } => state.send_control(ticket, Control::Pause),
            Action::Resume { ticket, .. } => state.send_control(ticket, Control::Resume),
            Action::Hedge { ticket, hedge, backend } => {
                self.start_hedge(state, ticket, hedge, backend);
            }
            Action::HedgeRefused { ticket, reason } => state.refuse_hedge(ticket, reason),
            // The race between the attempts ends this one.
            Action::Cancel { .. } => {}
        }
    }

    /// The servers that count as reachable and may be probed.
    pub(super) fn probe_targets(&self) -> Vec<ProbeTarget> {
        let now = self.clock.now();
        let servers = self.state.borrow().servers.listed();
        let scheduler = &self.state.borrow().scheduler;
        let targets = servers.into_iter().filter(|it| scheduler.may_be_probed(now, it.key));
        targets.map(|it| self.probe_target(it)).collect()
    }

    /// Whether a server can be reached by requests of this kind, as far as known.
    pub(super) fn is_reachable_by(&self, repeat: Repeat) -> bool {
        let State { scheduler, pool, .. } = &*self.state.borrow();
        scheduler.pool(pool).is_none_or(|it| scheduler.is_reachable_by(it, repeat))
    }

    /// Records that no server can be reached.
    pub(super) fn mark_unreachable(self: &Rc<Self>) {
        let servers = self.state.borrow().servers.listed();
        servers.into_iter().for_each(|it| self.prober.close_idle(it.addr));
        let pool = self.state.borrow().pool.clone();
        self.apply_and_run(|scheduler, now| {
            if let Some(pool) = scheduler.pool(&pool) {
                scheduler.cut_off(now, pool);
            }
        });
    }

    /// Probes the health of a server on a new connection and reports the result to the scheduler.
    /// While a probe of the server is under way, its result is awaited instead.
    pub(super) fn probe(self: &Rc<Self>, server: Server) -> SharedProbe {
        if let Some(probe) = self.state.borrow().probing.get(&server.key) {
            return probe.clone();
        }
        let probe = self.prober.probe(&self.probe_target(server));
        let probe = telemetry::contain("probe", server.addr, probe);
        let dispatcher = Rc::downgrade(self);
        let probe = async move {
            // A probe that panics ends without an answer, as one of a dead server.
            let result = probe.await.unwrap_or(ProbeResult::Dead);
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.state.borrow_mut().probing.remove(&server.key);
                dispatcher.report_probe_result(server, result);
            }
            result
        };
        let probe = probe.boxed_local().shared();
        self.state.borrow_mut().probing.insert(server.key, probe.clone());
        // The probe ends even if no request waits for it any more.
        monoio::spawn(telemetry::contain("probe", server.addr, probe.clone()));
        probe
    }

    fn report_probe_result(self: &Rc<Self>, server: Server, result: ProbeResult) {
        tracing::info!(event = "probed", server = %server.addr, ?result);
        if result != ProbeResult::Dead {
            self.reach.heard();
        }
        self.apply_and_run(|scheduler, now| scheduler.probe_result(server.key, now, result));
    }
}

impl State {
    fn send_control(&self, ticket: Ticket, control: Control) {
        if let Some(relay) = self.controls.get(&ticket) {
            // Sending fails if the relay has ended; then no control is needed.
            let _ = relay.unbounded_send(control);
        }
    }

    fn register_waiter(&mut self, ticket: Ticket) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        receiver
    }
}

/// Runs the actions that become due without an event, until the dispatcher is dropped.
async fn run_timers(dispatcher: Weak<PoolDispatcher>, mut rearmed: mpsc::Receiver<()>) {
    loop {
        let Some(wait) = arm(&dispatcher) else { return };
        let elapsed = async {
            match wait {
                Some(wait) => time::sleep(wait).await,
                None => futures::future::pending().await,
            }
        }
        .fuse();
        pin_mut!(elapsed);
        select_biased! {
            // The channel closes when the dispatcher is dropped.
            rearmed = rearmed.next() => if rearmed.is_none() { return },
            () = elapsed => {}
        }
        let Some(dispatcher) = dispatcher.upgrade() else { return };
        dispatcher.run_actions();
    }
}

/// Stores the next wakeup and returns the time until it; `None` when the dispatcher is dropped.
fn arm(dispatcher: &Weak<PoolDispatcher>) -> Option<Option<Duration>> {
    let dispatcher = dispatcher.upgrade()?;
    let now = dispatcher.clock.now();
    let mut state = dispatcher.state.borrow_mut();
    state.armed = state.scheduler.next_wakeup(now);
    Some(state.armed.map(|it| it.saturating_duration_since(now)))
}
