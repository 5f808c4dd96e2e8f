//! Reads a reply incrementally and classifies it when it ends.

use std::{rc::Rc, time::Instant};

use clock::Clock;
use httpio::{
    HeaderMap, StatusCode,
    client::{ClientError, ResponseHead},
    header, sse,
};

use super::{
    Call, Reply,
    wire::{self, Completion, Entry, ErrorBody, Receipt},
};
use crate::{
    answer_check::{self, AnswerFault},
    plan::RequestKind,
    record::{Ending, Outcome},
};

const EVENT_BYTES_MAX: usize = 1 << 20;
const DONE: &[u8] = b"[DONE]";

/// The state of an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    /// Neither `[DONE]` nor an error event was received.
    Open,
    /// `[DONE]` was received.
    Done,
    /// An error event was received.
    Failed,
    /// An event could not be parsed.
    Malformed,
}

/// The state of a reply that is being read.
pub(super) struct ReplyReader<'a> {
    call: &'a Call,
    clock: Rc<dyn Clock>,
    status: Option<StatusCode>,
    is_stream: bool,
    outcome: Outcome,
    retry_after_s: Option<u64>,
    echoed_request_id: Option<String>,
    event_splitter: sse::Splitter,
    body: Vec<u8>,
    text: String,
    tokens: u32,
    first_token_at: Option<Instant>,
    stream_state: StreamState,
}

