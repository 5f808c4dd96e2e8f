//! The streams of an engine: what each answers, how far it is and who reads it.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Instant,
};

use engine_model::{Priority, RequestId, RequestSpec, answer, prefix_blocks, token_count};
use futures::channel::mpsc;

use super::api::{FinishReason, Usage};

/// Delivered streams that are kept for a resume.
const DELIVERED_STREAMS_MAX: usize = 64;

/// What a stream was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GenerationRequest {
    pub(crate) name: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
}

impl GenerationRequest {
    pub(crate) fn spec(&self, id: RequestId, priority: Priority, block_tokens: u32) -> RequestSpec {
        let output_tokens = answer::full_length(&self.model, &self.prompt);
        RequestSpec {
            id,
            prompt_tokens: token_count(&self.prompt),
            prefix: prefix_blocks(&self.prompt, block_tokens),
            output_tokens: output_tokens.min(self.max_tokens).max(1),
            priority,
        }
    }
}

/// What the caller of a stream is shown; a crossed answer shows another request's.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) name: String,
    pub(crate) model: String,
    pub(crate) tokens: Vec<String>,
    pub(crate) finish: FinishReason,
    pub(crate) prompt_tokens: u32,
}

impl Answer {
    pub(crate) fn new(request: &GenerationRequest) -> Answer {
        let GenerationRequest { name, model, prompt, max_tokens } = request;
        let unlimited = answer::full_length(model, prompt);
        let finish =
            if unlimited > *max_tokens { FinishReason::Length } else { FinishReason::Stop };
        Answer {
            name: name.clone(),
            model: model.clone(),
            tokens: answer::tokens(model, prompt, *max_tokens),
            finish,
            prompt_tokens: token_count(prompt),
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        let completion_tokens = self.tokens.len() as u32;
        Usage { prompt_tokens: self.prompt_tokens, completion_tokens }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Active,
    Paused,
    /// The engine has made all tokens; the reader may not have taken them.
    Finished,
}

/// One stream.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) request: GenerationRequest,
    pub(crate) answer: Rc<Answer>,
    pub(crate) produced_tokens: u32,
    pub(crate) phase: Phase,
    reader: Option<mpsc::Sender<()>>,
    attachment: u64,
    /// Whether a reader was sent everything; whether it arrived is not known.
    pub(crate) is_delivered: bool,
    /// Since when nobody reads.
    detached_at: Option<Instant>,
}

/// A reader's claim on a stream; a later reader takes it over.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) id: RequestId,
    pub(crate) answer: Rc<Answer>,
    attachment: u64,
    /// What the reader found last.
    pub(crate) observed_tokens: u32,
    pub(crate) changed: mpsc::Receiver<()>,
}

/// What a reader finds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) produced_tokens: u32,
    pub(crate) phase: Phase,
}

impl Stream {
    pub(crate) fn new(
        request: GenerationRequest,
        answer: Answer,
        phase: Phase,
        now: Instant,
    ) -> Stream {
        Stream {
            request,
            answer: Rc::new(answer),
            produced_tokens: 0,
            phase,
            reader: None,
            attachment: 0,
            is_delivered: false,
            detached_at: Some(now),
        }
    }

    /// Whether nobody reads.
    pub(crate) fn is_detached(&self) -> bool {
        self.detached_at.is_some()
    }

    /// Whether its caller is shown another request's answer.
    pub(crate) fn is_crossed(&self) -> bool {
        self.answer.name != self.request.name
    }

    pub(crate) fn notify(&mut self) {
        if let Some(reader) = &mut self.reader {
            // A full channel means that the reader has not looked since the last change.
            let _ = reader.try_send(());
        }
    }
}

/// All streams of an engine.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    pub(crate) by_id: BTreeMap<RequestId, Stream>,
    by_name: BTreeMap<String, RequestId>,
    /// Delivered streams, the oldest first; some have been removed since.
    delivered: VecDeque<RequestId>,
    last_id: u64,
}

impl Streams {
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub(crate) fn find(&self, name: &str) -> Option<RequestId> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn insert(&mut self, id: RequestId, stream: Stream) {
        self.by_name.insert(stream.request.name.clone(), id);
        self.by_id.insert(id, stream);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Stream> {
        let stream = self.by_id.remove(&id)?;
        self.by_name.remove(&stream.request.name);
        Some(stream)
    }

    /// Makes the caller the only reader of a stream.
    pub(crate) fn attach(&mut self, id: RequestId) -> Option<Reader> {
        let stream = self.by_id.get_mut(&id)?;
        let (sender, changed) = mpsc::channel(0);
        // The one before finds its channel closed.
        stream.reader = Some(sender);
        stream.attachment += 1;
        stream.detached_at = None;
        let answer = Rc::clone(&stream.answer);
        Some(Reader { id, answer, attachment: stream.attachment, observed_tokens: 0, changed })
    }

    /// Gives up a claim at `now`; `false` if a later reader or nobody holds it.
    pub(crate) fn detach(&mut self, reader: &Reader, now: Instant) -> bool {
        let Some(stream) = self.attached_stream(reader) else { return false };
        stream.reader = None;
        stream.detached_at = Some(now);
        true
    }

    /// Notes a delivery and removes the oldest delivered stream beyond the bound.
    pub(crate) fn retain_delivered(&mut self, id: RequestId) {
        self.delivered.push_back(id);
        if self.delivered.len() <= DELIVERED_STREAMS_MAX {
            return;
        }
        let oldest = self.delivered.pop_front();
        // A stream that was resumed is being read or stands in the queue once more.
        let Some(oldest) = oldest.filter(|it| !self.delivered.contains(it)) else { return };
        if self.by_id.get(&oldest).is_some_and(Stream::is_detached) {
            self.remove(oldest);
        }
    }

    /// How far the stream is, unless a later reader took it over or it was cancelled.
    pub(crate) fn progress(&mut self, reader: &Reader) -> Option<Progress> {
        let stream = self.attached_stream(reader)?;
        Some(Progress { produced_tokens: stream.produced_tokens, phase: stream.phase })
    }

    /// Another stream than `except`, the newest.
    pub(crate) fn newest_except(&self, except: RequestId) -> Option<&Stream> {
        self.by_id.iter().rev().find(|(id, _)| **id != except).map(|(_, stream)| stream)
    }

    /// The streams that nobody has read since before `limit`.
    pub(crate) fn detached_before(&self, limit: Instant) -> Vec<RequestId> {
        let old = |it: &Stream| it.detached_at.is_some_and(|at| at < limit);
        self.by_id.iter().filter(|(_, it)| old(it)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn detached_tokens(&self) -> u64 {
        let detached = self.by_id.values().filter(|it| it.is_detached() && !it.is_delivered);
        detached.map(|it| u64::from(it.produced_tokens)).sum()
    }

    fn attached_stream(&mut self, reader: &Reader) -> Option<&mut Stream> {
        let stream = self.by_id.get_mut(&reader.id)?;
        let is_attached = stream.reader.is_some() && stream.attachment == reader.attachment;
        is_attached.then_some(stream)
    }
}
