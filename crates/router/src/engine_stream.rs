//! The answer of an engine to one request, over attempts, resumes and pauses.

use futures::{FutureExt, StreamExt, channel::mpsc, pin_mut, select_biased};
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use httpio::Bytes;
use monoio::time;

use crate::{
    backends::AttemptError,
    call::Call,
    dispatch::Control,
    silence::{Remedy, Silent, probe_on_silence},
    token_stream::{Event, Received, TokenStream},
};

const CHAT_PATH: &str = "/v1/chat/completions";

/// The answer of an engine, read event by event.
pub(crate) struct EngineStream {
    pub(crate) call: Call,
    body: Bytes,
    stream: Option<TokenStream>,
    tokens: u32,
    resumes: u32,
    controls: mpsc::UnboundedReceiver<Control>,
    pause: Pause,
}

/// How far a pause has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pause {
    /// None is wanted.
    Off,
    /// The engine was asked to pause.
    Asked,
    /// The scheduler wants the stream to go on, and the engine may still be about to pause.
    Over,
}

/// What happens next to a stream.
enum Step {
    Received(Result<Option<Result<Received, AttemptError>>, Silent>),
    Control(Control),
}

impl EngineStream {
    /// Sends nothing yet; `body` is the request for the engine.
    pub(crate) fn new(mut call: Call, body: Bytes) -> EngineStream {
        let controls = call.lease.take_controls();
        let pause = Pause::Off;
        EngineStream { call, body, stream: None, tokens: 0, resumes: 0, controls, pause }
    }

    /// The whole answer was passed on.
    pub(crate) fn finish(self) {
        if let Some(stream) = self.stream {
            // The end of the body is all that is missing for the connection to be used again.
            let timeout = self.call.services.waits.engine_call_timeout();
            monoio::spawn(time::timeout(timeout, stream.drain()));
        }
        self.call.finish(self.tokens);
    }

    /// Starts an attempt and waits for its first event.
    pub(crate) async fn open(&mut self) -> Result<Event, AttemptError> {
        (self.stream, self.tokens, self.resumes, self.pause) = (None, 0, 0, Pause::Off);
        // What was asked of the attempt before does not concern this one.
        while self.controls.try_recv().is_ok() {}
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let uri = Uri::from_static(CHAT_PATH);
        let attempt = self.call.start_attempt(Method::POST, uri, headers, self.body.clone());
        let silence = self.call.services.waits.first_silence();
        let sent = self.call.services.backends.send(attempt);
        match probe_on_silence(sent, silence, &self.call.lease, Remedy::Resume).await {
            Ok(response) => self.stream = Some(TokenStream::new(response?, &self.call.id)?),
            Err(silent) => self.recover_from_silence(silent).await?,
        }
        self.next_event().await
    }

    /// The next event, from a resumed stream if the one at hand is cut or silent.
    pub(crate) async fn next_event(&mut self) -> Result<Event, AttemptError> {
        loop {
            let received = match self.step().await {
                Step::Received(received) => received,
                Step::Control(control) => {
                    self.obey(control);
                    continue;
                }
            };
            let error = match received {
                Ok(Some(Ok(Received::Event(event)))) => {
                    self.account(&event);
                    return Ok(event);
                }
                Ok(Some(Ok(Received::Paused))) => {
                    self.sit_out_pause().await?;
                    continue;
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

    async fn step(&mut self) -> Step {
        let waits = self.call.services.waits;
        let silence = if self.tokens == 0 { waits.first_silence() } else { waits.silence() };
        let Some(stream) = &mut self.stream else { return Step::Received(Ok(None)) };
        let received =
            probe_on_silence(stream.next(), silence, &self.call.lease, Remedy::Resume).fuse();
        pin_mut!(received);
        select_biased! {
            received = received => Step::Received(received),
            control = self.controls.select_next_some() => Step::Control(control),
        }
    }

    fn obey(&mut self, control: Control) {
        self.pause = match (control, self.pause) {
            (Control::Pause, _) => {
                self.call.send_stream_command("pause");
                Pause::Asked
            }
            (Control::Resume, Pause::Off) => Pause::Off,
            (Control::Resume, Pause::Asked | Pause::Over) => Pause::Over,
        };
    }

    /// The engine has paused: keeps the stream's state and goes on when the scheduler says so.
    async fn sit_out_pause(&mut self) -> Result<(), AttemptError> {
        tracing::info!(event = "paused", request_id = %self.call.routed.arrival.id, tokens = self.tokens);
        self.stream = None;
        let kept = self.call.export_kv().await;
        while self.pause == Pause::Asked {
            match self.controls.next().await {
                Some(control) => self.obey_while_paused(control),
                None => return Err(AttemptError::in_doubt("the scheduler has gone")),
            }
        }
        self.pause = Pause::Off;
        let mut stream = self.resume().await;
        if stream.is_none() && self.call.import_kv(kept).await {
            stream = self.resume().await;
        }
        self.stream = stream;
        match self.stream {
            Some(_) => Ok(()),
            None => Err(AttemptError::in_doubt("the engine has lost the paused answer")),
        }
    }

    fn obey_while_paused(&mut self, control: Control) {
        self.pause = match control {
            Control::Pause => Pause::Asked,
            Control::Resume => Pause::Over,
        };
    }

    async fn recover_from_silence(&mut self, silent: Silent) -> Result<(), AttemptError> {
        let error = AttemptError::from(silent);
        match silent {
            Silent::Dead => Err(error),
            // The stream was resumed on new connections in vain, so the engine is slow.
            Silent::Alive if self.may_wait_on() => Ok(()),
            Silent::Alive => self.recover(error).await,
        }
    }

    fn may_wait_on(&self) -> bool {
        let services = &self.call.services;
        let is_resumed = self.stream.is_some() && self.resumes >= services.waits.resumes_max;
        is_resumed && services.clock.now() < self.call.routed.deadline()
    }

    fn account(&mut self, event: &Event) {
        let Event::Chunk { chunk, .. } = event else { return };
        if !chunk.has_token() {
            return;
        }
        self.tokens += 1;
        self.resumes = 0;
        if self.tokens > 1 {
            return self.call.record_tokens(1);
        }
        self.call.record_first_token();
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
        let uri = self.call.stream_uri("resume")?;
        let body = Bytes::from(format!("{{\"from_token\":{}}}", self.tokens));
        let attempt = self.call.follow_up(Method::POST, uri, body);
        let services = &self.call.services;
        let sent = services.backends.send_fresh(attempt);
        let response =
            time::timeout(services.waits.engine_call_timeout(), sent).await.ok()?.ok()?;
        TokenStream::new(response, &self.call.id).ok()
    }
}
