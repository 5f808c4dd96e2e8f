//! One engine step: admission by priority, chunked prefill within a token budget, then decode.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    EmittedTokens, Engine, Priority, RequestId, StepReport,
    sequence::{KvState, Sequence, SequenceState},
    settings::NOMINAL_PERMILLE,
};

/// The running batch and the queue of sequences that wait for admission.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    running: Vec<RequestId>,
    waiting: BTreeSet<(Priority, u64, RequestId)>,
}

impl Batch {
    pub(crate) fn running(&self) -> &[RequestId] {
        &self.running
    }

    pub(crate) fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn enqueue(&mut self, sequence: &Sequence) {
        self.waiting.insert(waiting_key(sequence));
    }

    pub(crate) fn remove(&mut self, sequence: &Sequence) {
        self.waiting.remove(&waiting_key(sequence));
        self.running.retain(|it| *it != sequence.spec.id);
    }

    fn first_waiting(&self) -> Option<RequestId> {
        self.waiting.first().map(|(_, _, id)| *id)
    }

    fn start(&mut self, sequence: &Sequence) {
        self.waiting.remove(&waiting_key(sequence));
        self.running.push(sequence.spec.id);
    }
}

fn waiting_key(sequence: &Sequence) -> (Priority, u64, RequestId) {
    (sequence.spec.priority, sequence.order, sequence.spec.id)
}

impl Engine {
    /// Runs one step: admits waiting requests, computes prefill and decodes one token for each
    /// sequence that is ready.
    ///
    /// If nothing runs, the reported duration is zero.
    pub fn step(&mut self) -> StepReport {
        let mut report = StepReport::default();
        self.admit(&mut report);
        let running = self.batch.running().to_vec();
        self.prefill(&running, &mut report);
        report.duration = self.step_time(running.len(), report.prefill_tokens);
        if !running.is_empty() {
            self.last_step = report.duration;
        }
        for id in running {
            self.decode(id, &mut report);
        }
        report
    }

    fn admit(&mut self, report: &mut StepReport) {
        while self.batch.running().len() < self.settings.batch_max as usize {
            // A request that does not fit blocks those behind it, so that smaller requests of lower
            // priority cannot overtake it.
            let Some(id) = self.batch.first_waiting() else { return };
            if !self.reserve(id) {
                return;
            }
            report.cached_tokens += self.start(id);
            report.admitted.push(id);
        }
    }

    /// Reserves KV memory for the context and one more token, reclaiming it from sequences that
    /// are not running if necessary.
    fn reserve(&mut self, id: RequestId) -> bool {
        loop {
            let Some(sequence) = self.sequences.get_mut(&id) else { return false };
            let tokens = sequence.context_tokens() + 1;
            if self.kv.grow(&mut sequence.kv_blocks, tokens).is_ok() {
                return true;
            }
            if !self.reclaim_idle(id) {
                return false;
            }
        }
    }

    /// Frees the KV memory of the least urgent sequence that holds some but is not running.
    ///
    /// Returns `false` if there is none other than `except_id`.
    fn reclaim_idle(&mut self, except_id: RequestId) -> bool {
        let idle = self.sequences.values_mut().filter(|it| {
            it.state != SequenceState::Running && it.kv_blocks > 0 && it.spec.id != except_id
        });
        let Some(victim) = idle.max_by_key(|it| (it.spec.priority, it.order)) else { return false };
        self.kv.free(&mut victim.kv_blocks);
        victim.kv = KvState::Missing;
        true
    }

    /// Moves a sequence into the batch and returns the number of prompt tokens found in the prefix
    /// cache.
    fn start(&mut self, id: RequestId) -> u32 {
        let Some(sequence) = self.sequences.get_mut(&id) else { return 0 };
        self.batch.start(sequence);
        sequence.state = SequenceState::Running;
        match sequence.kv {
            KvState::Ready | KvState::Prefilling { .. } => 0,
            KvState::Imported => {
                sequence.kv = KvState::Ready;
                0
            }
            KvState::Missing => {
                let hit_tokens =
                    self.cache.hit_blocks(&sequence.spec.prefix) * self.settings.block_tokens;
                let cached_tokens = hit_tokens.min(sequence.spec.prompt_tokens.saturating_sub(1));
                let remaining_tokens = sequence.context_tokens() - cached_tokens;
                sequence.kv = KvState::Prefilling { remaining_tokens };
                cached_tokens
            }
        }
    }

    fn prefill(&mut self, running: &[RequestId], report: &mut StepReport) {
        let mut budget_tokens = self.settings.prefill_step_max_tokens.max(1);
        for id in running {
            let Some(sequence) = self.sequences.get_mut(id) else { continue };
            let KvState::Prefilling { remaining_tokens } = sequence.kv else { continue };
            let chunk_tokens = remaining_tokens.min(budget_tokens);
            budget_tokens -= chunk_tokens;
            report.prefill_tokens += chunk_tokens;
            if chunk_tokens < remaining_tokens {
                sequence.kv =
                    KvState::Prefilling { remaining_tokens: remaining_tokens - chunk_tokens };
                continue;
            }
            sequence.kv = KvState::Ready;
            self.cache.store(&sequence.spec.prefix);
        }
    }

    fn step_time(&self, running: usize, prefill_tokens: u32) -> Duration {
        if running == 0 {
            return Duration::ZERO;
        }
        let settings = &self.settings;
        let batch_us = settings.step_per_sequence_us * running as u64;
        let prefill_us = settings.prefill_per_token_us * u64::from(prefill_tokens);
        let nominal_us = settings.step_base_us + batch_us + prefill_us;
        Duration::from_micros(nominal_us * settings.slowdown_permille / NOMINAL_PERMILLE)
    }

    /// Decodes one token for a sequence that is ready and still in the batch.
    fn decode(&mut self, id: RequestId, report: &mut StepReport) {
        if !self.grow_or_preempt(id, report) {
            return;
        }
        let Some(sequence) = self.sequences.get_mut(&id) else { return };
        if !sequence.is_complete() {
            sequence.produced_tokens += 1;
            report.tokens.push(EmittedTokens { id, count: 1 });
        }
        if sequence.is_complete() {
            self.cancel(id);
            report.finished.push(id);
        }
    }

    /// Reserves KV memory for one more token, preempting sequences if necessary.
    ///
    /// Returns `false` if the sequence can't decode in this step, for instance because it was
    /// itself preempted.
    fn grow_or_preempt(&mut self, id: RequestId, report: &mut StepReport) -> bool {
        loop {
            let Some(sequence) = self.sequences.get_mut(&id) else { return false };
            let is_ready = sequence.kv == KvState::Ready;
            if sequence.state != SequenceState::Running || !is_ready {
                return false;
            }
            let tokens = sequence.context_tokens() + 1;
            if self.kv.grow(&mut sequence.kv_blocks, tokens).is_ok() {
                return true;
            }
            if !self.reclaim_idle(id) {
                self.preempt_least_urgent(report);
            }
        }
    }

    /// Preempts the least urgent running sequence: frees its KV memory and enqueues it again, so
    /// that its context is recomputed after the next admission.
    fn preempt_least_urgent(&mut self, report: &mut StepReport) {
        let running = self.sequences.values_mut().filter(|it| it.state == SequenceState::Running);
        let Some(victim) = running.max_by_key(|it| (it.spec.priority, it.order)) else { return };
        self.batch.remove(victim);
        self.kv.free(&mut victim.kv_blocks);
        victim.kv = KvState::Missing;
        victim.state = SequenceState::Waiting;
        self.batch.enqueue(victim);
        report.preempted.push(victim.spec.id);
    }
}
