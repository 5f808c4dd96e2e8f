//! Events at routers: arrivals, replies, wakeups, and the commands that come out.

use std::time::Duration;

use super::{Attempt, Design, Event, REPORT_BYTES, Sim, ToRouter, ToServer};
use crate::{
    report::End,
    router::{Command, Fate, Job},
};

const FORWARD_BYTES: u64 = 600;
/// One relayed token without the framing of its connection.
const TOKEN_BYTES: u64 = 8;
/// Spreads consecutive jobs over the servers; prime to their number.
const SPREAD: usize = 7_919;

impl Sim<'_> {
    pub(super) fn arrive(&mut self, job: usize) {
        let arrival = &self.workload.arrivals[job];
        let deadline = self.workload.classes[arrival.class].deadline_ms;
        self.after(Duration::from_millis(deadline), Event::Deadline(job));
        let entry = self.live_router(arrival.router);
        if self.design != Design::Forward {
            return self.arrive_at(job, entry);
        }
        let server = job * SPREAD % self.servers.len();
        let owner = super::leases::owner_of(server, &self.live_routers()).unwrap_or(entry);
        if owner == entry {
            return self.arrive_at(job, entry);
        }
        self.tally.count_message(FORWARD_BYTES);
        for _ in 0..arrival.output_tokens {
            self.tally.count_message(TOKEN_BYTES);
        }
        self.after(self.workload.lag, Event::Forwarded { job, router: owner });
    }

    pub(super) fn arrive_at(&mut self, job: usize, router: usize) {
        let arrival = &self.workload.arrivals[job];
        let request = Job {
            idx: job,
            class: arrival.class,
            workspace: arrival.workspace,
            prefix_hash: arrival.prefix_hash,
            arrived: self.instant(),
        };
        self.tally.jobs[job].router = router;
        let now = self.instant();
        let Some(entry) = self.routers[router].as_mut() else {
            return self.tally.end(job, self.now, End::Lost);
        };
        if !entry.arrive(now, &request) {
            return self.tally.end(job, self.now, End::Refused);
        }
        self.poll(router);
    }

    pub(super) fn deadline(&mut self, job: usize) {
        if self.tally.is_ended(job) {
            return;
        }
        let (router, now) = (self.tally.jobs[job].router, self.instant());
        self.tally.end(job, self.now, End::Late);
        let Some(entry) = self.routers[router].as_mut() else { return };
        if let Some((attempt, server)) = entry.abandon(now, job) {
            self.after(self.workload.lag, Event::AtServer(server, ToServer::Cancel(attempt)));
        }
        self.poll(router);
    }

    pub(super) fn at_router(&mut self, router: usize, message: ToRouter) {
        let now = self.instant();
        let Some(entry) = self.routers[router].as_mut() else { return };
        match message {
            ToRouter::Tokens(tokens, finished) => {
                for (attempt, count) in tokens {
                    entry.tokens(now, attempt, count);
                    let Some(attempt) = self.attempts.get(&attempt) else { continue };
                    self.tally.token(attempt.job, self.now, count);
                }
                for attempt in finished {
                    let Some(done) = self.attempts.remove(&attempt) else { continue };
                    entry.finished(now, attempt, done.produced);
                    self.tally.complete(done.job, self.now, done.produced_in_window);
                }
            }
            ToRouter::Failed(attempt, failure) => {
                let fate = entry.failed(now, attempt, failure);
                let job = self.attempts.remove(&attempt).map(|it| it.job);
                if let (Fate::Lost, Some(job)) = (fate, job) {
                    self.tally.end(job, self.now, End::Lost);
                }
            }
            ToRouter::Report(server, report) => entry.report(now, server, &report),
            ToRouter::Probed(server, incarnation) => entry.probed(now, server, incarnation),
            ToRouter::Lease { server, slots, expires } => {
                entry.lease(server, slots, self.base + expires);
            }
        }
        self.poll(router);
    }

    pub(super) fn wakeup(&mut self, router: usize) {
        if self.wakeups[router].is_some_and(|it| it <= self.now) {
            self.wakeups[router] = None;
            self.poll(router);
        }
    }

    pub(super) fn poll(&mut self, router: usize) {
        let now = self.instant();
        let Some(entry) = self.routers[router].as_mut() else { return };
        let commands = entry.poll(now);
        let wakeup = entry.wakeup(now);
        for command in commands {
            self.execute(router, command);
        }
        let Some(wakeup) = wakeup.map(|it| it.saturating_duration_since(self.base)) else { return };
        if self.wakeups[router].is_none_or(|it| wakeup < it) {
            self.wakeups[router] = Some(wakeup);
            self.at(wakeup.max(self.now), Event::Wakeup(router));
        }
    }

    pub(super) fn send_reports(&mut self, server: usize) {
        let report = self.servers[server].report(super::REPORT_LAG);
        for router in 0..self.routers.len() {
            self.tally.count_message(REPORT_BYTES);
            let message = ToRouter::Report(server, report);
            self.after(super::REPORT_LAG, Event::AtRouter(router, message));
        }
        self.after(super::REPORT_INTERVAL, Event::Report(server));
    }

    fn live_router(&self, first: usize) -> usize {
        let count = self.routers.len();
        let mut order = (0..count).map(|it| (first + it) % count);
        order.find(|it| self.routers[*it].is_some()).unwrap_or(first)
    }

    fn execute(&mut self, router: usize, command: Command) {
        let (server, message) = match command {
            Command::Send { attempt, job, server } => {
                let state = Attempt { job, router, server, produced: 0, produced_in_window: 0 };
                self.attempts.insert(attempt, state);
                (server, ToServer::Send(attempt))
            }
            Command::Refuse { job } => return self.tally.end(job, self.now, End::Refused),
            Command::Pause(attempt, server) => {
                self.tally.pauses += 1;
                (server, ToServer::Pause(attempt))
            }
            Command::Resume(attempt, server) => (server, ToServer::Resume(attempt)),
            Command::Cancel(attempt, server) => (server, ToServer::Cancel(attempt)),
            Command::Probe(server) => (server, ToServer::Probe { router }),
        };
        self.after(self.workload.lag, Event::AtServer(server, message));
    }
}
