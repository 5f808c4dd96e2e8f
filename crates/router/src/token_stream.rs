//! The events of one answer as an engine sends them, each checked before it is relayed.

use http::{HeaderValue, StatusCode, header};
use httpio::{
    Bytes, HeldEvents,
    budget::ByteBudget,
    client::{Body, Response},
    sse,
};
use policy::{Execution, Failure};

use crate::{
    backends::AttemptError,
    chat::{Chunk, Usage},
};

const EVENT_BYTES_MAX: usize = 256 << 10;
const DONE: &[u8] = b"[DONE]";
const PAUSED: &[u8] = b"paused";

/// One event of an answer.
#[derive(Debug)]
pub(crate) enum Event {
    /// A chunk of the answer.
    Chunk {
        /// The parsed chunk.
        chunk: Chunk,
        /// The bytes of the complete event.
        raw: Bytes,
    },
    /// The bytes of the event that ends a complete answer.
    Done(Bytes),
}

/// The result of reading from the stream.
#[derive(Debug)]
pub(crate) enum Received {
    /// An event to relay.
    Event(Event),
    /// The engine has paused the answer, which continues when it is resumed.
    Paused,
}

/// Reads the events of one answer.
#[derive(Debug)]
pub(crate) struct TokenStream {
    body: Body,
    events: HeldEvents,
    id: String,
    progress: Progress,
    usage: Option<Usage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// More tokens may follow.
    Open,
    /// The last chunk has arrived.
    LastChunk,
    /// The answer is complete.
    Done,
}

impl TokenStream {
    /// Reads the answer to the attempt `id`, whose events are held within `memory`.
    ///
    /// # Errors
    /// If the answer is not an event stream.
    pub(crate) fn new(
        response: Response,
        id: &HeaderValue,
        memory: &ByteBudget,
    ) -> Result<TokenStream, AttemptError> {
        let status = response.head.status;
        let content_type = response.head.headers.get(header::CONTENT_TYPE);
        let is_stream =
            content_type.is_some_and(|it| it.as_bytes().starts_with(sse::CONTENT_TYPE.as_bytes()));
        if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
            // Another engine would give the same answer.
            return Err(AttemptError {
                failure: Failure::Other,
                execution: Execution::Ran,
                detail: format!("the engine refused the request by {status}"),
            });
        }
        if !status.is_success() || !is_stream {
            return Err(AttemptError::in_doubt(format!("the engine answered {status}")));
        }
        Ok(TokenStream {
            body: response.body,
            events: HeldEvents::new(memory, EVENT_BYTES_MAX),
            id: id.to_str().unwrap_or_default().to_owned(),
            progress: Progress::Open,
            usage: None,
        })
    }

    /// Reads the next event; `None` after the end. Dropping the future loses no data.
    ///
    /// # Errors
    /// If the answer is truncated, malformed or belongs to another request.
    pub(crate) async fn next(&mut self) -> Option<Result<Received, AttemptError>> {
        loop {
            if self.progress == Progress::Done {
                return None;
            }
            match self.events.next_event() {
                Ok(Some(raw)) if !sse::is_event(&raw) => {
                    let detail = "the engine's stream holds bytes that are no event";
                    return Some(Err(AttemptError::in_doubt(detail)));
                }
                Ok(Some(raw)) => match self.read(raw) {
                    Ok(Some(event)) => return Some(Ok(event)),
                    Ok(None) => continue,
                    Err(error) => return Some(Err(error)),
                },
                Ok(None) => {}
                Err(error) => return Some(Err(AttemptError::in_doubt(error.to_string()))),
            }
            self.events.reserve().await;
            match self.body.next().await {
                Some(Ok(data)) => self.events.push(&data),
                Some(Err(error)) => return Some(Err(error.into())),
                None => return Some(Err(truncated())),
            }
        }
    }

    /// Reads the end of the body, so that its connection can be reused.
    pub(crate) async fn drain(mut self) {
        while let Some(Ok(data)) = self.body.next().await {
            tracing::debug!(bytes = data.len(), "bytes after the end of an answer");
        }
    }

    fn read(&mut self, raw: Bytes) -> Result<Option<Received>, AttemptError> {
        if let Some(name) = sse::field(&raw, "event") {
            if name == PAUSED {
                return Ok(Some(Received::Paused));
            }
            let name = String::from_utf8_lossy(name);
            return Err(AttemptError::in_doubt(format!("the engine sent the event `{name}`")));
        }
        let Some(data) = sse::field(&raw, "data") else {
            // A comment, such as a keep-alive.
            return Ok(None);
        };
        if data == DONE {
            return self.done(raw).map(|it| Some(Received::Event(it)));
        }
        let chunk = Chunk::parse(data, &self.id)
            .map_err(|error| AttemptError::in_doubt(error.to_string()))?;
        if chunk.is_last() {
            self.progress = Progress::LastChunk;
        }
        self.usage = chunk.usage.or(self.usage);
        Ok(Some(Received::Event(Event::Chunk { chunk, raw })))
    }

    fn done(&mut self, raw: Bytes) -> Result<Event, AttemptError> {
        if self.progress != Progress::LastChunk {
            return Err(truncated());
        }
        self.progress = Progress::Done;
        Ok(Event::Done(raw))
    }
}

fn truncated() -> AttemptError {
    AttemptError {
        // The body was terminated properly, so the server has not crashed.
        failure: Failure::Other,
        execution: Execution::MayHaveRun,
        detail: "the answer ended without its last event".to_owned(),
    }
}