impl<'a> ReplyReader<'a> {
    pub(super) fn new(call: &'a Call, clock: Rc<dyn Clock>) -> ReplyReader<'a> {
        ReplyReader {
            call,
            clock,
            status: None,
            is_stream: false,
            outcome: Outcome::Unstated,
            retry_after_s: None,
            echoed_request_id: None,
            event_splitter: sse::Splitter::new(EVENT_BYTES_MAX),
            body: Vec::new(),
            text: String::new(),
            tokens: 0,
            first_token_at: None,
            stream_state: StreamState::Open,
        }
    }

    pub(super) fn read_head(&mut self, head: &ResponseHead) {
        self.status = Some(head.status);
        self.outcome = Outcome::from_header(header_text(&head.headers, wire::OUTCOME));
        self.echoed_request_id = header_text(&head.headers, wire::REQUEST_ID).map(str::to_owned);
        let retry_after = header_text(&head.headers, header::RETRY_AFTER.as_str());
        self.retry_after_s = retry_after.and_then(|it| it.parse().ok());
        let content_type = header_text(&head.headers, header::CONTENT_TYPE.as_str());
        self.is_stream = content_type.is_some_and(|it| it.starts_with(sse::CONTENT_TYPE));
        if self.call.kind != RequestKind::Chat {
            self.first_token_at = Some(self.clock.now());
        }
    }

    pub(super) fn push(&mut self, bytes: &[u8]) {
        if !self.is_stream {
            self.body.extend_from_slice(bytes);
            return;
        }
        self.event_splitter.push(bytes);
        loop {
            match self.event_splitter.next_event() {
                Ok(Some(event)) => self.read_event(&event),
                Ok(None) => return,
                Err(_) => {
                    self.stream_state = StreamState::Malformed;
                    return;
                }
            }
        }
    }

    fn read_event(&mut self, event: &[u8]) {
        let Some(data) = sse::field(event, "data") else { return };
        if sse::field(event, "event") == Some(b"error") {
            self.stream_state = StreamState::Failed;
            self.read_error(data);
            return;
        }
        if data == DONE {
            self.stream_state = StreamState::Done;
            return;
        }
        match serde_json::from_slice::<Completion>(data) {
            Ok(chunk) => self.add_tokens(&chunk),
            Err(_) => self.stream_state = StreamState::Malformed,
        }
    }

    fn add_tokens(&mut self, chunk: &Completion) {
        let deltas = chunk.choices.iter().filter_map(|it| it.delta.as_ref()?.content.as_deref());
        for content in deltas.filter(|it| !it.is_empty()) {
            self.first_token_at.get_or_insert_with(|| self.clock.now());
            self.text.push_str(content);
            self.tokens += 1;
        }
    }

    fn read_error(&mut self, data: &[u8]) {
        let Ok(ErrorBody { error }) = serde_json::from_slice(data) else { return };
        if error.outcome.is_some() {
            self.outcome = Outcome::from_header(error.outcome.as_deref());
        }
        if let Some(retry_after_ms) = error.retry_after_ms {
            self.retry_after_s.get_or_insert(retry_after_ms.div_ceil(1_000));
        }
    }

    /// Classifies the reply after its last byte was received.
    pub(super) fn ending(&mut self) -> Ending {
        let status = self.status.unwrap_or_default();
        if !status.is_success() {
            let body = std::mem::take(&mut self.body);
            self.read_error(&body);
            self.text = String::from_utf8_lossy(&body).into_owned();
            return Ending::Failed(status.as_u16());
        }
        match (self.is_stream, self.stream_state) {
            (false, _) => self.read_document(),
            (true, StreamState::Done) => Ending::Answered,
            (true, StreamState::Failed) => Ending::Failed(status.as_u16()),
            (true, StreamState::Open) => broken("the stream ended without [DONE] or an error"),
            (true, StreamState::Malformed) => broken("an event of the stream cannot be read"),
        }
    }

    /// Classifies the reply after its connection failed. After an error event, the router closes
    /// a stream without the last chunk on purpose, so that counts as an explicit failure.
    pub(super) fn ending_after_error(&self, err: &ClientError) -> Ending {
        match (self.status, self.stream_state) {
            (Some(status), StreamState::Failed) => Ending::Failed(status.as_u16()),
            _ => Ending::Broken(err.to_string()),
        }
    }

    fn read_document(&mut self) -> Ending {
        if self.call.kind != RequestKind::Chat {
            self.text = String::from_utf8_lossy(&self.body).into_owned();
            return Ending::Answered;
        }
        let Ok(answer) = serde_json::from_slice::<Completion>(&self.body) else {
            return broken("the answer is no JSON of a completion");
        };
        self.add_tokens(&answer);
        self.tokens = answer.usage.map_or(self.tokens, |it| it.completion_tokens);
        Ending::Answered
    }

    pub(super) fn finish(self, ending: Ending) -> Reply {
        let answer_fault = self.answer_fault(&ending);
        Reply {
            status: self.status.map(|it| it.as_u16()),
            outcome: self.outcome,
            ending,
            first_token_at: self.first_token_at,
            ended_at: self.clock.now(),
            tokens: self.tokens,
            text: self.text,
            answer_fault,
            retry_after_s: self.retry_after_s,
        }
    }

    fn answer_fault(&self, ending: &Ending) -> Option<AnswerFault> {
        if self.echoed_request_id.as_ref().is_some_and(|it| it != &self.call.request_id) {
            return Some(AnswerFault::Foreign);
        }
        let Call { kind, model, prompt, max_tokens, .. } = self.call;
        match (kind, ending) {
            (RequestKind::Chat, Ending::Answered) => {
                answer_check::check_whole(model, prompt, *max_tokens, &self.text).err()
            }
            // Even an answer that ended with an explicit failure must not contain tokens of another
            // request.
            (RequestKind::Chat, _) if self.tokens > 0 => {
                answer_check::check_prefix(model, prompt, *max_tokens, &self.text).err()
            }
            (RequestKind::Order, Ending::Answered) => self.receipt_fault(),
            (RequestKind::Lookup, Ending::Answered) => self.entry_fault(),
            _ => None,
        }
    }

    fn receipt_fault(&self) -> Option<AnswerFault> {
        let Ok(receipt) = serde_json::from_str::<Receipt>(&self.text) else {
            return Some(AnswerFault::Wrong);
        };
        let expected = self.call.idempotency_key.as_deref().unwrap_or_default();
        (receipt.key != expected).then_some(AnswerFault::Foreign)
    }

    fn entry_fault(&self) -> Option<AnswerFault> {
        let Ok(entry) = serde_json::from_str::<Entry>(&self.text) else {
            return Some(AnswerFault::Wrong);
        };
        (entry.name != self.call.prompt).then_some(AnswerFault::Foreign)
    }
}

fn broken(reason: &str) -> Ending {
    Ending::Broken(reason.to_owned())
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
