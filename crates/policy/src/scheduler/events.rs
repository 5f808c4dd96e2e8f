//! Events of running requests, connections and probes, and the quarantine exchange.

use std::time::Instant;

use super::{Action, Scheduler};
use crate::{
    backend::Health,
    failing::FailureRecord,
    keys::{BackendKey, Ticket},
    path_proof::PROOF_INTERVAL,
    quarantine::{QuarantineEntry, QuarantineEvent},
    request::Phase,
};

/// The result of a probe on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered without naming its incarnation.
    Alive,
    /// The server answered and named its incarnation.
    AliveAs {
        /// The incarnation.
        incarnation: u64,
    },
    /// The server did not answer.
    Dead,
}

impl Scheduler {
    /// Reports that the request was written completely. The time to the first token is measured
    /// from `now`.
    pub fn dispatched(&mut self, ticket: Ticket, now: Instant) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if let Phase::Running(attempt) = &mut request.phase {
            attempt.sent_at = now;
            attempt.last_token_at = now;
        }
    }

    /// Reports the first token. The other attempt of a hedged request is cancelled.
    pub fn first_token(&mut self, ticket: Ticket, now: Instant) {
        self.release_reservation(ticket);
        self.finish_prefill(ticket);
        self.record_answer(now, ticket);
        self.record_answer_time(now, ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let (Phase::Running(attempt) | Phase::Paused(attempt)) = &mut request.phase else { return };
        attempt.tokens = attempt.tokens.max(1);
        attempt.first_token_at.get_or_insert(now);
        attempt.last_token_at = now;
        let (backend, latency) = (attempt.backend, now.saturating_duration_since(attempt.sent_at));
        let (pool, other_attempt) = (request.offer.pool, request.other_attempt.take());
        self.backends[backend].first_token_ms.add(latency.as_secs_f64() * 1e3);
        self.backends[backend].clear_overload_backoff();
        self.pools[pool].throughput.add(now, 1);
        if let Some(other_attempt) = other_attempt {
            self.record_unanswered(now, other_attempt);
            self.cancel_other_attempt(other_attempt);
        }
    }

    /// Reports `count` tokens after the first one.
    pub fn tokens(&mut self, ticket: Ticket, now: Instant, count: u32) {
        self.record_answer(now, ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let is_running = matches!(request.phase, Phase::Running(_));
        let (Phase::Running(attempt) | Phase::Paused(attempt)) = &mut request.phase else { return };
        if count == 0 {
            return;
        }
        let pause = now.saturating_duration_since(attempt.last_token_at);
        let gap = pause / count;
        let has_gap = attempt.tokens > 0 && is_running;
        if has_gap {
            attempt.longest_pause = attempt.longest_pause.max(pause);
        }
        attempt.tokens += count;
        attempt.last_token_at = now;
        let backend = attempt.backend;
        self.pools[request.offer.pool].throughput.add(now, u64::from(count));
        if has_gap {
            self.backends[backend].observe_gap(now, gap);
        }
        self.record_part_progress(now, ticket);
    }

    /// Reports that the caller has disconnected, and closes the ticket. The router itself cancels
    /// the attempt; another attempt of a hedged request is cancelled by an [`Action::Cancel`].
    pub fn cancelled(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else { return };
        let other_attempt = request.other_attempt;
        self.remove_from_queue(ticket);
        self.end_attempt(ticket);
        self.requests.remove(ticket);
        if let Some(other_attempt) = other_attempt {
            self.cancel_other_attempt(other_attempt);
        }
    }

    /// Reports a timeout on an open connection. A probe then distinguishes a failed connection from
    /// a failed server.
    pub fn connection_timed_out(&mut self, backend: BackendKey, now: Instant) {
        let Some(entry) = self.backends.get_mut(backend) else { return };
        if entry.health == Health::Up {
            entry.health = Health::Suspect;
            entry.next_probe = Some(now);
        }
    }

    /// Reports the result of a probe.
    pub fn probe_result(&mut self, backend: BackendKey, now: Instant, result: ProbeResult) {
        if let ProbeResult::AliveAs { incarnation } = result {
            self.update_incarnation(now, backend, incarnation);
        }
        let interval = self.settings.probe_interval;
        let Some(entry) = self.backends.get_mut(backend) else { return };
        match result {
            ProbeResult::Alive | ProbeResult::AliveAs { .. } => {
                entry.path.probe_answered();
                entry.down_report.probe_answered(now);
            }
            ProbeResult::Dead => entry.path.failed(),
        }
        match (entry.health, result) {
            (Health::Suspect, ProbeResult::Alive | ProbeResult::AliveAs { .. }) => {
                entry.health = Health::Up;
                entry.next_probe = None;
            }
            (Health::Down, ProbeResult::Alive | ProbeResult::AliveAs { .. }) => {
                entry.health = Health::Up;
                entry.next_probe = None;
                entry.slow_start_since = Some(now);
                entry.reset_speed();
                entry.failures = FailureRecord::default();
                entry.recoveries += 1;
                entry.crashed_incarnation = None;
            }
            (Health::Up | Health::Suspect | Health::Down, ProbeResult::Dead) => {
                entry.health = Health::Down;
                entry.next_probe = Some(now + interval);
            }
            _ => {}
        }
        if entry.health == Health::Up && !entry.path.is_proven() {
            entry.next_probe = Some(now + PROOF_INTERVAL);
        }
    }

    /// The quarantine entries to send to the other routers of the failure domain.
    pub fn export_quarantine(&mut self, now: Instant) -> Vec<QuarantineEntry> {
        self.quarantine.export(now)
    }

    /// Merges the quarantine entries of another router, or of all routers together.
    pub fn import_quarantine(&mut self, now: Instant, entries: &[QuarantineEntry]) {
        for entry in entries {
            self.quarantine.import(now, entry);
        }
    }

    /// The changes of the quarantine since the last call, for logs.
    pub fn take_quarantine_events(&mut self) -> Vec<QuarantineEvent> {
        self.quarantine.take_events()
    }

    fn cancel_other_attempt(&mut self, other_attempt: Ticket) {
        let Some(attempt) = self.end_attempt(other_attempt) else {
            self.remove_from_queue(other_attempt);
            self.requests.remove(other_attempt);
            return;
        };
        self.requests.remove(other_attempt);
        self.actions.push(Action::Cancel { ticket: other_attempt, backend: attempt.backend });
    }
}
