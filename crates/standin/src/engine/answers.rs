//! Writes answers: streamed token by token, or whole.

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
    api::{Choice, Completion, Delta, FinishReason, WholeMessage},
    streams::{Phase, Progress, Reader, Shown},
};
use crate::{CutStyle, Framing, reply};

/// Parts of a streamed reply that may wait for a slow caller.
const WAITING_PARTS_MAX: usize = 16;
const DONE: &str = "data: [DONE]\n\n";

/// How a wait for progress ended.
enum Waited {
    Progress(Progress),
    /// The caller has gone.
    Gone,
    /// The stream was cancelled, or another reader has it.
    Lost,
    /// The server crashed.
    Crashed,
}

/// How an answer ends.
enum End {
    /// All of it was made.
    Whole,
    /// It was paused before this token.
    Paused(u32),
    /// It ends in silence: cancelled, taken over, crashed or cut with its connection.
    Broken,
    /// A fault cuts it and the body ends as if it were whole.
    CutBody,
}

/// The events of an answer that are ready to be sent.
#[derive(Default)]
struct Events(String);

impl EngineService {
    /// Streams the answer from token `from` on.
    pub(super) async fn stream(self: Rc<Self>, reader: Reader, from: u32, gone: Signal) -> Reply {
        let headers = stream_headers(&reader.shown);
        if self.board.faults().framing != Framing::Right {
            return self.stream_whole(reader, from, gone, headers).await;
        }
        let (sender, reply) = Reply::stream(StatusCode::OK, headers, WAITING_PARTS_MAX);
        monoio::spawn(self.send_stream(reader, from, gone, sender));
        reply
    }

    async fn send_stream(
        self: Rc<Self>,
        mut reader: Reader,
        from: u32,
        gone: Signal,
        mut sender: StreamSender,
    ) {
        let mut next = from;
        loop {
            let mut events = Events::default();
            let end = self.advance(&mut reader, &mut next, &gone, &mut events).await;
            if matches!(end, Some(End::Broken)) {
                return;
            }
            if sender.send(events.into()).await.is_err() {
                return self.abandon(&reader);
            }
            match end {
                None => {}
                Some(End::Whole) => {
                    if sender.finish().await.is_err() {
                        return self.abandon(&reader);
                    }
                    return self.deliver(&reader);
                }
                Some(_) => {
                    // The caller sees from the missing last events that the answer goes no further.
                    let _ = sender.finish().await;
                    return;
                }
            }
        }
    }

    /// Sends the events in one body of a known length, for faults of framing to spoil.
    async fn stream_whole(
        self: Rc<Self>,
        mut reader: Reader,
        from: u32,
        gone: Signal,
        headers: HeaderMap,
    ) -> Reply {
        let mut next = from;
        let mut events = Events::default();
        loop {
            match self.advance(&mut reader, &mut next, &gone, &mut events).await {
                None => {}
                Some(End::Broken) => return Reply::abort(),
                Some(_) => {
                    self.deliver(&reader);
                    return Reply::whole(StatusCode::OK, headers, events.into());
                }
            }
        }
    }

    /// Waits for the whole answer and sends it in one body.
    pub(super) async fn whole(self: Rc<Self>, mut reader: Reader, gone: Signal) -> Reply {
        let mut next = 0;
        loop {
            let mut events = Events::default();
            match self.advance(&mut reader, &mut next, &gone, &mut events).await {
                None => {}
                Some(End::Whole) => {
                    self.deliver(&reader);
                    return whole_reply(&reader.shown, reader.shown.tokens.len());
                }
                Some(End::CutBody) => return whole_reply(&reader.shown, next as usize),
                Some(End::Paused(at)) => {
                    let message = format!("the request was paused at token {at}: resume it");
                    return reply::error(StatusCode::CONFLICT, "paused", &message);
                }
                Some(End::Broken) => return Reply::abort(),
            }
        }
    }

