//! The scheduler's state of a request, from admission to its end.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::{
    keys::{BackendKey, ClassKey, PoolKey, Ticket, WorkspaceKey},
    software::VersionHash,
};

/// A request that is offered for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Its class.
    pub class: ClassKey,
    /// The workspace that sent the request.
    pub workspace: WorkspaceKey,
    /// The pool that serves the class.
    pub pool: PoolKey,
    /// The hash of the prompt's prefix, for cache affinity; zero for none.
    pub prefix_hash: u64,
    /// The fingerprint of the whole request, which is the same if the request is sent again.
    pub request_hash: u64,
    /// The caller's limit of answer tokens, if any.
    pub max_tokens: Option<u32>,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It is idempotent.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// The refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which the caller may send the request again.
    pub retry_after: Duration,
}

/// The reason of a [`Refusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// The class's queue is full.
    #[display("the queue of the class is full: come back later")]
    QueueFull,
    /// It was evicted from the queue for a more urgent request, or for one of a workspace with a
    /// smaller backlog.
    #[display("the place went to other work: come back later")]
    Displaced,
    /// The answer is expected after the deadline.
    #[display("the answer would come after the deadline: come back later")]
    DeadlineUnreachable,
    /// The request crashed backend servers.
    #[display("the request crashed backend servers: change it")]
    Quarantined,
    /// No server of the pool is usable.
    #[display("no backend server of the pool is usable: come back later")]
    NoBackend,
    /// No server of the software version that began the stream is usable.
    #[display("no backend server of the version that began the stream is usable: start it anew")]
    NoVersion,
    /// All servers of the pool have named limits, and too many requests wait.
    #[display("all backend servers of the pool limit their requests: come back later")]
    RateLimited,
    /// The class, pool or workspace is not in the tables.
    #[display("the class, pool or workspace is not in the tables: check the route")]
    Unknown,
}

/// At least the cost divided by this counts as remaining, even once a request exceeds its estimate.
const MIN_REMAINING_DIVISOR: u32 = 4;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) offer: Offer,
    /// The expected number of answer tokens.
    pub(crate) cost: u32,
    pub(crate) arrived: Instant,
    /// A request that is dispatched later is not expected to meet its deadline.
    pub(crate) dispatch_deadline: Instant,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// Attempts without a connection that are not counted in `attempts`.
    pub(crate) failed_connects: u32,
    /// The servers of earlier attempts without duplicates, the latest at the end.
    pub(crate) tried: Vec<BackendKey>,
    /// If set, only servers of this software version may run it.
    pub(crate) version: Option<VersionHash>,
    pub(crate) preemption: Preemption,
    pub(crate) reservation: Reservation,
    /// The other attempt of a hedged request.
    pub(crate) other_attempt: Option<Ticket>,
    /// Whether it began as a second attempt.
    pub(crate) is_hedge: bool,
}

/// Whether a running request may be paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Preemption {
    Pausable,
    /// It was started by its class's guaranteed share, or as a hedge.
    Protected,
}

/// Whether a slot is reserved for a request by pausing a stream of a lower class on its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reservation {
    None,
    /// The slot stays reserved until the request's first token.
    Held,
    Released,
}

/// Where a request is in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Delayed { until: Instant },
    Running(Attempt),
    Paused(Attempt),
}

/// An attempt to serve a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendKey,
    pub(crate) incarnation: u64,
    /// The software version of the server.
    pub(crate) version: VersionHash,
    pub(crate) sent_at: Instant,
    pub(crate) tokens: u32,
    pub(crate) first_token_at: Option<Instant>,
    /// Whether the server was seen to answer the parts of its prompt without a crash.
    pub(crate) is_proven: bool,
    /// When the last token arrived, or when the request was sent if there is none yet.
    pub(crate) last_token_at: Instant,
    /// The longest time between two arrivals of tokens.
    pub(crate) longest_pause: Duration,
    /// How many times the work of one request the server was expected to take for this one, as others
    /// waited there for a place.
    pub(crate) expected_turns: f64,
    /// Prompt tokens that the server is expected to prefill before the first token.
    pub(crate) prefill_tokens: u32,
    /// `None` if the prompt is unknown.
    pub(crate) estimate: Option<PlacementEstimate>,
}

/// What the scheduler knew about a server when it assigned a request with a prompt to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementEstimate {
    /// The server's rank among the home servers of the shared prefix, from 1; `None` if it is not
    /// one of them.
    pub home_rank: Option<usize>,
    /// Tokens of the prompt that the server is expected to prefill.
    pub prefill_tokens: u32,
    /// Tokens of earlier prompts from all routers that the server has not prefilled.
    pub queued_tokens: u64,
    /// Earlier requests of all routers at the server.
    pub server_requests: u32,
}

impl Request {
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Running(attempt) | Phase::Paused(attempt) => Some(attempt),
            Phase::Waiting | Phase::Delayed { .. } => None,
        }
    }

    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            Phase::Running(attempt) | Phase::Paused(attempt) => Some(attempt),
            Phase::Waiting | Phase::Delayed { .. } => None,
        }
    }

    /// The expected number of remaining tokens. A stream that exceeds its estimate may still be
    /// long.
    pub(crate) fn remaining_tokens(&self) -> u32 {
        let done = self.attempt().map_or(0, |it| it.tokens);
        self.cost.saturating_sub(done).max(self.cost / MIN_REMAINING_DIVISOR).max(1)
    }

    /// Records that an attempt was sent to the server.
    pub(crate) fn record_tried(&mut self, backend: BackendKey) {
        self.tried.retain(|it| *it != backend);
        self.tried.push(backend);
    }

    /// A copy of the request for a second, concurrent attempt.
    pub(crate) fn clone_for_hedge(&self) -> Self {
        let tried = self.tried.clone();
        Self {
            tried,
            phase: Phase::Waiting,
            reservation: Reservation::None,
            other_attempt: None,
            is_hedge: true,
            ..*self
        }
    }
}
