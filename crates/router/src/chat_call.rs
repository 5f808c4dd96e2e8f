//! Serves chat completions: attempts, resumes and the relay of tokens.

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
    call::{Call, worse},
    chat::{ChatRequest, WholeAnswer},
    deadline::{Completion, run_until_deadline},
    engine_stream::EngineStream,
    outcome::{Code, Failure, OUTCOME_HEADER, Outcome, outcome_value},
    refusals,
    token_stream::Event,
};

/// Events that wait for a slow caller.
const WAITING_EVENTS: usize = 8;
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// A chat request with a place at an engine.
pub(crate) struct ChatCall {
    engine: EngineStream,
    /// The text that the caller of a streamed answer has.
    relayed: String,
}

/// How a relay ended.
enum RelayEnd {
    Complete,
    Failed(AttemptError),
    CallerGone,
}

impl ChatCall {
    pub(crate) fn new(call: Call, chat: ChatRequest) -> ChatCall {
        ChatCall { engine: EngineStream::new(call, chat.body), relayed: String::new() }
    }

    /// Answers in one piece. Nothing reaches the caller before the end, so an attempt that is cut
    /// can be repeated at another engine.
    pub(crate) async fn whole(mut self) -> Result<Reply, Failure> {
        let gone = self.engine.call.routed.arrival.request.disconnected.clone();
        let answer = self.until_deadline(&gone, async |it| it.gather_with_retries().await).await;
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

    /// Answers token by token, from the first event on.
    pub(crate) async fn streamed(mut self) -> Result<Reply, Failure> {
        let gone = self.engine.call.routed.arrival.request.disconnected.clone();
        let first = self.until_deadline(&gone, async |it| it.open_with_retries().await).await;
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
        let (sender, reply) = Reply::stream(StatusCode::OK, headers, WAITING_EVENTS);
        monoio::spawn(self.pump(first, sender, gone));
        Ok(reply)
    }

    /// Runs `work` until the caller has gone or its deadline is over.
    async fn until_deadline<T>(
        &mut self,
        gone: &Signal,
        work: impl AsyncFnOnce(&mut Self) -> T,
    ) -> Result<T, Failure> {
        let now = self.engine.call.services.clock.now();
        let left = self.engine.call.routed.deadline().saturating_duration_since(now);
        match run_until_deadline(gone, left, work(self)).await {
            Completion::Done(done) => Ok(done),
            Completion::DeadlinePassed | Completion::CallerGone => {
                Err(refusals::deadline_passed(worse(self.engine.call.outcome, Outcome::MayHaveRun)))
            }
        }
    }

    async fn gather_with_retries(&mut self) -> Result<WholeAnswer, Failure> {
        loop {
            match self.gather().await {
                Ok(answer) => return Ok(answer),
                Err(error) => self.engine.call.retry(error).await?,
            }
        }
    }

    async fn gather(&mut self) -> Result<WholeAnswer, AttemptError> {
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

    async fn pump(mut self, first: Event, mut sender: StreamSender, gone: Signal) {
        let relayed = {
            let raised = gone.raised().fuse();
            let relay = self.relay(first, &mut sender).fuse();
            pin_mut!(raised, relay);
            select_biased! {
                relayed = relay => relayed,
                () = raised => RelayEnd::CallerGone,
            }
        };
        match relayed {
            RelayEnd::Complete => {
                // A caller that left now has had all of its answer.
                let _ = sender.finish().await;
                self.engine.finish();
            }
            RelayEnd::CallerGone => self.engine.call.abandon(),
            RelayEnd::Failed(error) => {
                let failure = incomplete(&error);
                let event = sse::named_event("error", &failure.to_json());
                // Dropping the sender closes the connection without an end of the body.
                let _ = sender.send(event).await;
                self.engine
                    .call
                    .services
                    .backends
                    .cancel(self.engine.call.lease.server().addr, &self.engine.call.id);
                self.engine.call.give_up(&AttemptError { execution: Execution::Ran, ..error });
            }
        }
    }

    async fn relay(&mut self, first: Event, sender: &mut StreamSender) -> RelayEnd {
        let mut event = first;
        loop {
            let sent = match &event {
                Event::Chunk { raw, .. } => sender.send(self.as_callers(raw)).await,
                Event::Done(raw) => match sender.send(raw.clone()).await {
                    Ok(()) => return RelayEnd::Complete,
                    gone => gone,
                },
            };
            if let Err(CallerDisconnected) = sent {
                return RelayEnd::CallerGone;
            }
            if let Event::Chunk { chunk, .. } = &event {
                self.relayed.push_str(chunk.content());
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

    /// Goes on at another engine, where the same request is answered anew.
    ///
    /// What the caller has already must come again word for word, so this serves engines whose
    /// answers are deterministic; any other answer would have tokens lost, repeated or mixed.
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
                // The engine at hand now is not the one that failed.
                Ok(None) => return Err(AttemptError { failure: FailureKind::Other, ..cause }),
                Err(error) => cause = error,
            }
        }
    }

    /// The first event that the caller does not have, or nothing if the answer differs.
    async fn skip_relayed(&mut self) -> Result<Option<Event>, AttemptError> {
        let mut event = self.engine.open().await?;
        let relayed = self.relayed.clone();
        let mut left = relayed.as_str();
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

    /// The event with the caller's identity of the request in place of the attempt's.
    fn as_callers(&self, raw: &Bytes) -> Bytes {
        let id = self.engine.call.id.as_bytes();
        let Some(at) = raw.windows(id.len()).position(|it| it == id) else { return raw.clone() };
        let own: &str = self.engine.call.routed.arrival.id.as_ref();
        [&raw[..at], own.as_bytes(), &raw[at + id.len()..]].concat().into()
    }
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
