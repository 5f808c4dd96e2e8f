//! The engine's state and its transitions; no function here waits or writes to a connection.

use std::time::{Duration, Instant};

use engine_model::{
    CacheEvents, CacheSeq, Engine, EngineLoad, KvExport, Priority, RequestId, StepReport,
    SubmitError,
};

use super::{
    api::KvTransfer,
    loaded_models::LoadedModels,
    streams::{Answer, GenerationRequest, Phase, Reader, Stream, Streams},
};
use crate::{lagged::Lagged, settings::EngineSettings, stats::Stats};

/// The mutable state of an engine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) engine: Engine,
    pub(crate) streams: Streams,
    pub(crate) loaded_models: LoadedModels,
    pub(crate) stats: Stats,
    load: Lagged<EngineLoad>,
    /// The sequence number after the newest cache event.
    cache_end: Lagged<CacheSeq>,
    lost_cache_event_every: u64,
    detached_keep: Duration,
    block_tokens: u32,
}

impl State {
    pub(crate) fn new(settings: &EngineSettings, now: Instant) -> State {
        let engine = Engine::new(settings.model.clone());
        State {
            load: Lagged::new(settings.report_lag(), now, engine.load()),
            cache_end: Lagged::new(settings.cache_event_lag(), now, CacheSeq(1)),
            engine,
            streams: Streams::default(),
            loaded_models: LoadedModels::new(&settings.models, settings.fencing),
            stats: Stats::default(),
            lost_cache_event_every: settings.lost_cache_event_every,
            detached_keep: settings.detached_keep(),
            block_tokens: settings.model.block_tokens,
        }
    }

    /// Enqueues a request.
    ///
    /// # Errors
    /// Fails if the engine refuses the request or its name is in use; it has not started then.
    pub(crate) fn submit(
        &mut self,
        request: GenerationRequest,
        priority: Priority,
        now: Instant,
    ) -> Result<RequestId, SubmitError> {
        self.ensure_name_free(&request.name, now)?;
        let id = self.streams.next_id();
        let submitted = self.engine.submit(request.spec(id, priority, self.block_tokens));
        if let Err(error) = submitted {
            self.stats.requests_refused += 1;
            return Err(error);
        }
        self.stats.requests_started += 1;
        let answer = Answer::new(&request);
        self.streams.insert(id, Stream::new(request, answer, Phase::Active, now));
        self.record_samples(now);
        Ok(id)
    }

    /// Replaces the answer of `id` with the name and content of another request.
    pub(crate) fn cross(&mut self, id: RequestId) {
        let other = match self.streams.newest_except(id) {
            Some(other) => other.request.clone(),
            None => unrelated_request(),
        };
        let Some(stream) = self.streams.by_id.get_mut(&id) else { return };
        stream.answer = Answer::new(&other).into();
        self.stats.answers_crossed += 1;
    }

    /// Publishes the tokens of a step after its simulated duration has passed.
    pub(crate) fn apply_step(&mut self, report: &StepReport, now: Instant) {
        self.stats.prefill_tokens += u64::from(report.prefill_tokens);
        self.stats.cached_tokens += u64::from(report.cached_tokens);
        for emitted in &report.tokens {
            self.stats.tokens_generated += u64::from(emitted.count);
            let Some(stream) = self.streams.by_id.get_mut(&emitted.id) else {
                // The stream was cancelled during the step.
                self.stats.tokens_wasted += u64::from(emitted.count);
                continue;
            };
            stream.produced_tokens += emitted.count;
            stream.notify();
        }
        for id in &report.finished {
            let Some(stream) = self.streams.by_id.get_mut(id) else { continue };
            self.stats.requests_finished += 1;
            stream.phase = Phase::Finished;
            stream.notify();
        }
        self.record_samples(now);
    }

    /// Pauses a stream and notifies its reader; returns the number of tokens generated so far.
    pub(crate) fn pause(&mut self, id: RequestId, now: Instant) -> Option<u32> {
        let stream = self.streams.by_id.get_mut(&id)?;
        if stream.phase == Phase::Active {
            self.engine.pause(id);
            stream.phase = Phase::Paused;
            stream.notify();
        }
        let produced_tokens = stream.produced_tokens;
        self.record_samples(now);
        Some(produced_tokens)
    }

    /// Continues a stream if it is paused, and attaches the caller as its reader.
    pub(crate) fn resume(&mut self, id: RequestId, now: Instant) -> Option<Reader> {
        let stream = self.streams.by_id.get_mut(&id)?;
        if stream.phase == Phase::Paused {
            self.engine.resume(id);
            stream.phase = Phase::Active;
        }
        self.record_samples(now);
        self.streams.attach(id)
    }

    /// Detaches a reader that disconnected, and pauses the stream so that it can be resumed.
    pub(crate) fn abandon(&mut self, reader: &Reader, now: Instant) {
        if self.streams.detach(reader, now) {
            self.pause(reader.id, now);
        }
    }

    /// Detaches a reader to which everything was sent, and retains the stream for a resume, since
    /// the connection may have lost the end of the answer.
    pub(crate) fn deliver(&mut self, reader: &Reader, now: Instant) {
        if self.streams.detach(reader, now) {
            self.mark_delivered(reader.id);
            self.streams.retain_delivered(reader.id);
        }
    }

