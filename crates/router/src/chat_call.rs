//! Serves chat completions: attempts, resumption and the relay of tokens.

use futures::{FutureExt, pin_mut, select_biased};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use httpio::{
    Bytes,
    server::{CallerDisconnected, Reply, StreamSender},
    signal::Signal,
    sse,
};
use policy::{Execution, Failure as FailureKind};

use crate::{
    backends::AttemptError,
    call::Call,
    chat::{ChatRequest, WholeAnswer},
    deadline::{Completion, before_stop, run_until_deadline},
    engine_stream::EngineStream,
    outcome::{Code, Failure, OUTCOME_HEADER, Outcome, outcome_value},
    refusals,
    token_stream::Event,
};

/// The number of events buffered for a slow caller.
const BUFFERED_EVENTS_MAX: usize = 8;
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// A chat request that holds a lease of an engine.
pub(crate) struct ChatCall {
    engine: EngineStream,
    /// The text that was relayed to the caller of a streamed answer.
    relayed_text: String,
}

/// How a relay ended.
enum RelayEnd {
    Complete,
    Failed(AttemptError),
    CallerDisconnected,
}

impl ChatCall {
    pub(crate) fn new(call: Call, chat: ChatRequest) -> ChatCall {
        ChatCall { engine: EngineStream::new(call, chat.body), relayed_text: String::new() }
    }

