//! A router whose decisions come from the policy crate.

use std::{collections::BTreeMap, time::Instant};

use policy::{
    Action, BackendEntry, BackendKey, ClassKey, Execution, Failure, LoadReport, Offer, Outcome,
    PoolKey, PoolSpec, ProbeResult, Repeat, RetryDecision, Scheduler, Settings, Spec, Ticket,
    WorkspaceKey, WorkspaceSpec, leases::Claim,
};

use crate::{
    router::{AttemptFailure, AttemptId, Command, Job, RetryOutcome, Router},
    workload::Workload,
};

/// Width of the attempt counter in an attempt ID; the bits above it hold the router's index.
const ATTEMPT_BITS: u32 = 40;

/// One router with its own [`Scheduler`].
pub struct PolicyRouter {
    scheduler: Scheduler,
    classes: Vec<ClassKey>,
    workspaces: Vec<WorkspaceKey>,
    pool: PoolKey,
    backend_of: BTreeMap<usize, BackendKey>,
    server_of: BTreeMap<BackendKey, usize>,
    next_attempt: u64,
    ticket_states: BTreeMap<Ticket, TicketState>,
    attempt_tickets: BTreeMap<AttemptId, Ticket>,
    job_tickets: BTreeMap<usize, Ticket>,
}

#[derive(Debug, Clone, Copy)]
struct TicketState {
    job: usize,
    attempt: Option<(AttemptId, usize)>,
    has_token: bool,
}

impl PolicyRouter {
    /// Creates a router that dispatches to the given servers of the workload.
    pub fn new(
        workload: &Workload,
        idx: usize,
        now: Instant,
        settings: Settings,
        servers: impl Iterator<Item = usize>,
    ) -> Self {
        let mut scheduler = Scheduler::new(settings);
        let workspaces = Workload::workspaces();
        let spec = Spec {
            revision: 1,
            classes: workload.classes.clone(),
            pools: vec![PoolSpec {
                name: "model".to_owned(),
                slots: workload.engine.batch_max,
                ..PoolSpec::default()
            }],
            workspaces: workspaces
                .map(|name| WorkspaceSpec { name, ..WorkspaceSpec::default() })
                .collect(),
        };
        scheduler.configure(spec).expect("the workload's classes are valid");
        let pool = scheduler.pool("model").expect("the pool was configured above");
        let classes = workload.classes.iter().filter_map(|it| scheduler.class(&it.name)).collect();
        let workspaces = Workload::workspaces().filter_map(|it| scheduler.workspace(&it)).collect();
        let mut router = Self {
            scheduler,
            classes,
            workspaces,
            pool,
            backend_of: BTreeMap::new(),
            server_of: BTreeMap::new(),
            next_attempt: (idx as u64) << ATTEMPT_BITS,
            ticket_states: BTreeMap::new(),
            attempt_tickets: BTreeMap::new(),
            job_tickets: BTreeMap::new(),
        };
        servers.for_each(|it| router.add_server(now, it));
        router
    }

    fn add_server(&mut self, now: Instant, server: usize) {
        let name = format!("server-{server}");
        let entry = BackendEntry { name: &name, pool: self.pool, incarnation: 1 };
        let key = self.scheduler.backend_live(now, &entry).expect("the pool is configured");
        self.backend_of.insert(server, key);
        self.server_of.insert(key, server);
    }

    fn issue_command(&mut self, now: Instant, action: Action) -> Option<Command> {
        match action {
            Action::Dispatch { ticket, backend } => {
                let command = self.send(now, ticket, backend);
                self.scheduler.await_hedge(ticket, now);
                command
            }
            Action::Hedge { ticket, hedge, backend } => {
                let job = self.ticket_states.get(&ticket)?.job;
                self.ticket_states
                    .insert(hedge, TicketState { job, attempt: None, has_token: false });
                self.send(now, hedge, backend)
            }
            Action::HedgeRefused { .. } => None,
            Action::Refuse { ticket, .. } => {
                let job = self.remove_ticket(ticket)?.job;
                Some(Command::Refuse { job })
            }
            Action::Pause { ticket, .. } => {
                let (attempt, server) = self.ticket_states.get(&ticket)?.attempt?;
                Some(Command::Pause(attempt, server))
            }
            Action::Resume { ticket, .. } => {
                let (attempt, server) = self.ticket_states.get(&ticket)?.attempt?;
                Some(Command::Resume(attempt, server))
            }
            Action::Cancel { ticket, .. } => {
                let (attempt, server) = self.remove_ticket(ticket)?.attempt?;
                Some(Command::Cancel(attempt, server))
            }
            Action::Probe { backend } => Some(Command::Probe(self.server_of[&backend])),
        }
    }

