//! Serves chat completions: attempts, resumes and the relay of tokens.

use std::time::Duration;

use futures::{FutureExt, pin_mut, select_biased};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use httpio::{
    Bytes,
    server::{CallerGone, Reply, StreamSender},
    signal::Signal,
    sse,
};
use monoio::time;
use policy::{Execution, Failure as Symptom};

use crate::{
    backends::AttemptError,
    call::Call,
    chat::{ChatRequest, WholeAnswer},
    outcome::{Code, Failure, OUTCOME_HEADER, Outcome, outcome_value},
    token_stream::{Event, TokenStream},
    watch::{Silent, watch},
};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Events that wait for a slow caller.
const WAITING_EVENTS: usize = 8;
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// A chat request with a place at an engine.
pub(crate) struct ChatCall {
    call: Call,
    chat: ChatRequest,
    stream: Option<TokenStream>,
    /// Tokens received from the attempt under way.
    tokens: u32,
    resumes: u32,
}

/// How a relay ended.
enum Relayed {
    Whole,
    Failed(AttemptError),
    CallerGone,
}

impl ChatCall {
    pub(crate) fn new(call: Call, chat: ChatRequest) -> ChatCall {
        ChatCall { call, chat, stream: None, tokens: 0, resumes: 0 }
    }

    /// Answers in one piece. Nothing reaches the caller before the end, so an attempt that is cut
    /// can be repeated at another engine.
    pub(crate) async fn whole(mut self) -> Result<Reply, Failure> {
        let gone = self.call.routed.arrival.request.gone.clone();
        let answer = self.until_deadline(&gone, async |it| it.gather_with_retries().await).await;
        let answer = match answer {
            Ok(answer) => answer?,
            Err(failure) => {
                self.call.abandon();
                return Err(failure);
            }
        };
        let json = answer.to_json(self.call.routed.arrival.id.as_ref());
        self.call.finish(self.tokens);
        let mut reply = Reply::typed(StatusCode::OK, "application/json", json.into());
        reply.headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Ran));
        Ok(reply)
    }

    /// Answers token by token, from the first event on.
    pub(crate) async fn streamed(mut self) -> Result<Reply, Failure> {
        let gone = self.call.routed.arrival.request.gone.clone();
        let first = self.until_deadline(&gone, async |it| it.open_with_retries().await).await;
        let first = match first {
            Ok(first) => first?,
            Err(failure) => {
                self.call.abandon();
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
        let now = self.call.services.clock.now();
        let left = self.call.routed.deadline().saturating_duration_since(now);
        let raised = gone.raised().fuse();
        let finished = {
            let worked = time::timeout(left, work(self)).fuse();
            pin_mut!(raised, worked);
            select_biased! {
                worked = worked => worked.ok(),
                () = raised => None,
            }
        };
        finished.ok_or_else(|| Failure {
            status: StatusCode::GATEWAY_TIMEOUT,
            code: Code::Deadline,
            message: "no answer came before the deadline; come back later".to_owned(),
            outcome: crate::call::worse(self.call.outcome, Outcome::MayHaveRun),
            retry_after: Some(Duration::from_secs(1)),
        })
    }

    async fn gather_with_retries(&mut self) -> Result<WholeAnswer, Failure> {
        loop {
            match self.gather().await {
                Ok(answer) => return Ok(answer),
                Err(error) => self.call.next_place(error).await?,
            }
        }
    }

    async fn gather(&mut self) -> Result<WholeAnswer, AttemptError> {
        let mut answer = WholeAnswer::default();
        let mut event = self.open().await?;
        while let Event::Chunk { chunk, .. } = event {
            answer.add(&chunk);
            if answer.len_bytes() > ANSWER_BYTES_MAX {
                return Err(AttemptError::in_doubt("the answer is larger than allowed"));
            }
            event = self.next_event().await?;
        }
        Ok(answer)
    }

    async fn open_with_retries(&mut self) -> Result<Event, Failure> {
        loop {
            match self.open().await {
                Ok(event) => return Ok(event),
                Err(error) => self.call.next_place(error).await?,
            }
        }
    }

    /// Starts an attempt and waits for its first event.
    async fn open(&mut self) -> Result<Event, AttemptError> {
        (self.stream, self.tokens, self.resumes) = (None, 0, 0);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let uri = Uri::from_static(CHAT_PATH);
        let attempt = self.call.attempt(Method::POST, uri, headers, self.chat.body.clone());
        let silence = self.call.services.waits.first_silence();
        let sent = self.call.services.backends.send(attempt);
        match watch(sent, silence, &self.call.lease).await {
            Ok(response) => self.stream = Some(TokenStream::new(response?, &self.call.id)?),
            Err(silent) => self.recover_from_silence(silent).await?,
        }
        self.next_event().await
    }

    /// The next event, from a resumed stream if the one at hand is cut or silent.
    async fn next_event(&mut self) -> Result<Event, AttemptError> {
        loop {
            let waits = self.call.services.waits;
            let silence = if self.tokens == 0 { waits.first_silence() } else { waits.silence() };
            let Some(stream) = &mut self.stream else {
                return Err(AttemptError::in_doubt("the answer has ended already"));
            };
            let error = match watch(stream.next(), silence, &self.call.lease).await {
                Ok(Some(Ok(event))) => {
                    self.account(&event);
                    return Ok(event);
                }
                Ok(Some(Err(error))) => error,
                Ok(None) => AttemptError::in_doubt("the answer has ended already"),
                Err(silent) => {
                    self.recover_from_silence(silent).await?;
                    continue;
                }
            };
            self.recover(error).await?;
        }
    }

    async fn recover_from_silence(&mut self, silent: Silent) -> Result<(), AttemptError> {
        let error = silence_error(silent);
        match silent {
            Silent::Dead => Err(error),
            Silent::Alive => self.recover(error).await,
        }
    }

    fn account(&mut self, event: &Event) {
        let Event::Chunk { chunk, .. } = event else { return };
        if !chunk.has_token() {
            return;
        }
        self.tokens += 1;
        self.resumes = 0;
        if self.tokens > 1 {
            return self.call.lease.tokens(1);
        }
        self.call.lease.first_token();
        let arrived = self.call.routed.arrival.arrived;
        let waited = self.call.services.clock.now().saturating_duration_since(arrived);
        self.call.services.metrics.first_token(self.call.labels(), waited);
    }

    /// Goes on with the stream at the same engine, on a new connection.
    ///
    /// # Errors
    /// `error` itself, when the engine does not know the stream or cannot be reached.
    async fn recover(&mut self, error: AttemptError) -> Result<(), AttemptError> {
        let services = &self.call.services;
        if self.resumes >= services.waits.resumes_max {
            return Err(error);
        }
        self.resumes += 1;
        // Connections opened at about the same time may have been forgotten by the same device.
        services.backends.close_idle(self.call.lease.server().addr);
        match self.resume().await {
            Some(stream) => {
                tracing::info!(event = "resumed", tokens = self.tokens, cause = %error.detail);
                self.stream = Some(stream);
                Ok(())
            }
            None => Err(error),
        }
    }

    async fn resume(&self) -> Option<TokenStream> {
        let id = self.call.id.to_str().ok()?;
        let uri = format!("/v1/streams/{id}/resume").parse().ok()?;
        let body = Bytes::from(format!("{{\"from_token\":{}}}", self.tokens));
        let attempt = self.call.follow_up(Method::POST, uri, body);
        let services = &self.call.services;
        let sent = services.backends.send_fresh(attempt);
        let response = time::timeout(services.waits.silence(), sent).await.ok()?.ok()?;
        TokenStream::new(response, &self.call.id).ok()
    }

    async fn pump(mut self, first: Event, mut sender: StreamSender, gone: Signal) {
        let relayed = {
            let raised = gone.raised().fuse();
            let relay = self.relay(first, &mut sender).fuse();
            pin_mut!(raised, relay);
            select_biased! {
                relayed = relay => relayed,
                () = raised => Relayed::CallerGone,
            }
        };
        match relayed {
            Relayed::Whole => {
                // A caller that left now has had all of its answer.
                let _ = sender.finish().await;
                self.call.finish(self.tokens);
            }
            Relayed::CallerGone => self.call.abandon(),
            Relayed::Failed(error) => {
                let failure = incomplete(&error);
                let event = sse::named_event("error", &failure.to_json());
                // Dropping the sender closes the connection without an end of the body.
                let _ = sender.send(event).await;
                self.call.services.backends.cancel(self.call.lease.server().addr, &self.call.id);
                self.call.give_up(&AttemptError { execution: Execution::Ran, ..error });
            }
        }
    }

    async fn relay(&mut self, first: Event, sender: &mut StreamSender) -> Relayed {
        let mut event = first;
        loop {
            let sent = match &event {
                Event::Chunk { raw, .. } => sender.send(self.as_callers(raw)).await,
                Event::Done(raw) => match sender.send(raw.clone()).await {
                    Ok(()) => return Relayed::Whole,
                    gone => gone,
                },
            };
            if let Err(CallerGone) = sent {
                return Relayed::CallerGone;
            }
            event = match self.next_event().await {
                Ok(event) => event,
                Err(error) => return Relayed::Failed(error),
            };
        }
    }

    /// The event with the caller's identity of the request in place of the attempt's.
    fn as_callers(&self, raw: &Bytes) -> Bytes {
        let id = self.call.id.as_bytes();
        let Some(at) = raw.windows(id.len()).position(|it| it == id) else { return raw.clone() };
        let own: &str = self.call.routed.arrival.id.as_ref();
        [&raw[..at], own.as_bytes(), &raw[at + id.len()..]].concat().into()
    }
}

fn silence_error(silent: Silent) -> AttemptError {
    let detail = match silent {
        Silent::Dead => "the backend server fell silent and does not answer a probe",
        Silent::Alive => "the connection fell silent though the backend server answers a probe",
    };
    let (failure, execution) = (Symptom::Silent, Execution::MayHaveRun);
    AttemptError { failure, execution, detail: detail.to_owned() }
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
