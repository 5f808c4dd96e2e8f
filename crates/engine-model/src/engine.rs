//! The engine: requests come in, steps come out.

use std::{collections::BTreeMap, time::Duration};

use derive_more::{Display, Error};

use crate::{
    CacheEvents, CacheSeq, EngineSettings, KvExport, PausedKv, RequestId, RequestSpec,
    batch::Batch,
    cache::PrefixCache,
    kv::KvPool,
    sequence::{KvState, Sequence, SequenceState},
};

/// An engine that batches continuously.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) sequences: BTreeMap<RequestId, Sequence>,
    pub(crate) batch: Batch,
    pub(crate) kv: KvPool,
    pub(crate) cache: PrefixCache,
    pub(crate) last_step: Duration,
    orders: u64,
}

/// What one step did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepReport {
    /// Time that the step takes; zero if nothing ran.
    pub duration: Duration,
    /// Requests that entered the batch.
    pub admitted: Vec<RequestId>,
    /// Tokens made, in the order of the batch.
    pub tokens: Vec<EmittedTokens>,
    /// Requests whose last token is in `tokens`; the engine has forgotten them.
    pub finished: Vec<RequestId>,
    /// Requests put back to wait because KV memory ran out; their tokens stay valid.
    pub preempted: Vec<RequestId>,
    /// Prompt tokens computed.
    pub prefill_tokens: u32,
    /// Prompt tokens found in the prefix cache at admission.
    pub cached_tokens: u32,
}

/// Tokens that a step made for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EmittedTokens {
    /// The request.
    pub id: RequestId,
    /// How many tokens.
    pub count: u32,
}

/// The engine's state as a load report gives it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
    /// Paused requests.
    pub paused: u32,
    /// Share of the KV memory in use.
    pub kv_used_permille: u32,
    /// Blocks in the prefix cache.
    pub cached_blocks: u32,
    /// Time of the last step that ran something.
    pub last_step: Duration,
    /// Sequences in the batch at most.
    pub batch_max: u32,
}

/// What a cancelled request had cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cancelled {
    /// Tokens made for it, now wasted.
    pub produced_tokens: u32,
}

/// Why a request was not taken; it has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SubmitError {
    /// The waiting queue is full.
    #[display("the waiting queue is full: send the request to another engine or later")]
    QueueFull,
    /// The request would never fit into the KV memory.
    #[display("prompt and answer exceed the KV memory: shorten the prompt or lower max_tokens")]
    TooLarge,
    /// A live request has the same id.
    #[display("a live request has this id: choose another")]
    DuplicateId,
}

impl Engine {
    /// An idle engine with an empty prefix cache.
    pub fn new(settings: EngineSettings) -> Engine {
        Engine {
            sequences: BTreeMap::new(),
            batch: Batch::default(),
            kv: KvPool::new(settings.kv_blocks, settings.block_tokens),
            cache: PrefixCache::new(settings.prefix_cache_blocks, settings.cache_events_max),
            last_step: Duration::ZERO,
            orders: 0,
            settings,
        }
    }

    /// Takes a request into the waiting queue.
    ///
    /// # Errors
    /// Refuses when the queue is full, the request can never fit or its id is in use.
    pub fn submit(&mut self, spec: RequestSpec) -> Result<(), SubmitError> {
        self.insert(spec, 0, KvState::Missing)
    }

    /// Takes a request that another engine began; it goes on after the tokens made there.
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

    /// Copies a request and, if its KV is complete here, its KV; the request goes on here.
    pub fn export(&self, id: RequestId) -> Option<KvExport> {
        let sequence = self.sequences.get(&id)?;
        let kv_tokens = match sequence.kv {
            KvState::Ready | KvState::Imported => sequence.context_tokens(),
            KvState::Missing | KvState::Prefilling { .. } => 0,
        };
        let produced_tokens = sequence.produced_tokens;
        Some(KvExport { spec: sequence.spec.clone(), produced_tokens, kv_tokens })
    }

    /// Forgets a request and frees its memory; `None` if there is no such request.
    pub fn cancel(&mut self, id: RequestId) -> Option<Cancelled> {
        let mut sequence = self.sequences.remove(&id)?;
        self.batch.remove(&sequence);
        self.kv.free(&mut sequence.kv_blocks);
        Some(Cancelled { produced_tokens: sequence.produced_tokens })
    }

    /// Takes a request out of the batch or the queue; `None` if there is no such request.
    ///
    /// Pausing a paused request changes nothing. Returns the tokens made so far.
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

    /// Puts a paused request back into the waiting queue; `None` if there is no such request.
    ///
    /// Resuming a request that is not paused changes nothing. Returns the tokens made so far.
    pub fn resume(&mut self, id: RequestId) -> Option<u32> {
        let sequence = self.sequences.get_mut(&id)?;
        if sequence.state == SequenceState::Paused {
            sequence.state = SequenceState::Waiting;
            self.batch.wait(sequence);
        }
        Some(sequence.produced_tokens)
    }

    /// Sets the time of steps against a healthy engine's; 1,000 is healthy.
    pub fn set_slowdown_permille(&mut self, slowdown_permille: u64) {
        self.settings.slowdown_permille = slowdown_permille;
    }

    /// The present load.
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

    /// Blocks of KV memory in use.
    pub fn kv_used_blocks(&self) -> u32 {
        self.kv.used()
    }

    /// Whether a step would do nothing.
    pub fn is_idle(&self) -> bool {
        self.batch.running().is_empty() && self.batch.waiting_len() == 0
    }

    /// The cache events from `since` on that are still in the log.
    pub fn cache_events(&self, since: CacheSeq) -> CacheEvents {
        self.cache.events_since(since)
    }

    fn insert(
        &mut self,
        spec: RequestSpec,
        produced_tokens: u32,
        kv: KvState,
    ) -> Result<(), SubmitError> {
        self.check_room(&spec)?;
        self.orders += 1;
        let id = spec.id;
        let sequence = Sequence {
            spec,
            state: SequenceState::Waiting,
            order: self.orders,
            produced_tokens,
            kv_blocks: 0,
            kv,
        };
        self.batch.wait(&sequence);
        self.sequences.insert(id, sequence);
        Ok(())
    }

    fn check_room(&self, spec: &RequestSpec) -> Result<(), SubmitError> {
        if self.sequences.contains_key(&spec.id) {
            return Err(SubmitError::DuplicateId);
        }
        // A step reserves the memory of one token more than the context.
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
