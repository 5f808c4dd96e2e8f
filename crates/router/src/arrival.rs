//! First stage: assigns a request its ID, its trace span and its arrival time.

use std::{cell::RefCell, rc::Rc, time::Instant};

use clock::Clock;
use derive_more::{AsRef, Display};
use http::StatusCode;
use httpio::server::Request;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use telemetry::TraceContext;

use crate::outcome::{Code, Failure, REQUEST_ID_HEADER};

const ID_LENGTH_MAX: usize = 64;

/// The ID of a request, chosen by its caller or generated here.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, AsRef)]
#[as_ref(str)]
pub struct RequestId(String);

/// A request with its ID.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request.
    pub request: Rc<Request>,
    /// Its ID.
    pub id: RequestId,
    /// The router's span in the caller's trace.
    pub trace: TraceContext,
    /// The time at which it had been received completely.
    pub arrived: Instant,
}

/// Generates request IDs, trace spans and nonces.
#[derive(Debug)]
pub struct IdGenerator {
    rng: RefCell<ChaCha8Rng>,
}

impl IdGenerator {
    /// Generates IDs from `rng`.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> IdGenerator {
        IdGenerator { rng: RefCell::new(rng) }
    }

    /// Assigns an ID, a trace span and the arrival time to a request.
    ///
    /// # Errors
    /// If the caller chose an ID that is not safe in a path or a log line.
    pub fn assign(&self, request: Request, clock: &dyn Clock) -> Result<Arrival, Failure> {
        let rng = &mut *self.rng.borrow_mut();
        let trace = match request.header("traceparent").and_then(|it| it.parse().ok()) {
            Some(caller) => TraceContext::child(&caller, rng),
            None => TraceContext::start(rng),
        };
        let id = match request.headers.get(REQUEST_ID_HEADER) {
            Some(value) => caller_id(value.as_bytes())?,
            None => RequestId(format!("{:016x}", rng.random::<u64>())),
        };
        Ok(Arrival { request: Rc::new(request), id, trace, arrived: clock.now() })
    }

    /// The same request as a part of the trace that another router has begun.
    #[must_use]
    pub fn continue_trace(&self, arrival: Arrival, trace: Option<&TraceContext>) -> Arrival {
        let trace = trace.map_or(arrival.trace, |it| self.child_span(it));
        Arrival { trace, ..arrival }
    }

    /// The context of a new span below `parent`.
    pub fn child_span(&self, parent: &TraceContext) -> TraceContext {
        parent.child(&mut *self.rng.borrow_mut())
    }

    /// A random number that no other request has, so that backend servers can distinguish the
    /// requests of two callers who chose the same ID.
    pub fn nonce(&self) -> u64 {
        self.rng.borrow_mut().random()
    }
}

fn caller_id(value: &[u8]) -> Result<RequestId, Failure> {
    let is_plain = |it: &u8| it.is_ascii_alphanumeric() || b"-_.".contains(it);
    match std::str::from_utf8(value) {
        Ok(text) if (1..=ID_LENGTH_MAX).contains(&text.len()) && value.iter().all(is_plain) => {
            Ok(RequestId(text.to_owned()))
        }
        _ => Err(Failure::not_run(
            StatusCode::BAD_REQUEST,
            Code::BadRequest,
            "send x-request-id as 1 to 64 letters, digits, dots, dashes or underscores",
        )),
    }
}
