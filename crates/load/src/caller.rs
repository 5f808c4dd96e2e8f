//! The client side of one request: sends it, reads the reply to its end and checks the answer.

mod reply_reader;
mod wire;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use clock::{Clock, SystemClock};
use httpio::{
    Limits,
    client::{ClientError, Pool, PoolSettings, Response},
};
use monoio::time;

use crate::{
    answer_check::AnswerFault,
    loopback::LoopbackAddr,
    plan::{AnswerMode, RequestKind},
    record::{Ending, Outcome},
};

/// The content of a request before it is encoded as HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The class, sent in `x-request-class`; if empty, the router chooses it.
    pub class: String,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The workspace's bearer token; if empty, none is sent.
    pub token: String,
    /// The request id, sent in `x-request-id`.
    pub request_id: String,
    /// The idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// The model that a chat request names.
    pub model: String,
    /// The prompt, the subject of an order or the name of a lookup.
    pub prompt: String,
    /// The maximum number of answer tokens.
    pub max_tokens: u32,
    /// How a chat answer is transferred.
    pub answer: AnswerMode,
}

impl Default for Call {
    fn default() -> Self {
        Call {
            class: String::new(),
            kind: RequestKind::Chat,
            token: String::new(),
            request_id: "once".to_owned(),
            idempotency_key: None,
            model: "small".to_owned(),
            prompt: "hello".to_owned(),
            max_tokens: 32,
            answer: AnswerMode::Streamed,
        }
    }
}

/// The reply to a request and its timing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status, if a response head was received.
    pub status: Option<u16>,
    /// What the router reported about the execution.
    pub outcome: Outcome,
    /// How the reply ended.
    pub ending: Ending,
    /// When the first token arrived, or the response head if the answer has no tokens.
    pub first_token_at: Option<Instant>,
    /// When the reply ended.
    pub ended_at: Instant,
    /// The number of tokens received.
    pub tokens: u32,
    /// The text of a chat answer, or the body of any other reply.
    pub text: String,
    /// The fault found in the answer.
    pub answer_fault: Option<AnswerFault>,
    /// The delay after which a failed reply allows a retry, in seconds.
    pub retry_after_s: Option<u64>,
}

/// The settings of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerSettings {
    /// The timeout for a whole reply in milliseconds.
    pub timeout_ms: u64,
    /// The maximum number of idle connections kept for each router.
    pub idle_per_router: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings { timeout_ms: 60_000, idle_per_router: 256 }
    }
}

/// Sends requests and checks their replies. Clones share the connection pool.
#[derive(Clone)]
pub struct Caller {
    settings: CallerSettings,
    pool: Pool,
    clock: Rc<dyn Clock>,
}

impl Caller {
    /// Creates a caller without open connections.
    pub fn new(settings: CallerSettings) -> Caller {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let limits = Limits {
            head_timeout_ms: settings.timeout_ms,
            idle_timeout_ms: settings.timeout_ms,
            ..Limits::default()
        };
        let pool_settings = PoolSettings {
            limits,
            idle_per_server: settings.idle_per_router,
            ..PoolSettings::default()
        };
        Caller { settings, pool: Pool::new(pool_settings, Rc::clone(&clock)), clock }
    }

    /// Sends `call` and reads its reply to the end.
    pub async fn send(&self, to: LoopbackAddr, call: &Call) -> Reply {
        let mut reader = reply_reader::ReplyReader::new(call, Rc::clone(&self.clock));
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let ending = match time::timeout(timeout, self.exchange(to, call, &mut reader)).await {
            Ok(Ok(ending)) => ending,
            Ok(Err(err)) => reader.ending_after_error(&err),
            Err(_) => Ending::TimedOut,
        };
        reader.finish(ending)
    }

    /// Sends `call` and returns the response with its body unread, for experiments that hold
    /// streams open.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the exchange fails before the response head.
    pub async fn open(&self, to: LoopbackAddr, call: &Call) -> Result<Response, ClientError> {
        self.pool.send(to.addr(), wire::request(call)).await
    }

    async fn exchange(
        &self,
        to: LoopbackAddr,
        call: &Call,
        reader: &mut reply_reader::ReplyReader<'_>,
    ) -> Result<Ending, ClientError> {
        let response = self.open(to, call).await?;
        reader.read_head(&response.head);
        let mut body = response.body;
        while let Some(chunk) = body.next().await {
            reader.push(&chunk?);
        }
        Ok(reader.ending())
    }
}
