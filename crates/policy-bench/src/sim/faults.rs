//! Faults: stragglers, crashes and lost routers.

use super::{Event, Sim};
use crate::{
    report::End,
    router::{AttemptFailure, AttemptId},
    workload::FaultKind,
};

impl Sim<'_> {
    pub(super) fn fault(&mut self, idx: usize) {
        match self.workload.settings.faults[idx].kind {
            FaultKind::Straggler { server, slowdown_permille } => {
                self.servers[server].engine.set_slowdown_permille(slowdown_permille);
            }
            FaultKind::Crash { server, down } => {
                self.servers[server].crash();
                for attempt in self.attempts_where(|_, it| it.server == server) {
                    let has_token = self.attempts[&attempt].produced > 0;
                    let failure = match has_token {
                        true => AttemptFailure::ResetAfterToken,
                        false => AttemptFailure::ResetBeforeToken,
                    };
                    self.fail(attempt, failure);
                }
                self.after(down, Event::Restart(server));
            }
            FaultKind::RouterLost { router } => self.lose_router(router),
        }
    }

    fn lose_router(&mut self, router: usize) {
        self.routers[router] = None;
        if self.design == super::Design::Forward {
            self.adopt_servers();
        }
        for attempt in self.attempts_where(|_, it| it.router == router) {
            let server = self.attempts[&attempt].server;
            let cancel = super::ToServer::Cancel(attempt);
            self.after(self.workload.lag, Event::AtServer(server, cancel));
        }
        for job in 0..self.tally.jobs.len() {
            let has_arrived = self.workload.arrivals[job].at <= self.now;
            if has_arrived && self.tally.jobs[job].router == router && !self.tally.is_ended(job) {
                self.tally.end(job, self.now, End::Lost);
            }
        }
    }

    /// The servers of a lost router go to their next owners at once.
    fn adopt_servers(&mut self) {
        let (now, live) = (self.instant(), self.live_routers());
        for server in 0..self.servers.len() {
            let Some(owner) = super::leases::owner_of(server, &live) else { continue };
            if let Some(router) = self.routers[owner].as_mut() {
                router.adopt(now, server);
            }
        }
    }

    fn attempts_where(&self, holds: impl Fn(AttemptId, &super::Attempt) -> bool) -> Vec<AttemptId> {
        let all = self.attempts.iter().filter(|(id, it)| holds(**id, it));
        all.map(|it| *it.0).collect()
    }
}
