//! The engine: request submission, pause and resume, KV transfer and load.

use std::{collections::BTreeMap, time::Duration};

use derive_more::{Display, Error};

use crate::{
    CacheEvents, CacheSeq, EngineSettings, KvExport, PausedKv, RequestId, RequestSpec,
    batch::Batch,
    cache::PrefixCache,
    kv::KvPool,
    sequence::{KvState, Sequence, SequenceState},
};

/// An inference engine with continuous batching.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) sequences: BTreeMap<RequestId, Sequence>,
    pub(crate) batch: Batch,
    pub(crate) kv: KvPool,
    pub(crate) cache: PrefixCache,
    pub(crate) last_step: Duration,
    last_order: u64,
}

/// The result of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepReport {
    /// Modelled duration of the step; zero if nothing ran.
    pub duration: Duration,
    /// Requests admitted to the batch.
    pub admitted: Vec<RequestId>,
    /// Tokens decoded, in batch order.
    pub tokens: Vec<EmittedTokens>,
    /// Requests whose last token is in `tokens`; the engine no longer holds them.
    pub finished: Vec<RequestId>,
    /// Requests preempted and enqueued again because KV memory ran out; their tokens stay valid.
    pub preempted: Vec<RequestId>,
    /// Tokens prefilled, including answer tokens recomputed after a preemption or a pause.
    pub prefill_tokens: u32,
    /// Prompt tokens found in the prefix cache at admission.
    pub cached_tokens: u32,
}

/// The tokens that a step decoded for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EmittedTokens {
    /// The request.
    pub id: RequestId,
    /// Number of tokens.
    pub count: u32,
}

/// A snapshot of the engine's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Requests that wait for admission to the batch.
    pub waiting: u32,
    /// Paused requests.
    pub paused: u32,
    /// Fraction of the KV memory in use, in permille.
    pub kv_used_permille: u32,
    /// Blocks in the prefix cache.
    pub cached_blocks: u32,
    /// Duration of the last step that ran a sequence.
    pub last_step: Duration,
    /// Maximum number of sequences in the batch.
    pub batch_max: u32,
}

/// The wasted work of a cancelled request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cancelled {
    /// Tokens decoded before the cancellation.
    pub produced_tokens: u32,
}

/// The reason why a request was rejected before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SubmitError {
    /// The waiting queue is full.
    #[display("the waiting queue is full: send the request to another engine or later")]
    QueueFull,
    /// The request exceeds the total KV memory.
    #[display("prompt and answer exceed the KV memory: shorten the prompt or lower max_tokens")]
    TooLarge,
    /// A live request has the same id.
    #[display("a live request has this id: choose another")]
    DuplicateId,
}

impl Engine {
    /// Creates an idle engine with an empty prefix cache.
    pub fn new(settings: EngineSettings) -> Engine {
        Engine {
            sequences: BTreeMap::new(),
            batch: Batch::default(),
            kv: KvPool::new(settings.kv_blocks, settings.block_tokens),
            cache: PrefixCache::new(settings.prefix_cache_blocks, settings.cache_events_max),
            last_step: Duration::ZERO,
            last_order: 0,
            settings,
        }
    }

    /// Adds a request to the waiting queue.
    ///
    /// # Errors
    /// Fails if the queue is full, the request exceeds the KV memory or its ID is in use.
    pub fn submit(&mut self, spec: RequestSpec) -> Result<(), SubmitError> {
        self.insert(spec, 0, KvState::Missing)
    }

    /// Adds a request that another engine started; it continues after the tokens decoded there.
    ///
    /// # Errors
    /// As [`Engine::submit`].
    pub fn import(&mut self, export: KvExport) -> Result<(), SubmitError> {
        let context_tokens = export.spec.prompt_tokens.saturating_add(export.produced_tokens);
        let kv =
            if export.kv_tokens >= context_tokens { KvState::Imported } else { KvState::Missing };
        let produced_tokens = export.produced_tokens.min(export.spec.output_tokens);
        self.insert(export.spec, produced_tokens, kv)
    }

