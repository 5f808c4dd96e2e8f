//! Events at servers: requests, pauses, cancellations and the steps of the engine models.

use std::collections::BTreeMap;

use engine_model::{Priority, RequestId, RequestSpec, StepReport};

use super::{Event, Sim, ToRouter, ToServer};
use crate::{
    router::{AttemptFailure, AttemptId},
    server::ServerState,
};

impl Sim<'_> {
    pub(super) fn at_server(&mut self, server: usize, message: ToServer) {
        let is_up = self.servers[server].state == ServerState::Up;
        match message {
            ToServer::Send(attempt) if is_up => self.submit(server, attempt),
            ToServer::Send(attempt) => self.fail(attempt, AttemptFailure::Refused),
            ToServer::Pause(attempt) => {
                self.servers[server].engine.pause(RequestId(attempt.0));
            }
            ToServer::Resume(attempt) => {
                self.servers[server].engine.resume(RequestId(attempt.0));
            }
            ToServer::Cancel(attempt) => {
                self.servers[server].engine.cancel(RequestId(attempt.0));
                self.attempts.remove(&attempt);
            }
            ToServer::Probe { router } => {
                let incarnation = is_up.then_some(self.servers[server].incarnation);
                let message = ToRouter::Probed(server, incarnation);
                self.after(self.workload.lag, Event::AtRouter(router, message));
            }
        }
        self.start_step(server);
    }

    pub(super) fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        let Some(state) = self.attempts.get(&attempt) else { return };
        let message = ToRouter::Failed(attempt, failure);
        self.after(self.workload.lag, Event::AtRouter(state.router, message));
    }

    pub(super) fn step_end(&mut self, server: usize, seq: u64) {
        if self.servers[server].step_seq != seq {
            return;
        }
        if let Some(step) = self.servers[server].step.take() {
            self.deliver(server, step);
        }
        self.start_step(server);
    }

    fn submit(&mut self, server: usize, attempt: AttemptId) {
        let Some(state) = self.attempts.get(&attempt) else { return };
        let arrival = &self.workload.arrivals[state.job];
        let priority = if self.design.tells_priority() { arrival.class as u8 } else { 0 };
        let spec = RequestSpec {
            id: RequestId(attempt.0),
            prompt_tokens: arrival.prompt_tokens,
            prefix: Vec::new(),
            output_tokens: arrival.output_tokens,
            priority: Priority(priority),
        };
        if self.servers[server].engine.submit(spec).is_err() {
            self.fail(attempt, AttemptFailure::Overloaded);
        }
    }

    fn start_step(&mut self, server: usize) {
        let entry = &mut self.servers[server];
        if entry.step.is_some() || entry.engine.is_idle() || entry.state == ServerState::Down {
            return;
        }
        let step = entry.engine.step();
        entry.step_seq += 1;
        let (seq, duration) = (entry.step_seq, step.duration);
        entry.step = Some(step);
        self.after(duration, Event::StepEnd { server, seq });
    }

    fn deliver(&mut self, _server: usize, step: StepReport) {
        let in_window = self.tally.is_window(self.now);
        let mut by_router: BTreeMap<usize, (Vec<_>, Vec<_>)> = BTreeMap::new();
        for emitted in step.tokens {
            self.tally.generated_tokens += u64::from(emitted.count);
            let attempt = AttemptId(emitted.id.0);
            let Some(state) = self.attempts.get_mut(&attempt) else { continue };
            state.produced += emitted.count;
            state.produced_in_window += u64::from(emitted.count) * u64::from(in_window);
            by_router.entry(state.router).or_default().0.push((attempt, emitted.count));
        }
        for id in step.finished {
            let attempt = AttemptId(id.0);
            let Some(state) = self.attempts.get(&attempt) else { continue };
            by_router.entry(state.router).or_default().1.push(attempt);
        }
        for (router, (tokens, finished)) in by_router {
            let message = ToRouter::Tokens(tokens, finished);
            self.after(self.workload.lag, Event::AtRouter(router, message));
        }
    }
}
