//! The scheduler of one pool with the requests that wait for it.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Instant,
};

use clock::Clock;
use directory::ListedVm;
use futures::{
    FutureExt, StreamExt,
    channel::{mpsc, oneshot},
    future::LocalBoxFuture,
    pin_mut, select_biased,
};
use monoio::time;
use policy::{
    Action, ClassSpec, LoadReport, Offer, Pausing, PendingWork, PoolSpec, ProbeResult,
    QueueSnapshot, Refusal, Scheduler, Settings, Spec, Ticket, WorkspaceSpec,
};
use tables::{Pool, PoolKind, Revision, Route, Tables};

use super::{
    Control, DispatchRequest, Lease, ProbeTarget, Prober, Server, ServerClaim, ServerStatus,
    UNKNOWN, locality::Locality, revision_number, server_list::ServerList,
};
use crate::identity::{ANONYMOUS, Workspaces};

/// Tables count urgency downwards and the scheduler upwards.
const PRIORITY_TOP: u8 = u8::MAX;

/// What a waiting request is told.
pub(super) type Placement = Result<Server, Refusal>;

pub(super) struct PoolDispatcher {
    state: RefCell<State>,
    clock: Rc<dyn Clock>,
    prober: Rc<dyn Prober>,
    rearm: mpsc::Sender<()>,
}

struct State {
    scheduler: Scheduler,
    pool: String,
    slots: u32,
    waiting: BTreeMap<Ticket, oneshot::Sender<Placement>>,
    controls: BTreeMap<Ticket, mpsc::UnboundedSender<Control>>,
    servers: ServerList,
    locality: Locality,
    armed: Option<Instant>,
    health_path: String,
    /// Servers whose health is to be asked for next.
    probes: Vec<Server>,
}