    fn send(&mut self, now: Instant, ticket: Ticket, backend: BackendKey) -> Option<Command> {
        self.next_attempt += 1;
        let (attempt, server) = (AttemptId(self.next_attempt), self.server_of[&backend]);
        let state = self.ticket_states.get_mut(&ticket)?;
        state.attempt = Some((attempt, server));
        self.attempt_tickets.insert(attempt, ticket);
        self.scheduler.dispatched(ticket, now);
        Some(Command::Send { attempt, job: state.job, server })
    }

    fn remove_ticket(&mut self, ticket: Ticket) -> Option<TicketState> {
        let state = self.ticket_states.remove(&ticket)?;
        if let Some((attempt, _)) = state.attempt {
            self.attempt_tickets.remove(&attempt);
        }
        if self.job_tickets.get(&state.job) == Some(&ticket) {
            self.job_tickets.remove(&state.job);
        }
        Some(state)
    }
}

impl Router for PolicyRouter {
    fn arrive(&mut self, now: Instant, job: &Job) -> bool {
        let offer = Offer {
            class: self.classes[job.class],
            workspace: self.workspaces[job.workspace],
            pool: self.pool,
            prefix_hash: job.prefix_hash,
            request_hash: job.idx as u64 + 1,
            max_tokens: None,
            repeat: Repeat::Idempotent,
        };
        let Ok(ticket) = self.scheduler.offer(now, offer) else { return false };
        let state = TicketState { job: job.idx, attempt: None, has_token: false };
        self.ticket_states.insert(ticket, state);
        self.job_tickets.insert(job.idx, ticket);
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<Command> {
        let actions = self.scheduler.poll(now);
        actions.into_iter().filter_map(|it| self.issue_command(now, it)).collect()
    }

    fn wakeup(&self, now: Instant) -> Option<Instant> {
        self.scheduler.next_wakeup(now)
    }

    fn tokens(&mut self, now: Instant, attempt: AttemptId, count: u32) {
        let Some(ticket) = self.attempt_tickets.get(&attempt).copied() else { return };
        let Some(state) = self.ticket_states.get_mut(&ticket) else { return };
        if state.has_token {
            self.scheduler.tokens(ticket, now, count);
            return;
        }
        state.has_token = true;
        let job = state.job;
        self.job_tickets.insert(job, ticket);
        self.scheduler.first_token(ticket, now);
    }

    fn finished(&mut self, now: Instant, attempt: AttemptId, tokens: u32) {
        let Some(ticket) = self.attempt_tickets.get(&attempt).copied() else { return };
        self.remove_ticket(ticket);
        self.scheduler.finished(ticket, now, Outcome::Complete { tokens });
    }

    fn failed(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> RetryOutcome {
        let Some(ticket) = self.attempt_tickets.remove(&attempt) else { return RetryOutcome::Lost };
        let (failure, execution) = match failure {
            AttemptFailure::Refused => (Failure::ConnectRefused, Execution::NotRun),
            AttemptFailure::ResetBeforeToken => (Failure::Reset, Execution::MayHaveRun),
            AttemptFailure::ResetAfterToken => (Failure::Reset, Execution::Ran),
            AttemptFailure::Overloaded => (Failure::Overloaded, Execution::NotRun),
        };
        let outcome = Outcome::Failed(failure, execution);
        match self.scheduler.retry(ticket, outcome, now) {
            RetryDecision::Retry { .. } => RetryOutcome::Retried,
            RetryDecision::GiveUp(policy::GiveUp::OtherAttemptRunning) => {
                self.ticket_states.remove(&ticket);
                RetryOutcome::Retried
            }
            RetryDecision::GiveUp(_) => {
                self.remove_ticket(ticket);
                RetryOutcome::Lost
            }
        }
    }

    fn deadline_expired(&mut self, _now: Instant, job: usize) -> Option<(AttemptId, usize)> {
        let ticket = self.job_tickets.get(&job).copied()?;
        self.scheduler.cancelled(ticket);
        self.remove_ticket(ticket)?.attempt
    }

    fn report(&mut self, now: Instant, server: usize, report: &LoadReport) {
        if let Some(backend) = self.backend_of.get(&server) {
            self.scheduler.load_report(now, *backend, report);
        }
    }

    fn probed(&mut self, now: Instant, server: usize, incarnation: Option<u64>) {
        let result = match incarnation {
            Some(incarnation) => ProbeResult::AliveAs { incarnation },
            None => ProbeResult::Dead,
        };
        self.scheduler.probe_result(self.backend_of[&server], now, result);
    }

    fn assign_server(&mut self, now: Instant, server: usize) {
        if !self.backend_of.contains_key(&server) {
            self.add_server(now, server);
        }
    }

    fn claim(&self, server: usize) -> Claim {
        self.scheduler.claim(self.backend_of[&server])
    }

    fn lease(&mut self, server: usize, slots: u32, expires: Instant) {
        self.scheduler.set_lease(self.backend_of[&server], slots, expires);
    }
}
