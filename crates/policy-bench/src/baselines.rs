//! Routers with simple scheduling rules, as baselines for the policy crate.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use crate::router::{AttemptFailure, AttemptId, Command, Job, RetryOutcome, Router};

/// Width of the attempt counter in an attempt ID; the bits above it hold the router's index.
const ATTEMPT_BITS: u32 = 40;
const MAX_ATTEMPTS: u32 = 2;

/// How [`Direct`] chooses a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balancing {
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest requests in flight from this router.
    LeastInFlight,
}

/// Dispatches each request at once, so that requests queue only in the engines.
#[derive(Debug)]
pub struct Direct {
    tracker: AttemptTracker,
    balancing: Balancing,
    pending: Vec<usize>,
}

/// Queues requests by strict priority and fills each server up to its slots.
#[derive(Debug)]
pub struct StrictPriority {
    tracker: AttemptTracker,
    slots: u32,
    queues: Vec<VecDeque<usize>>,
}

#[derive(Debug)]
struct AttemptTracker {
    next_attempt: u64,
    next_server: usize,
    in_flight: Vec<u32>,
    attempts: BTreeMap<AttemptId, (usize, usize)>,
    attempt_of_job: BTreeMap<usize, AttemptId>,
    attempt_counts: BTreeMap<usize, u32>,
    class_of: BTreeMap<usize, usize>,
}

impl AttemptTracker {
    fn new(idx: usize, servers: usize) -> Self {
        Self {
            next_attempt: (idx as u64) << ATTEMPT_BITS,
            next_server: idx % servers,
            in_flight: vec![0; servers],
            attempts: BTreeMap::new(),
            attempt_of_job: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            class_of: BTreeMap::new(),
        }
    }

    fn send(&mut self, job: usize, server: usize) -> Command {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        self.in_flight[server] += 1;
        self.attempts.insert(attempt, (job, server));
        self.attempt_of_job.insert(job, attempt);
        *self.attempt_counts.entry(job).or_default() += 1;
        Command::Send { attempt, job, server }
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<(usize, usize)> {
        let (job, server) = self.attempts.remove(&attempt)?;
        self.in_flight[server] -= 1;
        self.attempt_of_job.remove(&job);
        Some((job, server))
    }

    fn least_loaded_server(&mut self) -> usize {
        let servers = self.in_flight.len();
        let first = self.next_in_turn();
        let order = (0..servers).map(|it| (first + it) % servers);
        order.min_by_key(|it| self.in_flight[*it]).unwrap_or(first)
    }

    fn next_in_turn(&mut self) -> usize {
        let server = self.next_server;
        self.next_server = (server + 1) % self.in_flight.len();
        server
    }

    fn may_retry(&self, job: usize, failure: AttemptFailure) -> bool {
        failure != AttemptFailure::ResetAfterToken && self.attempt_counts[&job] < MAX_ATTEMPTS
    }

    fn cancel_job(&mut self, job: usize) -> Option<(AttemptId, usize)> {
        let attempt = *self.attempt_of_job.get(&job)?;
        let (_, server) = self.remove(attempt)?;
        Some((attempt, server))
    }
}

impl Direct {
    /// Creates the router with this index.
    pub fn new(idx: usize, servers: usize, balancing: Balancing) -> Self {
        Self { tracker: AttemptTracker::new(idx, servers), balancing, pending: Vec::new() }
    }
}

impl Router for Direct {
    fn arrive(&mut self, _now: Instant, job: &Job) -> bool {
        self.pending.push(job.idx);
        true
    }

    fn poll(&mut self, _now: Instant) -> Vec<Command> {
        let pending = std::mem::take(&mut self.pending);
        let send = |job| {
            let server = match self.balancing {
                Balancing::RoundRobin => self.tracker.next_in_turn(),
                Balancing::LeastInFlight => self.tracker.least_loaded_server(),
            };
            self.tracker.send(job, server)
        };
        pending.into_iter().map(send).collect()
    }

    fn wakeup(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn tokens(&mut self, _now: Instant, _attempt: AttemptId, _count: u32) {}

    fn finished(&mut self, _now: Instant, attempt: AttemptId, _tokens: u32) {
        self.tracker.remove(attempt);
    }

    fn failed(
        &mut self,
        _now: Instant,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> RetryOutcome {
        let Some((job, _)) = self.tracker.remove(attempt) else { return RetryOutcome::Lost };
        if !self.tracker.may_retry(job, failure) {
            return RetryOutcome::Lost;
        }
        self.pending.push(job);
        RetryOutcome::Retried
    }

    fn deadline_expired(&mut self, _now: Instant, job: usize) -> Option<(AttemptId, usize)> {
        self.pending.retain(|it| *it != job);
        self.tracker.cancel_job(job)
    }
}

impl StrictPriority {
    /// Creates the router with this index; `slots` is its share of each server's slots.
    pub fn new(idx: usize, servers: usize, classes: usize, slots: u32) -> Self {
        Self {
            tracker: AttemptTracker::new(idx, servers),
            slots,
            queues: vec![VecDeque::new(); classes],
        }
    }
}

impl Router for StrictPriority {
    fn arrive(&mut self, _now: Instant, job: &Job) -> bool {
        self.tracker.class_of.insert(job.idx, job.class);
        self.queues[job.class].push_back(job.idx);
        true
    }

    fn poll(&mut self, _now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        for class in 0..self.queues.len() {
            while !self.queues[class].is_empty() {
                let server = self.tracker.least_loaded_server();
                if self.tracker.in_flight[server] >= self.slots {
                    return commands;
                }
                let Some(job) = self.queues[class].pop_front() else { break };
                commands.push(self.tracker.send(job, server));
            }
        }
        commands
    }

    fn wakeup(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn tokens(&mut self, _now: Instant, _attempt: AttemptId, _count: u32) {}

    fn finished(&mut self, _now: Instant, attempt: AttemptId, _tokens: u32) {
        self.tracker.remove(attempt);
    }

    fn failed(
        &mut self,
        _now: Instant,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> RetryOutcome {
        let Some((job, _)) = self.tracker.remove(attempt) else { return RetryOutcome::Lost };
        if !self.tracker.may_retry(job, failure) {
            return RetryOutcome::Lost;
        }
        self.queues[self.tracker.class_of[&job]].push_front(job);
        RetryOutcome::Retried
    }

    fn deadline_expired(&mut self, _now: Instant, job: usize) -> Option<(AttemptId, usize)> {
        let class = *self.tracker.class_of.get(&job)?;
        self.queues[class].retain(|it| *it != job);
        self.tracker.cancel_job(job)
    }
}
