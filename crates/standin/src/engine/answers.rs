//! Writes answers, streamed token by token or as one JSON body.

use std::rc::Rc;

use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use httpio::{
    Bytes, HeaderMap, HeaderValue, StatusCode, header,
    server::{Reply, StreamSender},
    signal::Signal,
    sse,
};
use serde_json::json;

use super::{
    EngineService,
    api::{AssistantMessage, Choice, Completion, Delta, FinishReason},
    streams::{Answer, Phase, Progress, Reader},
};
use crate::{CutStyle, Framing, reply};

/// Chunks of a streamed reply that are buffered for a slow caller.
const BUFFERED_CHUNKS_MAX: usize = 16;
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Outcome of a wait for progress.
enum WaitOutcome {
    Progress(Progress),
    /// The caller disconnected.
    Disconnected,
    /// The stream was cancelled, or a later reader took it over.
    Revoked,
    /// The server crashed.
    Crashed,
}

/// How an answer ends.
enum AnswerEnd {
    /// All tokens were generated.
    Complete,
    /// The stream was paused before this token.
    Paused(u32),
    /// The reply stops without final events: the caller disconnected, the stream was cancelled or
    /// taken over, the server crashed, or a fault cuts the connection.
    Aborted,
    /// A fault cuts the answer, but the body ends like a complete one.
    CutBody,
}

/// Server-sent events that are ready to be sent, as text.
#[derive(Default)]
struct Events(String);

impl EngineService {
    /// Streams the answer, starting at token `from`.
    pub(super) async fn stream(
        self: Rc<Self>,
        reader: Reader,
        from: u32,
        disconnected: Signal,
    ) -> Reply {
        let headers = stream_headers(&reader.answer);
        if self.injector.faults().framing != Framing::Right {
            return self.stream_buffered(reader, from, disconnected, headers).await;
        }
        let (sender, reply) = Reply::stream(StatusCode::OK, headers, BUFFERED_CHUNKS_MAX);
        monoio::spawn(self.send_stream(reader, from, disconnected, sender));
        reply
    }

    async fn send_stream(
        self: Rc<Self>,
        mut reader: Reader,
        from: u32,
        disconnected: Signal,
        mut sender: StreamSender,
    ) {
        let mut next = from;
        loop {
            let mut events = Events::default();
            let end = self.collect_events(&mut reader, &mut next, &disconnected, &mut events).await;
            if matches!(end, Some(AnswerEnd::Aborted)) {
                return;
            }
            if sender.send(events.into()).await.is_err() {
                return self.abandon(&reader);
            }
            match end {
                None => {}
                Some(AnswerEnd::Complete) => {
                    if sender.finish().await.is_err() {
                        return self.abandon(&reader);
                    }
                    return self.deliver(&reader);
                }
                Some(_) => {
                    // The missing final events show the caller that the answer is incomplete.
                    let _ = sender.finish().await;
                    return;
                }
            }
        }
    }

    /// Sends the events in one body of known length, which the framing faults need.
    async fn stream_buffered(
        self: Rc<Self>,
        mut reader: Reader,
        from: u32,
        disconnected: Signal,
        headers: HeaderMap,
    ) -> Reply {
        let mut next = from;
        let mut events = Events::default();
        loop {
            match self.collect_events(&mut reader, &mut next, &disconnected, &mut events).await {
                None => {}
                Some(AnswerEnd::Aborted) => return Reply::abort(),
                Some(_) => {
                    self.deliver(&reader);
                    return Reply::whole(StatusCode::OK, headers, events.into());
                }
            }
        }
    }

    /// Waits for the complete answer and sends it as one JSON body.
    pub(super) async fn complete(
        self: Rc<Self>,
        mut reader: Reader,
        disconnected: Signal,
    ) -> Reply {
        let mut next = 0;
        loop {
            let mut events = Events::default();
            match self.collect_events(&mut reader, &mut next, &disconnected, &mut events).await {
                None => {}
                Some(AnswerEnd::Complete) => {
                    self.deliver(&reader);
                    return completion_reply(&reader.answer, reader.answer.tokens.len());
                }
                Some(AnswerEnd::CutBody) => return completion_reply(&reader.answer, next as usize),
                Some(AnswerEnd::Paused(at)) => {
                    let message = format!("the request was paused at token {at}: resume it");
                    return reply::error(StatusCode::CONFLICT, "paused", &message);
                }
                Some(AnswerEnd::Aborted) => return Reply::abort(),
            }
        }
    }

