//! Relays a stream of events, and resumes it at another server if it breaks.
//!
//! Only complete events are relayed, so a stream that breaks within an event can be resumed after
//! the last complete one with neither a gap nor a repeat.

use http::{HeaderMap, StatusCode, header};
use httpio::{
    Bytes, HeldEvents,
    budget::ByteBudget,
    client::{Body, Response},
    server::{Reply, StreamSender},
    sse,
};
use policy::{Execution, Failure as FailureKind};

use super::{
    buffered::Answer,
    hedged::{Raced, race},
    relayed_call::RelayedCall,
};
use crate::{
    backends::AttemptError,
    deadline::{Completion, run_until_deadline},
    outcome::Failure,
    refusals,
    silence::probe_on_silence,
};

/// The number of events buffered for a slow caller.
const BUFFERED_EVENTS_MAX: usize = 8;
const EVENT_BYTES_MAX: usize = 256 << 10;
/// The events that a server may repeat at once, for example because it starts the stream anew.
const REPEATED_BYTES_MAX: usize = 256 << 10;

/// The start of an answer.
enum Opened {
    /// A complete answer other than an event stream, such as an error.
    Buffered(Answer),
    /// The head and the first event of a stream.
    Stream(Box<Stream>),
}

impl Raced for Opened {
    fn is_server_error(&self) -> bool {
        matches!(self, Opened::Buffered(answer) if answer.is_server_error())
    }
}

struct Stream {
    status: StatusCode,
    headers: HeaderMap,
    first: Option<Bytes>,
    source: EventSource,
}

/// The events of one attempt.
struct EventSource {
    body: Body,
    events: HeldEvents,
    /// Whether the end of the connection would break the stream: only that marks the end of the events, and
    /// none has come yet.
    awaits_event: bool,
}

/// How the relay of a stream ended.
enum RelayEnd {
    Complete,
    /// It broke and no server can resume it.
    Broken(AttemptError),
    CallerDisconnected,
}

pub(super) async fn serve(mut relayed: RelayedCall) -> Result<Reply, Failure> {
    let disconnected = relayed.call.routed.arrival.request.disconnected.clone();
    let (stop, left) = (relayed.call.services.stop.clone(), relayed.time_left());
    let completion = run_until_deadline(&disconnected, &stop, left, open(&mut relayed)).await;
    let opened = match completion {
        Completion::Done(opened) => opened,
        Completion::DeadlinePassed | Completion::CallerDisconnected => {
            Err(refusals::deadline_passed(relayed.call.known_outcome()))
        }
    };
    match opened {
        Ok(Opened::Stream(stream)) => {
            let Stream { status, headers, first, source } = *stream;
            let (sender, reply) = Reply::stream(status, headers, BUFFERED_EVENTS_MAX);
            let peer = relayed.call.routed.arrival.request.peer;
            let pump = pump(relayed, first, source, sender);
            monoio::spawn(telemetry::contain("relayed_stream", peer, pump));
            Ok(reply)
        }
        Ok(Opened::Buffered(answer)) => {
            relayed.call.finish(0);
            Ok(answer.into_reply())
        }
        Err(failure) => {
            relayed.call.abandon();
            Err(failure)
        }
    }
}

async fn open(relayed: &mut RelayedCall) -> Result<Opened, Failure> {
    loop {
        match race(relayed, open_once).await {
            Ok(opened) => return Ok(opened),
            Err(error) => relayed.call.retry(error).await?,
        }
    }
}

async fn open_once(relayed: &mut RelayedCall) -> Result<Opened, AttemptError> {
    let response = relayed.send().await?;
    if !is_stream(&response) {
        return Answer::collect(relayed, response).await.map(Opened::Buffered);
    }
    let status = response.head.status;
    let headers = relayed.dialect.answer_headers(&response.head.headers);
    let mut source = EventSource::new(response, &relayed.call.services.memory.answers);
    let first = relayed.next_event(&mut source).await?;
    if first.is_some() {
        relayed.call.record_first_token();
    }
    Ok(Opened::Stream(Box::new(Stream { status, headers, first, source })))
}

fn is_stream(response: &Response) -> bool {
    let content_type = response.head.headers.get(header::CONTENT_TYPE);
    let prefix = sse::CONTENT_TYPE.as_bytes();
    response.head.status.is_success()
        && content_type.is_some_and(|it| it.as_bytes().starts_with(prefix))
}

async fn pump(
    mut relayed: RelayedCall,
    first: Option<Bytes>,
    mut source: EventSource,
    mut sender: StreamSender,
) {
    let disconnected = relayed.call.routed.arrival.request.disconnected.clone();
    let (stop, left) = (relayed.call.services.stop.clone(), relayed.time_left());
    let relay = relay(&mut relayed, first, &mut source, &mut sender);
    match run_until_deadline(&disconnected, &stop, left, relay).await {
        Completion::Done(RelayEnd::Complete) => {
            let tokens = relayed.events * relayed.tokens_per_event();
            relayed.call.finish(tokens);
            // Sending the end fails only if the caller has just disconnected.
            let _ = sender.finish().await;
        }
        Completion::Done(RelayEnd::Broken(error)) => relayed.call.give_up(&error).await,
        Completion::DeadlinePassed => {
            let error = AttemptError::in_doubt("the deadline came within the stream");
            relayed.call.give_up(&error).await;
        }
        Completion::Done(RelayEnd::CallerDisconnected) | Completion::CallerDisconnected => {
            relayed.call.abandon()
        }
    }
}

