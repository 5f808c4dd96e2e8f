//! Events at routers: arrivals, responses, wakeups, and the commands that the routers issue.

use std::time::Duration;

use super::{Attempt, Design, Event, REPORT_BYTES, Sim, ToRouter, ToServer};
use crate::{
    report::JobEnd,
    router::{Command, Job, RetryOutcome},
};

const FORWARDED_REQUEST_BYTES: u64 = 600;
/// One relayed token, excluding the framing of the connection.
const RELAYED_TOKEN_BYTES: u64 = 8;
/// Distributes consecutive jobs over the servers; coprime to the number of servers.
const SERVER_STRIDE: usize = 7_919;

impl Sim<'_> {
    pub(super) fn handle_arrival(&mut self, job: usize) {
        let arrival = &self.workload.arrivals[job];
        let deadline = self.workload.classes[arrival.class].deadline_ms;
        self.schedule_after(Duration::from_millis(deadline), Event::Deadline(job));
        let entry = self.first_live_router(arrival.router);
        if self.design != Design::Forward {
            return self.offer_to_router(job, entry);
        }
        let server = job * SERVER_STRIDE % self.servers.len();
        let owner = super::leases::owner_of(server, &self.live_routers()).unwrap_or(entry);
        if owner == entry {
            return self.offer_to_router(job, entry);
        }
        self.metrics.count_message(FORWARDED_REQUEST_BYTES);
        for _ in 0..arrival.output_tokens {
            self.metrics.count_message(RELAYED_TOKEN_BYTES);
        }
        self.schedule_after(self.workload.latency, Event::Forwarded { job, router: owner });
    }

    pub(super) fn offer_to_router(&mut self, job: usize, router: usize) {
        let arrival = &self.workload.arrivals[job];
        let request = Job {
            idx: job,
            class: arrival.class,
            workspace: arrival.workspace,
            prefix_hash: arrival.prefix_hash,
            arrived: self.instant(),
        };
        self.metrics.jobs[job].router = router;
        let now = self.instant();
        let Some(entry) = self.routers[router].as_mut() else {
            return self.metrics.end_job(job, self.now, JobEnd::Lost);
        };
        if !entry.arrive(now, &request) {
            return self.metrics.end_job(job, self.now, JobEnd::Refused);
        }
        self.poll_router(router);
    }

    pub(super) fn handle_deadline(&mut self, job: usize) {
        if self.metrics.is_ended(job) {
            return;
        }
        let (router, now) = (self.metrics.jobs[job].router, self.instant());
        self.metrics.end_job(job, self.now, JobEnd::Late);
        let Some(entry) = self.routers[router].as_mut() else { return };
        if let Some((attempt, server)) = entry.deadline_expired(now, job) {
            self.schedule_after(
                self.workload.latency,
                Event::ServerMessage(server, ToServer::Cancel(attempt)),
            );
        }
        self.poll_router(router);
    }

    pub(super) fn handle_router_message(&mut self, router: usize, message: ToRouter) {
        let now = self.instant();
        let Some(entry) = self.routers[router].as_mut() else { return };
        match message {
            ToRouter::Tokens(tokens, finished) => {
                for (attempt, count) in tokens {
                    entry.tokens(now, attempt, count);
                    let Some(attempt) = self.attempts.get(&attempt) else { continue };
                    self.metrics.add_tokens(attempt.job, self.now, count);
                }
                for attempt in finished {
                    let Some(done) = self.attempts.remove(&attempt) else { continue };
                    entry.finished(now, attempt, done.produced_tokens);
                    self.metrics.complete_job(done.job, self.now, done.window_tokens);
                }
            }
            ToRouter::Failed(attempt, failure) => {
                let outcome = entry.failed(now, attempt, failure);
                let job = self.attempts.remove(&attempt).map(|it| it.job);
                if let (RetryOutcome::Lost, Some(job)) = (outcome, job) {
                    self.metrics.end_job(job, self.now, JobEnd::Lost);
                }
            }
            ToRouter::Report(server, report) => entry.report(now, server, &report),
            ToRouter::Probed(server, incarnation) => entry.probed(now, server, incarnation),
            ToRouter::Lease { server, slots, expires } => {
                entry.lease(server, slots, self.epoch + expires);
            }
        }
        self.poll_router(router);
    }

    pub(super) fn handle_wakeup(&mut self, router: usize) {
        if self.wakeups[router].is_some_and(|it| it <= self.now) {
            self.wakeups[router] = None;
            self.poll_router(router);
        }
    }

    pub(super) fn poll_router(&mut self, router: usize) {
        let now = self.instant();
        let Some(entry) = self.routers[router].as_mut() else { return };
        let commands = entry.poll(now);
        let wakeup = entry.wakeup(now);
        for command in commands {
            self.execute(router, command);
        }
        let Some(at) = wakeup.map(|it| it.saturating_duration_since(self.epoch)) else { return };
        if self.wakeups[router].is_none_or(|it| at < it) {
            self.wakeups[router] = Some(at);
            self.schedule_at(at.max(self.now), Event::Wakeup(router));
        }
    }

    pub(super) fn send_reports(&mut self, server: usize) {
        let report = self.servers[server].report(super::REPORT_DELAY);
        for router in 0..self.routers.len() {
            self.metrics.count_message(REPORT_BYTES);
            let message = ToRouter::Report(server, report);
            self.schedule_after(super::REPORT_DELAY, Event::RouterMessage(router, message));
        }
        self.schedule_after(super::REPORT_INTERVAL, Event::Report(server));
    }

    fn first_live_router(&self, first: usize) -> usize {
        let count = self.routers.len();
        let mut order = (0..count).map(|it| (first + it) % count);
        order.find(|it| self.routers[*it].is_some()).unwrap_or(first)
    }

    fn execute(&mut self, router: usize, command: Command) {
        let (server, message) = match command {
            Command::Send { attempt, job, server } => {
                let state = Attempt { job, router, server, produced_tokens: 0, window_tokens: 0 };
                self.attempts.insert(attempt, state);
                (server, ToServer::Send(attempt))
            }
            Command::Refuse { job } => return self.metrics.end_job(job, self.now, JobEnd::Refused),
            Command::Pause(attempt, server) => {
                self.metrics.pauses += 1;
                (server, ToServer::Pause(attempt))
            }
            Command::Resume(attempt, server) => (server, ToServer::Resume(attempt)),
            Command::Cancel(attempt, server) => (server, ToServer::Cancel(attempt)),
            Command::Probe(server) => (server, ToServer::Probe { router }),
        };
        self.schedule_after(self.workload.latency, Event::ServerMessage(server, message));
    }
}
