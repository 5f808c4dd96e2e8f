//! What the router tells about running requests and connections.

use std::time::Instant;

use super::{Action, Scheduler};
use crate::{
    backend::Health,
    keys::{BackendKey, Ticket},
    quarantine::QuarantineEntry,
    request::Phase,
};

/// What a probe on a new connection found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered, without saying which incarnation it is.
    Alive,
    /// The server answered with its incarnation.
    AliveAs {
        /// The incarnation.
        incarnation: u64,
    },
    /// It did not.
    Dead,
}

impl Scheduler {
    /// The request's last byte was sent to the server; time to the first token counts from here.
    pub fn dispatched(&mut self, ticket: Ticket, now: Instant) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if let Phase::Running(run) = &mut request.phase {
            run.sent = now;
            run.last = now;
        }
    }

    /// The first token arrived; a hedged request's other attempt is cancelled.
    pub fn first_token(&mut self, ticket: Ticket, now: Instant) {
        self.use_room(ticket);
        self.prompt_read(ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let (Phase::Running(run) | Phase::Paused(run)) = &mut request.phase else { return };
        run.tokens = run.tokens.max(1);
        run.last = now;
        let (backend, waited) = (run.backend, now.saturating_duration_since(run.sent));
        let (pool, twin) = (request.offer.pool, request.twin.take());
        self.backends[backend].first_token_ms.add(waited.as_secs_f64() * 1e3);
        self.backends[backend].note_served();
        self.pools[pool].drained.add(now, 1);
        if let Some(twin) = twin {
            self.cancel_twin(twin);
        }
    }

    /// `count` more tokens arrived.
    pub fn tokens(&mut self, ticket: Ticket, now: Instant, count: u32) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let is_running = matches!(request.phase, Phase::Running(_));
        let (Phase::Running(run) | Phase::Paused(run)) = &mut request.phase else { return };
        if count == 0 {
            return;
        }
        let gap = now.saturating_duration_since(run.last) / count;
        let has_gap = run.tokens > 0 && is_running;
        run.tokens += count;
        run.last = now;
        let backend = run.backend;
        self.pools[request.offer.pool].drained.add(now, u64::from(count));
        if has_gap {
            self.backends[backend].observe_gap(now, gap);
        }
    }

    /// The caller went away; the router cancels the attempts that the actions name.
    pub fn cancelled(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else { return };
        let twin = request.twin;
        self.unqueue(ticket);
        self.release(ticket);
        self.requests.remove(ticket);
        if let Some(twin) = twin {
            self.cancel_twin(twin);
        }
    }

    /// An open connection to the server fell silent; a probe tells a dead path from a dead server.
    pub fn connection_timed_out(&mut self, backend: BackendKey, now: Instant) {
        let Some(entry) = self.backends.get_mut(backend) else { return };
        if entry.health == Health::Up {
            entry.health = Health::Suspect;
            entry.next_probe = Some(now);
        }
    }

    /// Takes the result of a probe in.
    pub fn probe_result(&mut self, backend: BackendKey, now: Instant, result: ProbeResult) {
        if let ProbeResult::AliveAs { incarnation } = result {
            self.note_incarnation(now, backend, incarnation);
        }
        let interval = self.settings.probe_interval;
        let Some(entry) = self.backends.get_mut(backend) else { return };
        match (entry.health, result) {
            (Health::Suspect, ProbeResult::Alive | ProbeResult::AliveAs { .. }) => {
                entry.health = Health::Up;
                entry.next_probe = None;
            }
            (Health::Down, ProbeResult::Alive | ProbeResult::AliveAs { .. }) => {
                entry.health = Health::Up;
                entry.next_probe = None;
                entry.ramp_from = Some(now);
                entry.forget_speed();
                entry.returns += 1;
                entry.crashed_incarnation = None;
            }
            (Health::Up | Health::Suspect | Health::Down, ProbeResult::Dead) => {
                entry.health = Health::Down;
                entry.next_probe = Some(now + interval);
            }
            _ => {}
        }
    }

    /// The fingerprints that crashed servers, for the other routers of the failure domain.
    pub fn export_quarantine(&mut self, now: Instant) -> Vec<QuarantineEntry> {
        self.quarantine.export(now)
    }

    /// Merges entries of another router.
    pub fn import_quarantine(&mut self, now: Instant, entries: &[QuarantineEntry]) {
        for entry in entries {
            self.quarantine.import(now, entry);
        }
    }

    fn cancel_twin(&mut self, twin: Ticket) {
        let Some(run) = self.release(twin) else {
            self.unqueue(twin);
            self.requests.remove(twin);
            return;
        };
        self.requests.remove(twin);
        self.actions.push(Action::Cancel { ticket: twin, backend: run.backend });
    }
}
