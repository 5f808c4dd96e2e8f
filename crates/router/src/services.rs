//! What the stages share, and the settings of their waits.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use http::HeaderValue;

use crate::{
    arrival::{Reception, RequestId},
    backends::Backends,
    dispatch::Dispatcher,
    metrics::Metrics,
    order_ledger::OrderLedger,
};

/// How long the router waits in each phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Silence of a backend server before the first byte of its answer, after which it is probed.
    pub first_silence_ms: u64,
    /// Silence within an answer, after which the backend server is probed.
    pub silence_ms: u64,
    /// How often in a row a silent or cut stream is resumed without a new token.
    pub resumes_max: u32,
    /// How long a side call to an engine may take, such as the resume of a stream.
    pub engine_call_timeout_ms: u64,
    /// How long a call of the order ledger may take.
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

/// What the stages share.
pub struct Services {
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The backend servers.
    pub backends: Backends,
    /// Places at them.
    pub dispatcher: Dispatcher,
    /// Claims on orders.
    pub ledger: Rc<dyn OrderLedger>,
    /// Counts and times.
    pub metrics: Metrics,
    /// Identities.
    pub reception: Reception,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// The admin listeners of the other routers of the failure domain.
    pub peers: Vec<SocketAddr>,
}

impl Services {
    /// An identity that no other attempt has; it begins with the caller's.
    pub(crate) fn attempt_id(&self, id: &RequestId) -> HeaderValue {
        let text = format!("{id}.{:016x}", self.reception.nonce());
        HeaderValue::try_from(text).expect("an identity is made of plain characters")
    }
}
