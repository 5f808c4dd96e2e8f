//! Events at servers: requests, pauses, cancellations and engine steps.

use std::collections::BTreeMap;

use engine_model::{Priority, RequestId, RequestSpec, StepReport};

use super::{Event, Sim, ToRouter, ToServer};
use crate::{
    router::{AttemptFailure, AttemptId},
    server::ServerState,
};

impl Sim<'_> {
    pub(super) fn handle_server_message(&mut self, server: usize, message: ToServer) {
        let is_up = self.servers[server].state == ServerState::Up;
        match message {
            ToServer::Send(attempt) if is_up => self.submit(server, attempt),
            ToServer::Send(attempt) => self.send_failure(attempt, AttemptFailure::Refused),
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
                self.schedule_after(self.workload.latency, Event::RouterMessage(router, message));
            }
        }
        self.start_step(server);
    }

    pub(super) fn send_failure(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        let Some(state) = self.attempts.get(&attempt) else { return };
        let message = ToRouter::Failed(attempt, failure);
        self.schedule_after(self.workload.latency, Event::RouterMessage(state.router, message));
    }

    pub(super) fn handle_step_end(&mut self, server: usize, seq: u64) {
        if self.servers[server].step_seq != seq {
            return;
        }
        if let Some(step) = self.servers[server].step.take() {
            self.send_tokens(server, step);
        }
        self.start_step(server);
    }

    fn submit(&mut self, server: usize, attempt: AttemptId) {
        let Some(state) = self.attempts.get(&attempt) else { return };
        let arrival = &self.workload.arrivals[state.job];
        let priority = if self.design.sends_priority() { arrival.class as u8 } else { 0 };
        let spec = RequestSpec {
            id: RequestId(attempt.0),
            prompt_tokens: arrival.prompt_tokens,
            prefix: Vec::new(),
            output_tokens: arrival.output_tokens,
            priority: Priority(priority),
        };
        if self.servers[server].engine.submit(spec).is_err() {
            self.send_failure(attempt, AttemptFailure::Overloaded);
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
        self.schedule_after(duration, Event::StepEnd { server, seq });
    }

    fn send_tokens(&mut self, _server: usize, step: StepReport) {
        let in_window = self.metrics.in_window(self.now);
        let mut by_router: BTreeMap<usize, (Vec<_>, Vec<_>)> = BTreeMap::new();
        for emitted in step.tokens {
            self.metrics.generated_tokens += u64::from(emitted.count);
            let attempt = AttemptId(emitted.id.0);
            let Some(state) = self.attempts.get_mut(&attempt) else { continue };
            state.produced_tokens += emitted.count;
            state.window_tokens += u64::from(emitted.count) * u64::from(in_window);
            by_router.entry(state.router).or_default().0.push((attempt, emitted.count));
        }
        for id in step.finished {
            let attempt = AttemptId(id.0);
            let Some(state) = self.attempts.get(&attempt) else { continue };
            by_router.entry(state.router).or_default().1.push(attempt);
        }
        for (router, (tokens, finished)) in by_router {
            let message = ToRouter::Tokens(tokens, finished);
            self.schedule_after(self.workload.latency, Event::RouterMessage(router, message));
        }
    }
}