impl PoolDispatcher {
    /// A desk whose timers run until it is dropped.
    pub(super) fn start(
        clock: Rc<dyn Clock>,
        prober: Rc<dyn Prober>,
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
            servers: ServerList::default(),
            locality: Locality::new(own_domain),
            armed: None,
            health_path: String::new(),
            probes: Vec::new(),
        };
        let dispatcher =
            Rc::new(PoolDispatcher { state: RefCell::new(state), clock, prober, rearm });
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
        let spec = spec(tables, pool, workspaces);
        if let Err(error) = state.scheduler.configure(spec) {
            tracing::error!(pool = %pool.name, %error, "tables not applied");
            return;
        }
        let State { scheduler, servers, locality, .. } = &mut *state;
        locality.follow_table(pool);
        servers.follow_table(scheduler, now, pool);
        drop(state);
        self.run_actions();
    }

    pub(super) fn retire(self: &Rc<Self>, revision: Revision) {
        let spec = Spec { revision: revision_number(revision), ..Spec::default() };
        // An older revision than the one in force changes nothing, which is what is wanted.
        let _ = self.state.borrow_mut().scheduler.configure(spec);
        self.run_actions();
    }

    pub(super) async fn dispatch(
        self: Rc<Self>,
        request: DispatchRequest<'_>,
    ) -> Result<Lease, Refusal> {
        let offer = self.to_offer(&request)?;
        let ticket = {
            let prompt = request.prompt.clone();
            self.note(|scheduler, now| scheduler.offer_prompt(now, offer, prompt))?
        };
        let placed = self.await_place(ticket);
        // Dropping the lease while it waits takes the request out of the queue.
        let mut lease = Lease::new(Rc::clone(&self), ticket, offer);
        self.run_actions();
        lease.wait(placed).await?;
        Ok(lease)
    }

    pub(super) fn outlook(&self, class: &str) -> QueueSnapshot {
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
        Ok(Offer {
            class: scheduler.class(request.class).ok_or(UNKNOWN)?,
            workspace: scheduler.workspace(request.workspace).ok_or(UNKNOWN)?,
            pool: scheduler.pool(request.pool).ok_or(UNKNOWN)?,
            prefix_hash: request.prefix_hash,
            request_hash: request.request_hash,
            max_tokens: request.max_tokens,
            repeat: request.repeat,
        })
    }

    /// Registers a ticket that the scheduler will place again.
    pub(super) fn await_place(&self, ticket: Ticket) -> oneshot::Receiver<Placement> {
        self.state.borrow_mut().await_place(ticket)
    }

    /// Tells the scheduler something and carries out what follows from it.
    pub(super) fn tell<T>(self: &Rc<Self>, event: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        let told = self.note(event);
        self.run_actions();
        told
    }

    /// Tells the scheduler something that calls for no decision.
    pub(super) fn note<T>(&self, event: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        event(&mut self.state.borrow_mut().scheduler, self.clock.now())
    }

    /// Registers a ticket whose stream the scheduler may pause.
    pub(super) fn await_controls(&self, ticket: Ticket) -> mpsc::UnboundedReceiver<Control> {
        // The scheduler pauses and resumes by turns, and a relay that lags reads them in order.
        let (sender, receiver) = mpsc::unbounded();
        self.state.borrow_mut().controls.insert(ticket, sender);
        receiver
    }

    pub(super) fn forget(&self, ticket: Ticket) {
        let mut state = self.state.borrow_mut();
        state.waiting.remove(&ticket);
        state.controls.remove(&ticket);
    }

    pub(super) fn local_servers(&self) -> Vec<Server> {
        let state = self.state.borrow();
        let listed = state.servers.listed().into_iter();
        listed.filter(|it| !state.locality.is_remote(it.addr)).collect()
    }

    pub(super) fn update_servers(self: &Rc<Self>, vms: &[&ListedVm]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { scheduler, servers, pool, locality, .. } = &mut *state;
        locality.follow_platform(vms);
        servers.follow_platform(scheduler, now, pool, vms);
        drop(state);
        self.run_actions();
    }

    pub(super) fn replace_servers(self: &Rc<Self>, vms: &[&ListedVm]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { scheduler, servers, pool, .. } = &mut *state;
        servers.drop_missing(scheduler, now, pool, vms);
        drop(state);
        self.update_servers(vms);
    }

    /// The name under which a server answers; empty if it is known by its address alone.
    pub(super) fn label(&self, server: Server) -> Rc<str> {
        self.state.borrow().servers.label(server.key)
    }

    fn probe_target(&self, server: Server) -> ProbeTarget {
        let state = self.state.borrow();
        let (health_path, label) = (state.health_path.clone(), state.servers.label(server.key));
        ProbeTarget { addr: server.addr, health_path, label }
    }

    pub(super) fn report_load(self: &Rc<Self>, server: &Server, report: &LoadReport) {
        self.note_report(server, report);
        self.run_actions();
    }

    fn note_report(&self, server: &Server, report: &LoadReport) {
        if let Some(incarnation) = report.incarnation {
            self.state.borrow_mut().servers.note_incarnation(server.addr, incarnation);
        }
        self.note(|scheduler, now| scheduler.load_report(now, server.key, report));
    }

    /// What this desk knows of the servers in its failure domain, whose hub divides them.
    pub(super) fn server_statuses(&self) -> Vec<ServerStatus> {
        let state = self.state.borrow();
        let mut seen = state.servers.server_statuses(state.slots);
        seen.retain(|it| !state.locality.is_remote(it.addr));
        seen
    }

    /// What this router could use of each server, and holds there.
    pub(super) fn claims(&self) -> Vec<ServerClaim> {
        let near = self.local_servers();
        let scheduler = &self.state.borrow().scheduler;
        let claim = |it: Server| ServerClaim { addr: it.addr, claim: scheduler.claim(it.key) };
        near.into_iter().map(claim).collect()
    }

    /// Takes in the load report of a server that another router reads; [`PoolDispatcher::run_actions`] is to follow.
    pub(super) fn report_load_at(self: &Rc<Self>, addr: SocketAddr, report: &LoadReport) {
        let server = self.state.borrow().servers.at(addr);
        if let Some(server) = server {
            self.note_report(&server, report);
        }
    }

    pub(super) fn own_work(&self) -> Vec<(SocketAddr, PendingWork)> {
        let state = self.state.borrow();
        let servers = state.servers.listed().into_iter();
        let work = servers.map(|it| (it.addr, state.scheduler.own_work(it.key)));
        work.filter(|it| it.1 != PendingWork::default()).collect()
    }

    /// Takes in what the requests of all other routers take, in place of what was told before.
    pub(super) fn set_others_work(&self, work: impl Iterator<Item = (SocketAddr, PendingWork)>) {
        let now = self.clock.now();
        let State { scheduler, servers, pool, .. } = &mut *self.state.borrow_mut();
        let Some(pool) = scheduler.pool(pool) else { return };
        let known = work.filter_map(|(addr, it)| Some((servers.at(addr)?.key, it)));
        let known: Vec<_> = known.collect();
        scheduler.set_others_work(now, pool, &known);
    }

    /// Takes in the slots that this router may hold of a server.
    pub(super) fn grant_slots(self: &Rc<Self>, addr: SocketAddr, slots: u32, expires: Instant) {
        let state = self.state.borrow();
        let server = state.servers.at(addr).filter(|it| !state.locality.is_remote(it.addr));
        drop(state);
        if let Some(server) = server {
            self.note(|scheduler, _| scheduler.set_lease(server.key, slots, expires));
        }
    }

    /// Carries out what follows from what was noted.
    pub(super) fn run_actions(self: &Rc<Self>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { scheduler, servers, locality, slots, .. } = &mut *state;
        locality.decide(scheduler, servers, now, *slots);
        loop {
            let actions = state.scheduler.poll(now);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.carry_out(&mut state, action);
            }
        }
        let wakeup = state.scheduler.next_wakeup(now);
        let is_sooner = match (wakeup, state.armed) {
            (Some(wakeup), Some(armed)) => wakeup < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let probes = std::mem::take(&mut state.probes);
        drop(state);
        for server in probes {
            self.start_probe(server);
        }
        if is_sooner {
            // A full channel already makes the timers look again.
            let _ = self.rearm.clone().try_send(());
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Dispatch { ticket, backend } => {
                let server = state.servers.find(backend);
                let waiting = state.waiting.remove(&ticket);
                let taken = waiting.zip(server).map(|(to, server)| to.send(Ok(server)));
                if !matches!(taken, Some(Ok(()))) {
                    state.scheduler.cancelled(ticket);
                }
            }
            Action::Refuse { ticket, refusal } => {
                if let Some(to) = state.waiting.remove(&ticket) {
                    // The request may have been given up by its caller.
                    let _ = to.send(Err(refusal));
                }
            }
            Action::Probe { backend } => state.probes.extend(state.servers.find(backend)),
            Action::Pause { ticket, .. } => state.control(ticket, Control::Pause),
            Action::Resume { ticket, .. } => state.control(ticket, Control::Resume),
            // The classes are configured without hedging, so these do not come.
            Action::Hedge { .. } | Action::Cancel { .. } => {
                tracing::warn!(pool = %state.pool, ?action, "action not supported");
            }
        }
    }

    fn start_probe(self: &Rc<Self>, server: Server) {
        let (dispatcher, probe) = (Rc::downgrade(self), self.probe(server));
        monoio::spawn(async move {
            let result = probe.await;
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.probed(server, result);
            }
        });
    }

    pub(super) fn probed(self: &Rc<Self>, server: Server, result: ProbeResult) {
        tracing::info!(server = %server.addr, ?result, "probed");
        self.tell(|scheduler, now| scheduler.probe_result(server.key, now, result));
    }

    /// Asks a server for its health on a new connection.
    pub(super) fn probe(&self, server: Server) -> LocalBoxFuture<'static, ProbeResult> {
        self.prober.probe(&self.probe_target(server))
    }
}