    /// Waits for tokens after `next`, adds their events and moves `next`.
    async fn advance(
        &self,
        reader: &mut Reader,
        next: &mut u32,
        gone: &Signal,
        events: &mut Events,
    ) -> Option<End> {
        let progress = match self.wait(reader, gone).await {
            Waited::Progress(progress) => progress,
            Waited::Gone => {
                self.abandon(reader);
                return Some(End::Broken);
            }
            Waited::Lost | Waited::Crashed => return Some(End::Broken),
        };
        let shown = Rc::clone(&reader.shown);
        let cut_at = self.board.faults().cut_after_tokens;
        let cuts = cut_at.is_some_and(|at| progress.produced_tokens >= at);
        let until = cut_at.unwrap_or(u32::MAX).min(visible(&shown, &progress));
        for token in shown.tokens.iter().take(until as usize).skip(*next as usize) {
            events.token(&shown, token);
        }
        *next = until.max(*next);
        if cuts {
            return Some(self.cut(reader));
        }
        match progress.phase {
            Phase::Active => None,
            Phase::Paused => {
                events.paused(*next);
                self.abandon(reader);
                Some(End::Paused(*next))
            }
            Phase::Finished => {
                events.last(&shown);
                Some(End::Whole)
            }
        }
    }

    async fn wait(&self, reader: &mut Reader, gone: &Signal) -> Waited {
        loop {
            let Some(progress) = self.state.borrow_mut().streams.progress(reader) else {
                return Waited::Lost;
            };
            if progress.phase != Phase::Active || progress.produced_tokens > reader.seen_tokens {
                reader.seen_tokens = progress.produced_tokens;
                return Waited::Progress(progress);
            }
            let gone = gone.raised().fuse();
            let crashed = self.board.crashed.raised().fuse();
            pin_mut!(gone, crashed);
            select_biased! {
                () = crashed => return Waited::Crashed,
                () = gone => return Waited::Gone,
                changed = reader.changed.next() => if changed.is_none() {
                    return Waited::Lost;
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

    fn cut(&self, reader: &Reader) -> End {
        let mut state = self.state.borrow_mut();
        state.cancel(reader.id, self.clock.now());
        state.stats.answers_cut += 1;
        match self.board.faults().cut_style {
            CutStyle::Connection => End::Broken,
            CutStyle::Body => End::CutBody,
        }
    }
}

/// The tokens that may be shown; a crossed answer may be longer or shorter than the one made.
fn visible(shown: &Shown, progress: &Progress) -> u32 {
    let len = shown.tokens.len() as u32;
    match progress.phase {
        Phase::Finished => len,
        Phase::Active | Phase::Paused => progress.produced_tokens.min(len),
    }
}

fn stream_headers(shown: &Shown) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(sse::CONTENT_TYPE));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    if let Ok(name) = HeaderValue::from_str(&shown.name) {
        headers.insert(reply::REQUEST_ID, name);
    }
    headers
}

fn whole_reply(shown: &Shown, tokens: usize) -> Reply {
    let content = shown.tokens[..tokens.min(shown.tokens.len())].concat();
    let body = Completion {
        id: &shown.name,
        object: "chat.completion",
        model: &shown.model,
        choices: [Choice {
            index: 0,
            delta: None,
            message: Some(WholeMessage { role: "assistant", content }),
            finish_reason: Some(shown.finish),
        }],
        usage: Some(shown.usage()),
    };
    reply::with_request_id(reply::ok(&body), &shown.name)
}

impl Events {
    fn token(&mut self, shown: &Shown, token: &str) {
        self.chunk(shown, Delta { content: Some(token) }, None);
    }

    fn last(&mut self, shown: &Shown) {
        self.chunk(shown, Delta::default(), Some(shown.finish));
        self.0.push_str(DONE);
    }

    fn paused(&mut self, from_token: u32) {
        let data = json!({ "from_token": from_token });
        self.0.push_str(&format!("event: paused\ndata: {data}\n\n"));
    }

    fn chunk(&mut self, shown: &Shown, delta: Delta<'_>, finish_reason: Option<FinishReason>) {
        let chunk = Completion {
            id: &shown.name,
            object: "chat.completion.chunk",
            model: &shown.model,
            choices: [Choice { index: 0, delta: Some(delta), message: None, finish_reason }],
            usage: finish_reason.map(|_| shown.usage()),
        };
        // A struct of plain fields always serialises.
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        self.0.push_str(&format!("data: {data}\n\n"));
    }
}

impl From<Events> for Bytes {
    fn from(events: Events) -> Bytes {
        Bytes::from(events.0)
    }
}
