//! The streams of an engine: the request, progress and reader of each.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Instant,
};

use engine_model::{Priority, RequestId, RequestSpec, answer, prefix_blocks, token_count};
use futures::channel::mpsc;

use super::api::{FinishReason, Usage};

/// Maximum number of delivered streams that are retained for a resume.
const DELIVERED_STREAMS_MAX: usize = 64;

/// The request that a stream answers; `name` is the request id of the caller.
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

/// The answer that the caller of a stream receives; a crossed one belongs to another request.
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
    /// The engine has generated all tokens; the reader may not have read them yet.
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
    /// Counts the readers attached so far, which identifies the current one.
    attachment: u64,
    /// Whether everything was sent to a reader; it may not have arrived.
    pub(crate) is_delivered: bool,
    /// When the last reader detached, or the stream was created; `None` while there is a reader.
    detached_at: Option<Instant>,
}

/// The handle of a stream's reader; a later reader invalidates it.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) id: RequestId,
    pub(crate) answer: Rc<Answer>,
    attachment: u64,
    /// The number of tokens generated when the reader last checked.
    pub(crate) observed_tokens: u32,
    pub(crate) changed: mpsc::Receiver<()>,
}

/// The progress of a stream, as its reader sees it.
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

    /// Whether the stream has no reader.
    pub(crate) fn is_detached(&self) -> bool {
        self.detached_at.is_some()
    }

    /// Whether the caller receives another request's answer.
    pub(crate) fn is_crossed(&self) -> bool {
        self.answer.name != self.request.name
    }

    pub(crate) fn notify(&mut self) {
        if let Some(reader) = &mut self.reader {
            // A full channel means that a notification is already pending.
            let _ = reader.try_send(());
        }
    }
}

/// All streams of an engine.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    pub(crate) by_id: BTreeMap<RequestId, Stream>,
    by_name: BTreeMap<String, RequestId>,
    /// Delivered streams, oldest first; it may hold ids of streams that were removed since.
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
        // This drops the previous reader's sender, which closes its channel.
        stream.reader = Some(sender);
        stream.attachment += 1;
        stream.detached_at = None;
        let answer = Rc::clone(&stream.answer);
        Some(Reader { id, answer, attachment: stream.attachment, observed_tokens: 0, changed })
    }

    /// Detaches a reader; returns `false` if it was no longer attached.
    pub(crate) fn detach(&mut self, reader: &Reader, now: Instant) -> bool {
        let Some(stream) = self.attached_stream(reader) else { return false };
        stream.reader = None;
        stream.detached_at = Some(now);
        true
    }

    /// Records a delivery and evicts the oldest delivered stream if there are too many.
    pub(crate) fn retain_delivered(&mut self, id: RequestId) {
        self.delivered.push_back(id);
        if self.delivered.len() <= DELIVERED_STREAMS_MAX {
            return;
        }
        let oldest = self.delivered.pop_front();
        // A resumed stream has a reader, or was delivered again and is in the queue a second time.
        let Some(oldest) = oldest.filter(|it| !self.delivered.contains(it)) else { return };
        if self.by_id.get(&oldest).is_some_and(Stream::is_detached) {
            self.remove(oldest);
        }
    }

    /// The progress of a stream, or `None` if a later reader took it over or it was cancelled.
    pub(crate) fn progress(&mut self, reader: &Reader) -> Option<Progress> {
        let stream = self.attached_stream(reader)?;
        Some(Progress { produced_tokens: stream.produced_tokens, phase: stream.phase })
    }

    /// The newest stream other than `except`.
    pub(crate) fn newest_except(&self, except: RequestId) -> Option<&Stream> {
        self.by_id.iter().rev().find(|(id, _)| **id != except).map(|(_, stream)| stream)
    }

    /// The streams that have had no reader since before `limit`.
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
