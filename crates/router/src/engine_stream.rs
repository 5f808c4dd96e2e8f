//! The answer of an engine to one request, across attempts, resumes and pauses.

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

/// The progress of a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pause {
    /// No pause is requested.
    Off,
    /// The engine was requested to pause.
    Requested,
    /// The scheduler has revoked the pause, but the engine may still be about to pause.
    Revoked,
}

/// The next input of a stream.
enum Step {
    Received(Result<Option<Result<Received, AttemptError>>, Silent>),
    Control(Control),
}

impl EngineStream {
    /// Creates a stream without sending anything; `body` is the request for the engine.
    pub(crate) fn new(mut call: Call, body: Bytes) -> EngineStream {
        let controls = call.lease.take_controls();
        let pause = Pause::Off;
        EngineStream { call, body, stream: None, tokens: 0, resumes: 0, controls, pause }
    }

    /// Ends the call after the complete answer was relayed.
    pub(crate) fn finish(self) {
        if let Some(stream) = self.stream {
            // The connection can be reused once the end of the body is read.
            let timeout = self.call.services.timeouts.engine_call_timeout();
            let drain = time::timeout(timeout, stream.drain());
            let server = self.call.lease.server().addr;
            monoio::spawn(telemetry::contain("engine_drain", server, drain));
        }
        self.call.finish(self.tokens);
    }

    /// Starts an attempt and waits for its first event.
    pub(crate) async fn open(&mut self) -> Result<Event, AttemptError> {
        (self.stream, self.tokens, self.resumes, self.pause) = (None, 0, 0, Pause::Off);
        // Controls for the previous attempt do not apply to this one.
        while self.controls.try_recv().is_ok() {}
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let uri = Uri::from_static(CHAT_PATH);
        let attempt = self.call.start_attempt(Method::POST, uri, headers, self.body.clone());
        let silence = self.call.services.timeouts.first_silence();
        let sent = self.call.services.backends.send(attempt);
        match probe_on_silence(sent, silence, &self.call.lease, Remedy::Resume).await {
            Ok(response) => {
                let memory = &self.call.services.memory.answers;
                self.stream = Some(TokenStream::new(response?, &self.call.id, memory)?);
            }
            Err(silent) => self.recover_from_silence(silent).await?,
        }
        self.next_event().await
    }

    /// The next event, from a resumed stream if the current one is truncated or silent.
    pub(crate) async fn next_event(&mut self) -> Result<Event, AttemptError> {
        loop {
            let received = match self.step().await {
                Step::Received(received) => received,
                Step::Control(control) => {
                    self.apply_control(control);
                    continue;
                }
            };
            let error = match received {
                Ok(Some(Ok(Received::Event(event)))) => {
                    self.count_token(&event);
                    return Ok(event);
                }
                Ok(Some(Ok(Received::Paused))) => {
                    self.wait_out_pause().await?;
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
        let timeouts = self.call.services.timeouts;
        let silence = if self.tokens == 0 { timeouts.first_silence() } else { timeouts.silence() };
        let Some(stream) = &mut self.stream else { return Step::Received(Ok(None)) };
        let received =
            probe_on_silence(stream.next(), silence, &self.call.lease, Remedy::Resume).fuse();
        pin_mut!(received);
        select_biased! {
            received = received => Step::Received(received),
            control = self.controls.select_next_some() => Step::Control(control),
        }
    }

    fn apply_control(&mut self, control: Control) {
        self.pause = match (control, self.pause) {
            (Control::Pause, _) => {
                self.call.send_stream_command("pause");
                Pause::Requested
            }
            (Control::Resume, Pause::Off) => Pause::Off,
            (Control::Resume, Pause::Requested | Pause::Revoked) => Pause::Revoked,
        };
    }

    /// Handles a pause by the engine: stores the stream's KV cache and resumes the stream when the
    /// scheduler requests it.
    async fn wait_out_pause(&mut self) -> Result<(), AttemptError> {
        tracing::info!(event = "paused", request_id = %self.call.routed.arrival.id, tokens = self.tokens);
        self.stream = None;
        let kv = self.call.export_kv().await;
        while self.pause == Pause::Requested {
            match self.controls.next().await {
                Some(control) => self.apply_control_while_paused(control),
                None => return Err(AttemptError::in_doubt("the scheduler has gone")),
            }
        }
        self.pause = Pause::Off;
        let mut stream = self.resume().await;
        if stream.is_none() && self.call.import_kv(kv).await {
            stream = self.resume().await;
        }
        self.stream = stream;
        match self.stream {
            Some(_) => Ok(()),
            None => Err(AttemptError::in_doubt("the engine has lost the paused answer")),
        }
    }

    fn apply_control_while_paused(&mut self, control: Control) {
        self.pause = match control {
            Control::Pause => Pause::Requested,
            Control::Resume => Pause::Revoked,
        };
    }

    async fn recover_from_silence(&mut self, silent: Silent) -> Result<(), AttemptError> {
        let error = AttemptError::from(silent);
        match silent {
            Silent::Dead | Silent::CutOff => Err(error),
            // Resuming the stream on new connections did not help, so the engine is slow.
            Silent::Alive if self.may_keep_waiting() => Ok(()),
            Silent::Alive => self.recover(error).await,
        }
    }

    fn may_keep_waiting(&self) -> bool {
        let services = &self.call.services;
        let is_resumed = self.stream.is_some() && self.resumes >= services.timeouts.resumes_max;
        is_resumed && services.clock.now() < self.call.routed.deadline()
    }

    fn count_token(&mut self, event: &Event) {
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

    /// Resumes the stream at the same engine on a new connection.
    ///
    /// # Errors
    /// `error` itself, if no resume is left, or if the engine does not know the stream or cannot be
    /// reached.
    async fn recover(&mut self, error: AttemptError) -> Result<(), AttemptError> {
        let services = &self.call.services;
        if self.resumes >= services.timeouts.resumes_max {
            return Err(error);
        }
        self.resumes += 1;
        // A network device that dropped this connection may have dropped the idle ones too.
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
            time::timeout(services.timeouts.engine_call_timeout(), sent).await.ok()?.ok()?;
        TokenStream::new(response, &self.call.id, &services.memory.answers).ok()
    }
}