    /// Answers with one complete document. The caller receives nothing before the end, so a
    /// truncated attempt can be repeated at another engine.
    pub(crate) async fn whole(mut self) -> Result<Reply, Failure> {
        let disconnected = self.engine.call.routed.arrival.request.disconnected.clone();
        let answer =
            self.until_deadline(&disconnected, async |it| it.collect_with_retries().await).await;
        let answer = match answer {
            Ok(answer) => answer?,
            Err(failure) => {
                self.engine.call.abandon();
                return Err(failure);
            }
        };
        let json = answer.to_json(self.engine.call.routed.arrival.id.as_ref());
        self.engine.finish();
        let mut reply = Reply::typed(StatusCode::OK, "application/json", json.into());
        reply.headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Ran));
        Ok(reply)
    }

    /// Answers token by token; the reply starts with the first event.
    pub(crate) async fn streamed(mut self) -> Result<Reply, Failure> {
        let disconnected = self.engine.call.routed.arrival.request.disconnected.clone();
        let first =
            self.until_deadline(&disconnected, async |it| it.open_with_retries().await).await;
        let first = match first {
            Ok(first) => first?,
            Err(failure) => {
                self.engine.call.abandon();
                return Err(failure);
            }
        };
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(sse::CONTENT_TYPE));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Ran));
        let (sender, reply) = Reply::stream(StatusCode::OK, headers, BUFFERED_EVENTS_MAX);
        let peer = self.engine.call.routed.arrival.request.peer;
        let pump = self.pump(first, sender, disconnected);
        monoio::spawn(telemetry::contain("chat_stream", peer, pump));
        Ok(reply)
    }

    /// Runs `work` until it completes, the caller disconnects or the deadline passes.
    async fn until_deadline<T>(
        &mut self,
        disconnected: &Signal,
        work: impl AsyncFnOnce(&mut Self) -> T,
    ) -> Result<T, Failure> {
        let (stop, left) = (self.engine.call.services.stop.clone(), self.engine.call.time_left());
        match run_until_deadline(disconnected, &stop, left, work(self)).await {
            Completion::Done(done) => Ok(done),
            Completion::DeadlinePassed | Completion::CallerDisconnected => {
                Err(refusals::deadline_passed(self.engine.call.outcome.worse(Outcome::MayHaveRun)))
            }
        }
    }

    async fn collect_with_retries(&mut self) -> Result<WholeAnswer, Failure> {
        loop {
            match self.collect().await {
                Ok(answer) => return Ok(answer),
                Err(error) => self.engine.call.retry(error).await?,
            }
        }
    }

    async fn collect(&mut self) -> Result<WholeAnswer, AttemptError> {
        let mut answer = WholeAnswer::default();
        let mut event = self.engine.open().await?;
        while let Event::Chunk { chunk, .. } = event {
            answer.add(&chunk);
            if answer.len_bytes() > ANSWER_BYTES_MAX {
                return Err(AttemptError::in_doubt("the answer is larger than allowed"));
            }
            event = self.engine.next_event().await?;
        }
        Ok(answer)
    }

    async fn open_with_retries(&mut self) -> Result<Event, Failure> {
        loop {
            match self.engine.open().await {
                Ok(event) => return Ok(event),
                Err(error) => self.engine.call.retry(error).await?,
            }
        }
    }

    async fn pump(mut self, first: Event, mut sender: StreamSender, disconnected: Signal) {
        let stop = self.engine.call.services.stop.clone();
        let relayed = {
            let disconnected = disconnected.raised().fuse();
            let relay = before_stop(&stop, self.relay(first, &mut sender)).fuse();
            pin_mut!(disconnected, relay);
            select_biased! {
                relayed = relay => relayed.unwrap_or_else(stopped),
                () = disconnected => RelayEnd::CallerDisconnected,
            }
        };
        match relayed {
            RelayEnd::Complete => {
                // A caller that disconnects now has received its complete answer.
                let _ = sender.finish().await;
                self.engine.finish();
            }
            RelayEnd::CallerDisconnected => self.engine.call.abandon(),
            RelayEnd::Failed(error) => {
                let failure = incomplete(&error);
                let event = sse::named_event("error", &failure.to_json());
                // Dropping the sender closes the connection without terminating the body.
                let _ = sender.send(event).await;
                self.engine
                    .call
                    .services
                    .backends
                    .cancel(self.engine.call.lease.server().addr, &self.engine.call.id);
                self.engine
                    .call
                    .give_up(&AttemptError { execution: Execution::Ran, ..error })
                    .await;
            }
        }
    }

    async fn relay(&mut self, first: Event, sender: &mut StreamSender) -> RelayEnd {
        let mut event = first;
        loop {
            let sent = match &event {
                Event::Chunk { raw, .. } => sender.send(self.with_caller_id(raw)).await,
                Event::Done(raw) => match sender.send(raw.clone()).await {
                    Ok(()) => return RelayEnd::Complete,
                    disconnected => disconnected,
                },
            };
            if let Err(CallerDisconnected) = sent {
                return RelayEnd::CallerDisconnected;
            }
            if let Event::Chunk { chunk, .. } = &event {
                self.relayed_text.push_str(chunk.content());
            }
            event = match self.engine.next_event().await {
                Ok(event) => event,
                Err(error) => match self.replay(error).await {
                    Ok(event) => event,
                    Err(error) => return RelayEnd::Failed(error),
                },
            };
        }
    }

    /// Continues a broken stream by running the same request on another engine.
    ///
    /// The new answer must start with exactly the text that was relayed, so this works only for
    /// engines with deterministic answers; otherwise tokens would be lost, repeated or mixed.
    ///
    /// # Errors
    /// The failure that ended the last attempt.
    async fn replay(&mut self, error: AttemptError) -> Result<Event, AttemptError> {
        let mut cause = error;
        loop {
            if self.engine.call.retry(cause.clone()).await.is_err() {
                return Err(cause);
            }
            match self.skip_relayed().await {
                Ok(Some(event)) => return Ok(event),
                // The lease now belongs to another engine, which did not cause this failure.
                Ok(None) => return Err(AttemptError { failure: FailureKind::Other, ..cause }),
                Err(error) => cause = error,
            }
        }
    }

    /// Skips the text that was relayed and returns the first new event; `None` if the new answer
    /// differs from that text.
    async fn skip_relayed(&mut self) -> Result<Option<Event>, AttemptError> {
        let mut event = self.engine.open().await?;
        let relayed_text = self.relayed_text.clone();
        let mut left = relayed_text.as_str();
        while !left.is_empty() {
            let rest = match &event {
                Event::Chunk { chunk, .. } => left.strip_prefix(chunk.content()),
                Event::Done(_) => None,
            };
            let Some(rest) = rest else { return Ok(None) };
            left = rest;
            event = self.engine.next_event().await?;
        }
        Ok(Some(event))
    }

    /// The event with the attempt's ID replaced by the caller's request ID.
    fn with_caller_id(&self, raw: &Bytes) -> Bytes {
        let id = self.engine.call.id.as_bytes();
        let Some(at) = raw.windows(id.len()).position(|it| it == id) else { return raw.clone() };
        let caller_id: &str = self.engine.call.routed.arrival.id.as_ref();
        [&raw[..at], caller_id.as_bytes(), &raw[at + id.len()..]].concat().into()
    }
}

/// The end of a stream that the router can relay no further.
fn stopped() -> RelayEnd {
    RelayEnd::Failed(AttemptError::in_doubt("the router is stopping"))
}

fn incomplete(error: &AttemptError) -> Failure {
    Failure {
        status: StatusCode::BAD_GATEWAY,
        code: Code::Incomplete,
        message: format!("{}; the answer is incomplete, ask again", error.detail),
        outcome: Outcome::Ran,
        retry_after: None,
    }
}
