//! A request as the scheduler keeps it, from its offer to its end.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::keys::{BackendKey, ClassKey, PoolKey, Ticket, WorkspaceKey};

/// A request that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Its class.
    pub class: ClassKey,
    /// Who asks.
    pub workspace: WorkspaceKey,
    /// The pool that serves the class.
    pub pool: PoolKey,
    /// Hash of the prompt's leading part, for the prefix cache; zero for none.
    pub prefix_hash: u64,
    /// Fingerprint of the whole request, equal for a resend.
    pub request_hash: u64,
    /// Tokens of the answer, if the caller limits them.
    pub max_tokens: Option<u32>,
    /// Whether it may run more than once.
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

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When it is worth to come back.
    pub retry_after: Duration,
}

/// The reason of a [`Refusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// The class's queue is full.
    #[display("the queue of the class is full: come back later")]
    QueueFull,
    /// The place went to more urgent work, or to a workspace with less waiting.
    #[display("the place went to other work: come back later")]
    Displaced,
    /// The answer would come after the deadline.
    #[display("the answer would come after the deadline: come back later")]
    DeadlineUnreachable,
    /// The request crashed backend servers.
    #[display("the request crashed backend servers: change it")]
    Quarantined,
    /// No server of the pool is usable.
    #[display("no backend server of the pool is usable: come back later")]
    NoBackend,
    /// The class, pool or workspace is not in the tables.
    #[display("the class, pool or workspace is not in the tables: check the route")]
    Unknown,
}

const OVERRUN_DIVISOR: u32 = 4;

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) offer: Offer,
    pub(crate) cost: u32,
    pub(crate) arrived: Instant,
    /// After this the deadline can't be met by a dispatch.
    pub(crate) give_up_at: Instant,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// Attempts that found no connection, which do not count.
    pub(crate) unreached: u32,
    /// The servers of earlier attempts, each once, the last one at the end.
    pub(crate) tried: Vec<BackendKey>,
    pub(crate) standing: Standing,
    pub(crate) room: Room,
    /// The other attempt of a hedged request.
    pub(crate) twin: Option<Ticket>,
}

/// Whether a running request may be paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Pausable,
    /// It runs by its class's guaranteed share.
    Protected,
}

/// Whether a lower stream at the server was paused after the request was sent there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Room {
    NotMade,
    /// The slot stays free until the request's first token.
    Reserved,
    Used,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Delayed { until: Instant },
    Running(Run),
    Paused(Run),
}

/// An attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) backend: BackendKey,
    pub(crate) incarnation: u64,
    pub(crate) sent: Instant,
    pub(crate) tokens: u32,
    /// The last token, or the dispatch before the first one.
    pub(crate) last: Instant,
    /// Prompt tokens that the server is taken to read before the first token.
    pub(crate) unread_tokens: u32,
}

impl Request {
    pub(crate) fn run(&self) -> Option<Run> {
        match self.phase {
            Phase::Running(run) | Phase::Paused(run) => Some(run),
            Phase::Waiting | Phase::Delayed { .. } => None,
        }
    }

    /// Tokens that are expected to come still; a stream beyond its estimate may go on for long.
    pub(crate) fn remaining_tokens(&self) -> u32 {
        let done = self.run().map_or(0, |it| it.tokens);
        self.cost.saturating_sub(done).max(self.cost / OVERRUN_DIVISOR).max(1)
    }

    /// Notes that an attempt went to the server.
    pub(crate) fn note_tried(&mut self, backend: BackendKey) {
        self.tried.retain(|it| *it != backend);
        self.tried.push(backend);
    }

    /// The same request, about to be sent a second time beside the first attempt.
    pub(crate) fn second_attempt(&self) -> Self {
        let tried = self.tried.clone();
        Self { tried, phase: Phase::Waiting, room: Room::NotMade, twin: None, ..*self }
    }
}