impl State {
    fn control(&self, ticket: Ticket, control: Control) {
        if let Some(relay) = self.controls.get(&ticket) {
            // A relay that has ended needs no control.
            let _ = relay.unbounded_send(control);
        }
    }

    fn await_place(&mut self, ticket: Ticket) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        receiver
    }
}

/// Wakes the scheduler whenever it has work without an event.
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
            // The channel ends with the desk.
            rearmed = rearmed.next() => if rearmed.is_none() { return },
            () = elapsed => {}
        }
        let Some(dispatcher) = dispatcher.upgrade() else { return };
        dispatcher.run_actions();
    }
}

/// Notes and returns the time until the next wakeup; nothing when the desk is gone.
fn arm(dispatcher: &Weak<PoolDispatcher>) -> Option<Option<std::time::Duration>> {
    let dispatcher = dispatcher.upgrade()?;
    let now = dispatcher.clock.now();
    let mut state = dispatcher.state.borrow_mut();
    state.armed = state.scheduler.next_wakeup(now);
    Some(state.armed.map(|it| it.saturating_duration_since(now)))
}

fn spec(tables: &Tables, pool: &Pool, workspaces: &Workspaces) -> Spec {
    let routes =
        tables.routes.iter().filter(|it| it.pools().any(|it| tables.pool(it).name == pool.name));
    let anonymous = WorkspaceSpec { name: ANONYMOUS.to_owned(), ..WorkspaceSpec::default() };
    let known = workspaces.iter().map(|it| WorkspaceSpec {
        name: it.name.to_string(),
        weight: it.weight.max(1),
        in_flight_limit: it.in_flight_max,
    });
    let tabled = tables
        .workspaces
        .iter()
        .map(|it| WorkspaceSpec { name: it.name.clone(), ..WorkspaceSpec::default() });
    Spec {
        revision: revision_number(tables.revision),
        classes: routes.map(class_spec).collect(),
        pools: vec![PoolSpec {
            name: pool.name.clone(),
            slots: pool.in_flight_max,
            pausing: match pool.kind {
                PoolKind::Engine => Pausing::Supported,
                PoolKind::Service => Pausing::Unsupported,
            },
            ..PoolSpec::default()
        }],
        workspaces: known.chain(tabled).chain([anonymous]).collect(),
    }
}

fn class_spec(route: &Route) -> ClassSpec {
    let default = ClassSpec::default();
    let whole_target_ms = route.targets.whole_ms.unwrap_or(route.deadline_ms);
    ClassSpec {
        name: route.class.clone(),
        priority: PRIORITY_TOP - route.priority.0,
        share_permille: route.share_permille,
        first_token_target_ms: route.targets.first_token_ms.unwrap_or(whole_target_ms),
        between_token_target_ms: route
            .targets
            .between_tokens_ms
            .unwrap_or(default.between_token_target_ms),
        whole_target_ms,
        deadline_ms: route.deadline_ms,
        queue_limit: route.queue_max as usize,
        retry_budget_permille: route.retry_budget_permille,
        max_attempts: route.retries_max + 1,
        ..default
    }
}
