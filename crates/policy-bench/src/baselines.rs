//! Routers that decide by simple rules, to compare the policy crate against.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use crate::router::{AttemptFailure, AttemptId, Command, Fate, Job, Router};

const ATTEMPT_BITS: u32 = 40;
const MAX_ATTEMPTS: u32 = 2;

/// How [`Direct`] spreads requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// Each server in its turn.
    RoundRobin,
    /// The server with the fewest requests of this router.
    LeastInFlight,
}

/// Sends each request at once; the engine's queue is the only one.
#[derive(Debug)]
pub struct Direct {
    core: Core,
    spread: Spread,
    ready: Vec<usize>,
}

/// Queues by priority alone and fills each server to its slots.
#[derive(Debug)]
pub struct StrictPriority {
    core: Core,
    slots: u32,
    queues: Vec<VecDeque<usize>>,
}

#[derive(Debug)]
struct Core {
    next_attempt: u64,
    next_server: usize,
    in_flight: Vec<u32>,
    attempts: BTreeMap<AttemptId, (usize, usize)>,
    by_job: BTreeMap<usize, AttemptId>,
    tries: BTreeMap<usize, u32>,
    class_of: BTreeMap<usize, usize>,
}

impl Core {
    fn new(idx: usize, servers: usize) -> Self {
        Self {
            next_attempt: (idx as u64) << ATTEMPT_BITS,
            next_server: idx % servers,
            in_flight: vec![0; servers],
            attempts: BTreeMap::new(),
            by_job: BTreeMap::new(),
            tries: BTreeMap::new(),
            class_of: BTreeMap::new(),
        }
    }

    fn send(&mut self, job: usize, server: usize) -> Command {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        self.in_flight[server] += 1;
        self.attempts.insert(attempt, (job, server));
        self.by_job.insert(job, attempt);
        *self.tries.entry(job).or_default() += 1;
        Command::Send { attempt, job, server }
    }

    fn end(&mut self, attempt: AttemptId) -> Option<(usize, usize)> {
        let (job, server) = self.attempts.remove(&attempt)?;
        self.in_flight[server] -= 1;
        self.by_job.remove(&job);
        Some((job, server))
    }

    fn least_in_flight(&mut self) -> usize {
        let servers = self.in_flight.len();
        let first = self.round_robin();
        let order = (0..servers).map(|it| (first + it) % servers);
        order.min_by_key(|it| self.in_flight[*it]).unwrap_or(first)
    }

    fn round_robin(&mut self) -> usize {
        let server = self.next_server;
        self.next_server = (server + 1) % self.in_flight.len();
        server
    }

    fn may_retry(&self, job: usize, failure: AttemptFailure) -> bool {
        failure != AttemptFailure::ResetAfterToken && self.tries[&job] < MAX_ATTEMPTS
    }

    fn abandon(&mut self, job: usize) -> Option<(AttemptId, usize)> {
        let attempt = *self.by_job.get(&job)?;
        let (_, server) = self.end(attempt)?;
        Some((attempt, server))
    }
}

impl Direct {
    /// The router with this index.
    pub fn new(idx: usize, servers: usize, spread: Spread) -> Self {
        Self { core: Core::new(idx, servers), spread, ready: Vec::new() }
    }
}

impl Router for Direct {
    fn arrive(&mut self, _now: Instant, job: &Job) -> bool {
        self.ready.push(job.idx);
        true
    }

    fn poll(&mut self, _now: Instant) -> Vec<Command> {
        let ready = std::mem::take(&mut self.ready);
        let send = |job| {
            let server = match self.spread {
                Spread::RoundRobin => self.core.round_robin(),
                Spread::LeastInFlight => self.core.least_in_flight(),
            };
            self.core.send(job, server)
        };
        ready.into_iter().map(send).collect()
    }

    fn wakeup(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn tokens(&mut self, _now: Instant, _attempt: AttemptId, _count: u32) {}

    fn finished(&mut self, _now: Instant, attempt: AttemptId, _tokens: u32) {
        self.core.end(attempt);
    }

    fn failed(&mut self, _now: Instant, attempt: AttemptId, failure: AttemptFailure) -> Fate {
        let Some((job, _)) = self.core.end(attempt) else { return Fate::Lost };
        if !self.core.may_retry(job, failure) {
            return Fate::Lost;
        }
        self.ready.push(job);
        Fate::Retried
    }

    fn abandon(&mut self, _now: Instant, job: usize) -> Option<(AttemptId, usize)> {
        self.ready.retain(|it| *it != job);
        self.core.abandon(job)
    }
}

impl StrictPriority {
    /// The router with this index; `slots` are its part of each server.
    pub fn new(idx: usize, servers: usize, classes: usize, slots: u32) -> Self {
        Self { core: Core::new(idx, servers), slots, queues: vec![VecDeque::new(); classes] }
    }
}

impl Router for StrictPriority {
    fn arrive(&mut self, _now: Instant, job: &Job) -> bool {
        self.core.class_of.insert(job.idx, job.class);
        self.queues[job.class].push_back(job.idx);
        true
    }

    fn poll(&mut self, _now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        for class in 0..self.queues.len() {
            while !self.queues[class].is_empty() {
                let server = self.core.least_in_flight();
                if self.core.in_flight[server] >= self.slots {
                    return commands;
                }
                let Some(job) = self.queues[class].pop_front() else { break };
                commands.push(self.core.send(job, server));
            }
        }
        commands
    }

    fn wakeup(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn tokens(&mut self, _now: Instant, _attempt: AttemptId, _count: u32) {}

    fn finished(&mut self, _now: Instant, attempt: AttemptId, _tokens: u32) {
        self.core.end(attempt);
    }

    fn failed(&mut self, _now: Instant, attempt: AttemptId, failure: AttemptFailure) -> Fate {
        let Some((job, _)) = self.core.end(attempt) else { return Fate::Lost };
        if !self.core.may_retry(job, failure) {
            return Fate::Lost;
        }
        self.queues[self.core.class_of[&job]].push_front(job);
        Fate::Retried
    }

    fn abandon(&mut self, _now: Instant, job: usize) -> Option<(AttemptId, usize)> {
        let class = *self.core.class_of.get(&job)?;
        self.queues[class].retain(|it| *it != job);
        self.core.abandon(job)
    }
}
