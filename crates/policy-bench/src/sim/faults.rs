//! Fault injection: stragglers, server crashes and router loss.

use super::{Event, Sim};
use crate::{
    report::JobEnd,
    router::{AttemptFailure, AttemptId},
    workload::FaultKind,
};

impl Sim<'_> {
    pub(super) fn inject_fault(&mut self, idx: usize) {
        match self.workload.settings.faults[idx].kind {
            FaultKind::Straggler { server, slowdown_permille } => {
                self.servers[server].engine.set_slowdown_permille(slowdown_permille);
            }
            FaultKind::Crash { server, downtime } => {
                self.servers[server].crash();
                for attempt in self.attempts_matching(|_, it| it.server == server) {
                    let has_token = self.attempts[&attempt].produced_tokens > 0;
                    let failure = match has_token {
                        true => AttemptFailure::ResetAfterToken,
                        false => AttemptFailure::ResetBeforeToken,
                    };
                    self.send_failure(attempt, failure);
                }
                self.schedule_after(downtime, Event::Restart(server));
            }
            FaultKind::RouterLost { router } => self.lose_router(router),
        }
    }

    fn lose_router(&mut self, router: usize) {
        self.routers[router] = None;
        if self.design == super::Design::Forward {
            self.reassign_servers();
        }
        for attempt in self.attempts_matching(|_, it| it.router == router) {
            let server = self.attempts[&attempt].server;
            let cancel = super::ToServer::Cancel(attempt);
            self.schedule_after(self.workload.latency, Event::ServerMessage(server, cancel));
        }
        for job in 0..self.metrics.jobs.len() {
            let has_arrived = self.workload.arrivals[job].at <= self.now;
            if has_arrived && self.metrics.jobs[job].router == router && !self.metrics.is_ended(job)
            {
                self.metrics.end_job(job, self.now, JobEnd::Lost);
            }
        }
    }

    /// Assigns each server to its owner among the live routers, without any delay.
    fn reassign_servers(&mut self) {
        let (now, live) = (self.instant(), self.live_routers());
        for server in 0..self.servers.len() {
            let Some(owner) = super::leases::owner_of(server, &live) else { continue };
            if let Some(router) = self.routers[owner].as_mut() {
                router.assign_server(now, server);
            }
        }
    }

    fn attempts_matching(
        &self,
        predicate: impl Fn(AttemptId, &super::Attempt) -> bool,
    ) -> Vec<AttemptId> {
        let all = self.attempts.iter().filter(|(id, it)| predicate(**id, it));
        all.map(|it| *it.0).collect()
    }
}
