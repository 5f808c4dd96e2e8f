//! A router that decides by the policy crate.

use std::{collections::BTreeMap, time::Instant};

use policy::{
    Action, BackendEntry, BackendKey, ClassKey, Execution, Failure, LoadReport, Offer, Outcome,
    PoolKey, PoolSpec, ProbeResult, Repeat, RetryDecision, Scheduler, Settings, Spec, Ticket,
    WorkspaceKey, WorkspaceSpec, leases::Claim,
};

use crate::{
    router::{AttemptFailure, AttemptId, Command, Fate, Job, Router},
    workload::Workload,
};

const ATTEMPT_BITS: u32 = 40;

/// One router with its own [`Scheduler`].
pub struct PolicyRouter {
    scheduler: Scheduler,
    classes: Vec<ClassKey>,
    workspaces: Vec<WorkspaceKey>,
    pool: PoolKey,
    backends: BTreeMap<usize, BackendKey>,
    server_of: BTreeMap<BackendKey, usize>,
    next_attempt: u64,
    jobs: BTreeMap<Ticket, Tracked>,
    attempts: BTreeMap<AttemptId, Ticket>,
    tickets: BTreeMap<usize, Ticket>,
}

#[derive(Debug, Clone, Copy)]
struct Tracked {
    job: usize,
    attempt: Option<(AttemptId, usize)>,
    has_token: bool,
}

