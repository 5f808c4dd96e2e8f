//! The services that the stages of a request share, and their timeouts.

use std::{
    cell::OnceCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use control_client::Domain;
use http::HeaderValue;

use crate::{
    arrival::{IdGenerator, RequestId},
    backends::Backends,
    dispatch::Dispatcher,
    engine_urgency::EngineUrgency,
    forwarding::Forwarder,
    memory::Memory,
    metrics::Metrics,
    order_ledger::OrderLedger,
    stop_deadline::StopDeadline,
    stream_origins::StreamOrigins,
    usage::Usage,
};

/// Timeouts within a request, and the limit of resumes after them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The time without the first byte of an answer after which the backend server is probed.
    pub first_silence_ms: u64,
    /// The time without data within an answer after which the backend server is probed.
    pub silence_ms: u64,
    /// The maximum number of consecutive resumes of a silent or broken stream without a new token.
    pub resumes_max: u32,
    /// The timeout of an auxiliary call to an engine, such as the resume of a stream.
    pub engine_call_timeout_ms: u64,
    /// The timeout of a call to the order ledger.
    pub ledger_timeout_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            first_silence_ms: 5_000,
            silence_ms: 2_000,
            resumes_max: 3,
            engine_call_timeout_ms: 2_000,
            ledger_timeout_ms: 2_000,
        }
    }
}

impl Timeouts {
    pub(crate) fn first_silence(&self) -> Duration {
        Duration::from_millis(self.first_silence_ms)
    }

    pub(crate) fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    pub(crate) fn engine_call_timeout(&self) -> Duration {
        Duration::from_millis(self.engine_call_timeout_ms)
    }

    pub(crate) fn ledger_timeout(&self) -> Duration {
        Duration::from_millis(self.ledger_timeout_ms)
    }
}

/// The services that the stages of a request share.
pub struct Services {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The connections to backend servers.
    pub backends: Backends,
    /// Assigns backend servers to requests.
    pub dispatcher: Dispatcher,
    /// Holds the claims on orders.
    pub ledger: Rc<dyn OrderLedger>,
    /// The metrics.
    pub metrics: Metrics,
    /// Generates request IDs.
    pub ids: IdGenerator,
    /// The timeouts.
    pub timeouts: Timeouts,
    /// The urgency of requests at model engines.
    pub urgency: EngineUrgency,
    /// When requests in flight must be answered because the router is stopping.
    pub(crate) stop: StopDeadline,
    /// The software versions that began streams.
    pub(crate) streams: StreamOrigins,
    /// The requests that backend servers have begun.
    pub(crate) usage: Usage,
    /// The admin listeners of the other routers of the failure domain.
    pub peers: Vec<SocketAddr>,
    /// The memory for requests and answers.
    pub(crate) memory: Memory,
    /// Forwards requests to other routers.
    pub(crate) forwarder: Forwarder,
    /// The exchange with the hub, once it has started.
    pub domain: OnceCell<Rc<Domain>>,
}

impl Services {
    /// A unique ID for an attempt; it begins with the request ID.
    pub(crate) fn attempt_id(&self, id: &RequestId) -> HeaderValue {
        let text = format!("{id}.{:016x}", self.ids.nonce());
        HeaderValue::try_from(text).expect("a request ID is a valid header value")
    }

    /// The time until a request with this deadline must be answered, which a stop of the router shortens.
    pub(crate) fn time_left(&self, deadline: Instant) -> Duration {
        self.stop.limit(deadline.saturating_duration_since(self.clock.now()))
    }
}
