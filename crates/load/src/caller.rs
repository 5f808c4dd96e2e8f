//! One request as a caller makes it: sent, read to its end and checked.

mod reading;
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

/// A request in the caller's words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The class, sent in `x-request-class`; empty to leave the choice to the router.
    pub class: String,
    /// What is asked for.
    pub kind: RequestKind,
    /// The workspace's bearer token; empty to send none.
    pub token: String,
    /// The identity of the request.
    pub request_id: String,
    /// The key of an order.
    pub idempotency_key: Option<String>,
    /// The model that a chat request names.
    pub model: String,
    /// The prompt, the subject of an order or the name of a lookup.
    pub prompt: String,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// How a chat answer is to be sent.
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

/// What came back, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status, if a head came.
    pub status: Option<u16>,
    /// What the router said about the execution.
    pub outcome: Outcome,
    /// How the reply ended.
    pub ending: Ending,
    /// When the first token arrived, or the head where the answer has no tokens.
    pub first_token_at: Option<Instant>,
    /// When the reply ended.
    pub ended_at: Instant,
    /// Tokens received.
    pub tokens: u32,
    /// The text of the answer, or the body of another reply.
    pub text: String,
    /// What is wrong with the answer.
    pub answer_fault: Option<AnswerFault>,
    /// When a failed reply says to come back, in seconds.
    pub retry_after_s: Option<u64>,
}

/// How callers behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerSettings {
    /// How long a caller waits for the end of its reply, in milliseconds.
    pub timeout_ms: u64,
    /// The most idle connections kept for each router.
    pub idle_per_router: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings { timeout_ms: 60_000, idle_per_router: 256 }
    }
}

/// Sends requests and checks their replies; clones share idle connections.
#[derive(Clone)]
pub struct Caller {
    settings: CallerSettings,
    pool: Pool,
    clock: Rc<dyn Clock>,
}

impl Caller {
    /// A caller without open connections.
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
        let mut reading = reading::Reading::new(call, Rc::clone(&self.clock));
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let ending = match time::timeout(timeout, self.exchange(to, call, &mut reading)).await {
            Ok(Ok(ending)) => ending,
            Ok(Err(err)) => reading.cut_off(&err),
            Err(_) => Ending::TimedOut,
        };
        reading.finish(ending)
    }

    /// Sends `call` and gives the open reply back unread, for experiments that hold streams open.
    ///
    /// # Errors
    ///
    /// If the exchange fails before the head of the reply.
    pub async fn open(&self, to: LoopbackAddr, call: &Call) -> Result<Response, ClientError> {
        self.pool.send(to.addr(), wire::request(call)).await
    }

    async fn exchange(
        &self,
        to: LoopbackAddr,
        call: &Call,
        reading: &mut reading::Reading<'_>,
    ) -> Result<Ending, ClientError> {
        let response = self.open(to, call).await?;
        reading.head(&response.head);
        let mut body = response.body;
        while let Some(piece) = body.next().await {
            reading.push(&piece?);
        }
        Ok(reading.ending())
    }
}