    /// Removes a stream and counts its tokens as wasted; returns their number.
    pub(crate) fn cancel(&mut self, id: RequestId, now: Instant) -> Option<u32> {
        let stream = self.streams.remove(id)?;
        self.engine.cancel(id);
        if stream.phase != Phase::Finished {
            self.stats.requests_cancelled += 1;
        }
        if !(stream.is_delivered && stream.is_crossed()) {
            self.stats.tokens_wasted += u64::from(stream.produced_tokens);
        }
        self.record_samples(now);
        Some(stream.produced_tokens)
    }

    /// Removes the streams that had no reader for longer than the retention period; those that were
    /// not delivered are cancelled.
    pub(crate) fn expire(&mut self, now: Instant) {
        let Some(limit) = now.checked_sub(self.detached_keep) else { return };
        for id in self.streams.detached_before(limit) {
            if self.streams.by_id[&id].is_delivered {
                self.streams.remove(id);
            } else {
                self.cancel(id, now);
            }
        }
    }

    /// Exports a stream that the engine has not finished; the stream itself stays.
    pub(crate) fn export(&self, id: RequestId) -> Option<KvTransfer> {
        let stream = self.streams.by_id.get(&id)?;
        // The engine may be one step ahead of the tokens published so far.
        let engine = self.engine.export(id)?;
        let produced_tokens = stream.produced_tokens;
        let ahead_tokens = engine.produced_tokens - produced_tokens;
        let kv_tokens = engine.kv_tokens.saturating_sub(ahead_tokens);
        let GenerationRequest { name, model, prompt, max_tokens } = stream.request.clone();
        Some(KvTransfer {
            request_id: name,
            model,
            prompt,
            max_tokens,
            export: KvExport { produced_tokens, kv_tokens, ..engine },
        })
    }

    /// Imports another engine's stream, paused until it is resumed.
    ///
    /// # Errors
    /// Fails if the engine refuses the stream or its name is in use; nothing is imported then.
    pub(crate) fn import(
        &mut self,
        transfer: KvTransfer,
        now: Instant,
    ) -> Result<u32, SubmitError> {
        let KvTransfer { request_id: name, model, prompt, max_tokens, export } = transfer;
        self.ensure_name_free(&name, now)?;
        let request = GenerationRequest { name, model, prompt, max_tokens };
        let id = self.streams.next_id();
        let spec = request.spec(id, export.spec.priority, self.block_tokens);
        let produced_tokens = export.produced_tokens.min(spec.output_tokens);
        self.engine.import(KvExport { spec, produced_tokens, ..export })?;
        self.engine.pause(id);
        let answer = Answer::new(&request);
        let mut stream = Stream::new(request, answer, Phase::Paused, now);
        stream.produced_tokens = produced_tokens;
        self.streams.insert(id, stream);
        self.stats.requests_started += 1;
        self.record_samples(now);
        Ok(produced_tokens)
    }

    /// The load as reported with the configured lag, and the age of the report.
    pub(crate) fn reported_load(&self, now: Instant) -> (EngineLoad, Duration) {
        let (load, age) = self.load.visible(now);
        (*load, age)
    }

    /// The cache events that are older than the configured lag, without those that
    /// `lost_cache_event_every` drops.
    pub(crate) fn reported_cache_events(&self, since: CacheSeq, now: Instant) -> CacheEvents {
        let end = *self.cache_end.visible(now).0;
        let mut page = self.engine.cache_events(since);
        let every = self.lost_cache_event_every;
        page.events.retain(|it| it.seq < end && (every == 0 || it.seq.0 % every != 0));
        page.next = page.next.min(end.max(since));
        page
    }

    pub(crate) fn current_stats(&self) -> Stats {
        Stats {
            tokens_detached: self.streams.detached_tokens(),
            stale_orders_applied: self.loaded_models.stale_applied,
            ..self.stats
        }
    }

    /// Removes a finished stream of this name, so that a caller can reuse the name at once.
    ///
    /// # Errors
    /// [`SubmitError::DuplicateId`] if the stream of this name has not finished.
    fn ensure_name_free(&mut self, name: &str, now: Instant) -> Result<(), SubmitError> {
        let Some(id) = self.streams.find(name) else { return Ok(()) };
        let stream = &self.streams.by_id[&id];
        if stream.phase != Phase::Finished {
            return Err(SubmitError::DuplicateId);
        }
        if stream.is_detached() && !stream.is_delivered {
            self.cancel(id, now);
        }
        self.mark_delivered(id);
        self.streams.remove(id);
        Ok(())
    }

    /// Marks a stream as delivered; the first time, counts a crossed answer's tokens as wasted.
    fn mark_delivered(&mut self, id: RequestId) {
        let Some(stream) = self.streams.by_id.get_mut(&id) else { return };
        if stream.is_crossed() && !stream.is_delivered {
            self.stats.tokens_wasted += u64::from(stream.produced_tokens);
        }
        stream.is_delivered = true;
    }

    fn record_samples(&mut self, now: Instant) {
        self.load.set(now, self.engine.load());
        let end = self.engine.cache_events(CacheSeq(u64::MAX)).next;
        self.cache_end.set(now, end);
    }
}

/// An invented request, whose answer is used for crossing if the engine has no other stream.
fn unrelated_request() -> GenerationRequest {
    GenerationRequest {
        name: "stranger".to_owned(),
        model: "stranger".to_owned(),
        prompt: "a question of somebody else".to_owned(),
        max_tokens: 16,
    }
}
