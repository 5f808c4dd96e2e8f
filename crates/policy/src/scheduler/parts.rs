//! Parts of prompts that crash servers: their evidence, and the refusal of requests that have one.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::{
    keys::Ticket,
    part_suspects::{PartChange, PartEntry, PartReport},
    prompt::Prompt,
    quarantine::CrashSite,
    request::{Attempt, Refusal, RefusalReason},
};

/// A server that crashes because of a request does so before it has answered for this long, and one
/// that has answered for longer does not crash because of it.
const ANSWER_START: Duration = Duration::from_millis(300);

impl Scheduler {
    /// What to report to the hub about parts of prompts: all that has changed since the report with
    /// the stamp `acknowledged`, or everything for 0.
    pub fn part_reports(&mut self, now: Instant, acknowledged: u64) -> PartReport {
        self.part_suspects.report(now, acknowledged)
    }

    /// Merges what the hub knows about parts of prompts.
    pub fn import_parts(&mut self, now: Instant, entries: &[PartEntry]) {
        for entry in entries {
            self.part_suspects.merge(now, entry);
        }
    }

    /// The parts that were refused or cleared since the last call, for logs.
    pub fn take_part_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.part_changes)
    }

    /// Time until a request with the prompt may be offered again, if one of its parts is refused.
    pub(super) fn check_parts(&mut self, now: Instant, prompt: &Prompt) -> Result<(), Refusal> {
        self.decide_parts(now);
        let parts = prompt.shared_ids();
        let Some(retry_after) = self.part_suspects.refusal(now, &parts) else { return Ok(()) };
        self.part_suspects.renew_refusal(now, &parts);
        Err(Refusal { reason: RefusalReason::Quarantined, retry_after })
    }

    /// Time until the request may be offered again, if a part of its prompt is refused.
    pub(super) fn part_refusal(&self, now: Instant, ticket: Ticket) -> Option<Duration> {
        let prompt = self.prompt(ticket)?;
        self.part_suspects.refusal(now, &prompt.shared_ids())
    }

    /// Refuses the queued requests with parts that have just been refused.
    pub(super) fn refuse_parts(&mut self, now: Instant) {
        self.decide_parts(now);
        if !std::mem::take(&mut self.has_new_refused_part) {
            return;
        }
        let queued = self.requests.iter().filter(|(_, it)| it.attempt().is_none());
        let refused =
            queued.filter_map(|(ticket, _)| Some((ticket, self.part_refusal(now, ticket)?)));
        for (ticket, retry_after) in refused.collect::<Vec<_>>() {
            self.remove_from_queue(ticket);
            self.close_refused(ticket, Refusal { reason: RefusalReason::Quarantined, retry_after });
        }
    }

    /// Records that the parts of the request's prompt were answered.
    pub(super) fn record_parts_answered(&mut self, now: Instant, ticket: Ticket) {
        if let Some(prompt) = self.prompt(ticket) {
            let parts = prompt.shared_ids();
            self.part_suspects.record_answer(now, &parts);
        }
    }

    /// Records that the parts of the request's prompt are being answered without a crash.
    pub(super) fn record_part_progress(&mut self, now: Instant, ticket: Ticket) {
        let Some(attempt) = self.requests.get_mut(ticket).and_then(|it| it.attempt_mut()) else {
            return;
        };
        if !attempt.is_proven && !attempt.is_starting(now) {
            attempt.is_proven = true;
            self.record_parts_answered(now, ticket);
        }
    }

    /// Makes the parts of the requests that had just begun on a crashed server suspects.
    pub(super) fn record_part_crashes(
        &mut self,
        now: Instant,
        site: CrashSite,
        tickets: &[Ticket],
    ) {
        for ticket in tickets {
            let attempt = self.requests[*ticket].attempt().filter(|it| it.is_starting(now));
            if let Some((attempt, prompt)) = attempt.zip(self.prompt(*ticket)) {
                let parts = prompt.shared_ids();
                self.part_suspects.record_crash(now, site, attempt.sent_at, &parts);
            }
        }
    }

    fn decide_parts(&mut self, now: Instant) {
        self.part_suspects.decide(now);
        let changes = self.part_suspects.take_changes();
        self.has_new_refused_part |=
            changes.iter().any(|it| matches!(it, PartChange::Refused { .. }));
        self.part_changes.extend(changes);
    }
}

impl Attempt {
    /// Whether the answer has begun less than [`ANSWER_START`] ago, or not at all.
    fn is_starting(&self, now: Instant) -> bool {
        self.first_token_at.is_none_or(|it| now < it + ANSWER_START)
    }
}