    /// Copies a request and, if its KV is complete, its KV; the request also stays on this engine.
    pub fn export(&self, id: RequestId) -> Option<KvExport> {
        let sequence = self.sequences.get(&id)?;
        let kv_tokens = match sequence.kv {
            KvState::Ready | KvState::Imported => sequence.context_tokens(),
            KvState::Missing | KvState::Prefilling { .. } => 0,
        };
        let produced_tokens = sequence.produced_tokens;
        Some(KvExport { spec: sequence.spec.clone(), produced_tokens, kv_tokens })
    }

    /// Removes a request and frees its KV memory; `None` if there is no such request.
    pub fn cancel(&mut self, id: RequestId) -> Option<Cancelled> {
        let mut sequence = self.sequences.remove(&id)?;
        self.batch.remove(&sequence);
        self.kv.free(&mut sequence.kv_blocks);
        Some(Cancelled { produced_tokens: sequence.produced_tokens })
    }

    /// Removes a request from the batch or the queue and keeps it paused.
    ///
    /// Pausing a paused request changes nothing. Returns the number of tokens decoded so far, or
    /// `None` if there is no such request.
    pub fn pause(&mut self, id: RequestId) -> Option<u32> {
        let sequence = self.sequences.get_mut(&id)?;
        self.batch.remove(sequence);
        sequence.state = SequenceState::Paused;
        if self.settings.paused_kv == PausedKv::Free && sequence.kv_blocks > 0 {
            self.kv.free(&mut sequence.kv_blocks);
            sequence.kv = KvState::Missing;
        }
        Some(sequence.produced_tokens)
    }

    /// Adds a paused request to the waiting queue again.
    ///
    /// Resuming a request that is not paused changes nothing. Returns the number of tokens decoded
    /// so far, or `None` if there is no such request.
    pub fn resume(&mut self, id: RequestId) -> Option<u32> {
        let sequence = self.sequences.get_mut(&id)?;
        if sequence.state == SequenceState::Paused {
            sequence.state = SequenceState::Waiting;
            self.batch.enqueue(sequence);
        }
        Some(sequence.produced_tokens)
    }

    /// Sets the step duration relative to a healthy engine's; 1,000 is healthy.
    pub fn set_slowdown_permille(&mut self, slowdown_permille: u64) {
        self.settings.slowdown_permille = slowdown_permille;
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        let running = self.batch.running().len() as u32;
        let waiting = self.batch.waiting_len() as u32;
        let blocks = u64::from(self.kv.blocks().max(1));
        EngineLoad {
            running,
            waiting,
            paused: self.sequences.len() as u32 - running - waiting,
            kv_used_permille: (u64::from(self.kv.used()) * 1_000 / blocks) as u32,
            cached_blocks: self.cache.len() as u32,
            last_step: self.last_step,
            batch_max: self.settings.batch_max,
        }
    }

    /// Returns the number of KV memory blocks in use.
    pub fn kv_used_blocks(&self) -> u32 {
        self.kv.used()
    }

    /// Returns whether a step would have nothing to run.
    pub fn is_idle(&self) -> bool {
        self.batch.running().is_empty() && self.batch.waiting_len() == 0
    }

    /// Returns the cache events from `since` on that are still in the log.
    pub fn cache_events(&self, since: CacheSeq) -> CacheEvents {
        self.cache.events_since(since)
    }

    fn insert(
        &mut self,
        spec: RequestSpec,
        produced_tokens: u32,
        kv: KvState,
    ) -> Result<(), SubmitError> {
        self.validate(&spec)?;
        self.last_order += 1;
        let id = spec.id;
        let sequence = Sequence {
            spec,
            state: SequenceState::Waiting,
            order: self.last_order,
            produced_tokens,
            kv_blocks: 0,
            kv,
        };
        self.batch.enqueue(&sequence);
        self.sequences.insert(id, sequence);
        Ok(())
    }

    fn validate(&self, spec: &RequestSpec) -> Result<(), SubmitError> {
        if self.sequences.contains_key(&spec.id) {
            return Err(SubmitError::DuplicateId);
        }
        // A step reserves KV memory for one token more than the context.
        let tokens = spec.prompt_tokens.saturating_add(spec.output_tokens).saturating_add(1);
        if self.kv.blocks_for(tokens) > self.kv.blocks() {
            return Err(SubmitError::TooLarge);
        }
        if self.batch.waiting_len() >= self.settings.waiting_max as usize {
            return Err(SubmitError::QueueFull);
        }
        Ok(())
    }
}