async fn relay(
    relayed: &mut RelayedCall,
    first: Option<Bytes>,
    source: &mut EventSource,
    sender: &mut StreamSender,
) -> RelayEnd {
    let mut next = Ok(first);
    loop {
        match next {
            Ok(Some(event)) => {
                if sender.send(event).await.is_err() {
                    return RelayEnd::CallerDisconnected;
                }
            }
            Ok(None) => return RelayEnd::Complete,
            Err(error) => match resume(relayed, error).await {
                Ok(resumed) => *source = resumed,
                Err(error) => return RelayEnd::Broken(error),
            },
        }
        next = relayed.next_event(source).await;
        if matches!(next, Ok(Some(_))) {
            relayed.call.record_tokens(relayed.tokens_per_event());
        }
    }
}

/// Resumes the stream after the last relayed event at another server, retrying while the
/// scheduler allows it.
async fn resume(
    relayed: &mut RelayedCall,
    error: AttemptError,
) -> Result<EventSource, AttemptError> {
    if !relayed.is_resumable() {
        return Err(error);
    }
    let mut error = error;
    loop {
        // The scheduler already knows the failure of an attempt that it does not retry.
        let retried = relayed.call.retry(error).await;
        retried.map_err(|it| AttemptError::in_doubt(it.to_string()))?;
        match relayed.send().await {
            Ok(response) if is_stream(&response) => {
                tracing::info!(
                    event = "stream_resumed",
                    request_id = %relayed.call.routed.arrival.id,
                    server = %relayed.call.lease.server().addr,
                    last_event = relayed.last_event.unwrap_or_default(),
                );
                return Ok(EventSource::new(response, &relayed.call.services.memory.answers));
            }
            Ok(response) => {
                let status = response.head.status;
                error = AttemptError::in_doubt(format!("the resume was answered {status}"));
            }
            Err(failed) => error = failed,
        }
    }
}

impl RelayedCall {
    /// The next event that was not relayed yet; `None` at the end of a complete stream.
    async fn next_event(
        &mut self,
        source: &mut EventSource,
    ) -> Result<Option<Bytes>, AttemptError> {
        let mut repeated_bytes = 0;
        loop {
            let silence = match self.events {
                0 => self.call.services.timeouts.first_silence(),
                _ => self.call.services.timeouts.silence(),
            };
            let next = source.next();
            let event = match self.is_repeatable() {
                true => {
                    match probe_on_silence(next, silence, &self.call.lease, self.remedy()).await {
                        Ok(event) => event?,
                        Err(silent) => return Err(self.silence_error(silent)),
                    }
                }
                false => next.await?,
            };
            let Some(event) = event else { return Ok(None) };
            if self.accept_event(&event) {
                self.events += 1;
                self.record_origin();
                return Ok(Some(event));
            }
            repeated_bytes += event.len();
            if repeated_bytes > REPEATED_BYTES_MAX {
                return Err(AttemptError::in_doubt("the server repeats events without end"));
            }
        }
    }

    fn tokens_per_event(&self) -> u32 {
        self.call.routed.pool().tokens_per_event
    }

    /// Records the event's ID; returns false for an event that was relayed before.
    fn accept_event(&mut self, event: &[u8]) -> bool {
        let id = sse::field(event, "id").and_then(|it| std::str::from_utf8(it).ok());
        let Some(id) = id.and_then(|it| it.trim().parse::<u64>().ok()) else { return true };
        if self.last_event.is_some_and(|last| id <= last) {
            return false;
        }
        self.last_event = Some(id);
        true
    }
}

impl EventSource {
    fn new(response: Response, memory: &ByteBudget) -> EventSource {
        EventSource {
            awaits_event: response.body.ends_with_connection(),
            body: response.body,
            events: HeldEvents::new(memory, EVENT_BYTES_MAX),
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, AttemptError> {
        loop {
            match self.events.next_event() {
                Ok(Some(event)) if sse::is_event(&event) => {
                    self.awaits_event = self.awaits_event && sse::field(&event, "data").is_none();
                    return Ok(Some(event));
                }
                Ok(Some(_)) => return Err(not_an_event()),
                Ok(None) => {}
                Err(error) => return Err(AttemptError::in_doubt(error.to_string())),
            }
            self.events.reserve().await;
            match self.body.next().await {
                Some(Ok(data)) => self.events.push(&data),
                Some(Err(error)) => return Err(error.into()),
                None if self.events.has_partial_event() => {
                    return Err(truncated("the answer ended within an event"));
                }
                None if self.awaits_event => {
                    return Err(truncated("the connection ended before the first event"));
                }
                None => return Ok(None),
            }
        }
    }
}

fn truncated(detail: &str) -> AttemptError {
    let detail = detail.to_owned();
    AttemptError { failure: FailureKind::Reset, execution: Execution::MayHaveRun, detail }
}

fn not_an_event() -> AttemptError {
    AttemptError::in_doubt("the stream holds bytes that are no event, such as the text of an error")
}