impl PolicyRouter {
    /// A router that serves by the given servers of the workload.
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
        let pool = scheduler.pool("model").expect("it was configured");
        let classes = workload.classes.iter().filter_map(|it| scheduler.class(&it.name)).collect();
        let workspaces = Workload::workspaces().filter_map(|it| scheduler.workspace(&it)).collect();
        let mut router = Self {
            scheduler,
            classes,
            workspaces,
            pool,
            backends: BTreeMap::new(),
            server_of: BTreeMap::new(),
            next_attempt: (idx as u64) << ATTEMPT_BITS,
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            tickets: BTreeMap::new(),
        };
        servers.for_each(|it| router.add_server(now, it));
        router
    }

    fn add_server(&mut self, now: Instant, server: usize) {
        let name = format!("server-{server}");
        let sighting = BackendEntry { name: &name, pool: self.pool, incarnation: 1 };
        let key = self.scheduler.backend_live(now, &sighting).expect("the pool is known");
        self.backends.insert(server, key);
        self.server_of.insert(key, server);
    }

    fn command(&mut self, now: Instant, action: Action) -> Option<Command> {
        match action {
            Action::Dispatch { ticket, backend } => self.send(now, ticket, backend),
            Action::Hedge { ticket, hedge, backend } => {
                let job = self.jobs.get(&ticket)?.job;
                self.jobs.insert(hedge, Tracked { job, attempt: None, has_token: false });
                self.send(now, hedge, backend)
            }
            Action::Refuse { ticket, .. } => {
                let job = self.forget(ticket)?.job;
                Some(Command::Refuse { job })
            }
            Action::Pause { ticket, .. } => {
                let (attempt, server) = self.jobs.get(&ticket)?.attempt?;
                Some(Command::Pause(attempt, server))
            }
            Action::Resume { ticket, .. } => {
                let (attempt, server) = self.jobs.get(&ticket)?.attempt?;
                Some(Command::Resume(attempt, server))
            }
            Action::Cancel { ticket, .. } => {
                let (attempt, server) = self.forget(ticket)?.attempt?;
                Some(Command::Cancel(attempt, server))
            }
            Action::Probe { backend } => Some(Command::Probe(self.server_of[&backend])),
        }
    }

    fn send(&mut self, now: Instant, ticket: Ticket, backend: BackendKey) -> Option<Command> {
        self.next_attempt += 1;
        let (attempt, server) = (AttemptId(self.next_attempt), self.server_of[&backend]);
        let tracked = self.jobs.get_mut(&ticket)?;
        tracked.attempt = Some((attempt, server));
        self.attempts.insert(attempt, ticket);
        self.scheduler.dispatched(ticket, now);
        Some(Command::Send { attempt, job: tracked.job, server })
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Tracked> {
        let tracked = self.jobs.remove(&ticket)?;
        if let Some((attempt, _)) = tracked.attempt {
            self.attempts.remove(&attempt);
        }
        if self.tickets.get(&tracked.job) == Some(&ticket) {
            self.tickets.remove(&tracked.job);
        }
        Some(tracked)
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
        let tracked = Tracked { job: job.idx, attempt: None, has_token: false };
        self.jobs.insert(ticket, tracked);
        self.tickets.insert(job.idx, ticket);
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<Command> {
        let actions = self.scheduler.poll(now);
        actions.into_iter().filter_map(|it| self.command(now, it)).collect()
    }

    fn wakeup(&self, now: Instant) -> Option<Instant> {
        self.scheduler.next_wakeup(now)
    }

    fn tokens(&mut self, now: Instant, attempt: AttemptId, count: u32) {
        let Some(ticket) = self.attempts.get(&attempt).copied() else { return };
        let Some(tracked) = self.jobs.get_mut(&ticket) else { return };
        if tracked.has_token {
            self.scheduler.tokens(ticket, now, count);
            return;
        }
        tracked.has_token = true;
        let job = tracked.job;
        self.tickets.insert(job, ticket);
        self.scheduler.first_token(ticket, now);
    }

    fn finished(&mut self, now: Instant, attempt: AttemptId, tokens: u32) {
        let Some(ticket) = self.attempts.get(&attempt).copied() else { return };
        self.forget(ticket);
        self.scheduler.finished(ticket, now, Outcome::Complete { tokens });
    }

    fn failed(&mut self, now: Instant, attempt: AttemptId, failure: AttemptFailure) -> Fate {
        let Some(ticket) = self.attempts.remove(&attempt) else { return Fate::Lost };
        let (failure, execution) = match failure {
            AttemptFailure::Refused => (Failure::ConnectRefused, Execution::NotRun),
            AttemptFailure::ResetBeforeToken => (Failure::Reset, Execution::MayHaveRun),
            AttemptFailure::ResetAfterToken => (Failure::Reset, Execution::Ran),
            AttemptFailure::Overloaded => (Failure::Overloaded, Execution::NotRun),
        };
        let outcome = Outcome::Failed(failure, execution);
        match self.scheduler.retry(ticket, outcome, now) {
            RetryDecision::Retry { .. } => Fate::Retried,
            RetryDecision::GiveUp(policy::GiveUp::OtherAttemptRunning) => {
                self.jobs.remove(&ticket);
                Fate::Retried
            }
            RetryDecision::GiveUp(_) => {
                self.forget(ticket);
                Fate::Lost
            }
        }
    }

    fn abandon(&mut self, _now: Instant, job: usize) -> Option<(AttemptId, usize)> {
        let ticket = self.tickets.get(&job).copied()?;
        self.scheduler.cancelled(ticket);
        self.forget(ticket)?.attempt
    }

    fn report(&mut self, now: Instant, server: usize, report: &LoadReport) {
        if let Some(backend) = self.backends.get(&server) {
            self.scheduler.load_report(now, *backend, report);
        }
    }

    fn probed(&mut self, now: Instant, server: usize, incarnation: Option<u64>) {
        let result = match incarnation {
            Some(incarnation) => ProbeResult::AliveAs { incarnation },
            None => ProbeResult::Dead,
        };
        self.scheduler.probe_result(self.backends[&server], now, result);
    }

    fn adopt(&mut self, now: Instant, server: usize) {
        if !self.backends.contains_key(&server) {
            self.add_server(now, server);
        }
    }

    fn claim(&self, server: usize) -> Claim {
        self.scheduler.claim(self.backends[&server])
    }

    fn lease(&mut self, server: usize, slots: u32, expires: Instant) {
        self.scheduler.set_lease(self.backends[&server], slots, expires);
    }
}