    /// Waits for tokens from `next` on, appends their events and advances `next`.
    async fn collect_events(
        &self,
        reader: &mut Reader,
        next: &mut u32,
        disconnected: &Signal,
        events: &mut Events,
    ) -> Option<AnswerEnd> {
        let progress = match self.wait_for_progress(reader, disconnected).await {
            WaitOutcome::Progress(progress) => progress,
            WaitOutcome::Disconnected => {
                self.abandon(reader);
                return Some(AnswerEnd::Aborted);
            }
            WaitOutcome::Revoked | WaitOutcome::Crashed => return Some(AnswerEnd::Aborted),
        };
        let answer = Rc::clone(&reader.answer);
        let cut_at = self.injector.faults().cut_after_tokens;
        let is_cut = cut_at.is_some_and(|at| progress.produced_tokens >= at);
        let end = cut_at.unwrap_or(u32::MAX).min(visible_tokens(&answer, &progress));
        for token in answer.tokens.iter().take(end as usize).skip(*next as usize) {
            events.token(&answer, token);
        }
        *next = end.max(*next);
        if is_cut {
            return Some(self.cut(reader));
        }
        match progress.phase {
            Phase::Active => None,
            Phase::Paused => {
                events.paused(*next);
                self.abandon(reader);
                Some(AnswerEnd::Paused(*next))
            }
            Phase::Finished => {
                events.finish(&answer);
                Some(AnswerEnd::Complete)
            }
        }
    }

    async fn wait_for_progress(&self, reader: &mut Reader, disconnected: &Signal) -> WaitOutcome {
        loop {
            let Some(progress) = self.state.borrow_mut().streams.progress(reader) else {
                return WaitOutcome::Revoked;
            };
            if progress.phase != Phase::Active || progress.produced_tokens > reader.observed_tokens
            {
                reader.observed_tokens = progress.produced_tokens;
                return WaitOutcome::Progress(progress);
            }
            let disconnected = disconnected.raised().fuse();
            let crashed = self.injector.crashed.raised().fuse();
            pin_mut!(disconnected, crashed);
            select_biased! {
                () = crashed => return WaitOutcome::Crashed,
                () = disconnected => return WaitOutcome::Disconnected,
                changed = reader.changed.next() => if changed.is_none() {
                    return WaitOutcome::Revoked;
                },
            }
        }
    }

    fn deliver(&self, reader: &Reader) {
        self.state.borrow_mut().deliver(reader, self.clock.now());
    }

    fn abandon(&self, reader: &Reader) {
        self.state.borrow_mut().abandon(reader, self.clock.now());
    }

    fn cut(&self, reader: &Reader) -> AnswerEnd {
        let mut state = self.state.borrow_mut();
        state.cancel(reader.id, self.clock.now());
        state.stats.answers_cut += 1;
        match self.injector.faults().cut_style {
            CutStyle::Connection => AnswerEnd::Aborted,
            CutStyle::Body => AnswerEnd::CutBody,
        }
    }
}

/// The number of tokens that may be sent; a crossed answer may be longer or shorter than the one
/// generated.
fn visible_tokens(answer: &Answer, progress: &Progress) -> u32 {
    let len = answer.tokens.len() as u32;
    match progress.phase {
        Phase::Finished => len,
        Phase::Active | Phase::Paused => progress.produced_tokens.min(len),
    }
}

fn stream_headers(answer: &Answer) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(sse::CONTENT_TYPE));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    if let Ok(name) = HeaderValue::from_str(&answer.name) {
        headers.insert(reply::REQUEST_ID, name);
    }
    headers
}

fn completion_reply(answer: &Answer, tokens: usize) -> Reply {
    let content = answer.tokens[..tokens.min(answer.tokens.len())].concat();
    let body = Completion {
        id: &answer.name,
        object: "chat.completion",
        model: &answer.model,
        choices: [Choice {
            index: 0,
            delta: None,
            message: Some(AssistantMessage { role: "assistant", content }),
            finish_reason: Some(answer.finish),
        }],
        usage: Some(answer.usage()),
    };
    reply::with_request_id(reply::ok(&body), &answer.name)
}

impl Events {
    fn token(&mut self, answer: &Answer, token: &str) {
        self.chunk(answer, Delta { content: Some(token) }, None);
    }

    fn finish(&mut self, answer: &Answer) {
        self.chunk(answer, Delta::default(), Some(answer.finish));
        self.0.push_str(DONE_EVENT);
    }

    fn paused(&mut self, from_token: u32) {
        let data = json!({ "from_token": from_token });
        self.0.push_str(&format!("event: paused\ndata: {data}\n\n"));
    }

    fn chunk(&mut self, answer: &Answer, delta: Delta<'_>, finish_reason: Option<FinishReason>) {
        let chunk = Completion {
            id: &answer.name,
            object: "chat.completion.chunk",
            model: &answer.model,
            choices: [Choice { index: 0, delta: Some(delta), message: None, finish_reason }],
            usage: finish_reason.map(|_| answer.usage()),
        };
        // A struct of plain fields always serializes.
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        self.0.push_str(&format!("data: {data}\n\n"));
    }
}

impl From<Events> for Bytes {
    fn from(events: Events) -> Bytes {
        Bytes::from(events.0)
    }
}
