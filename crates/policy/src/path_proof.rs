//! Whether the path to a server bears requests that must not run twice.
//!
//! A router that is cut off from all servers may get through to one of them now and then before the path
//! has healed. Requests that may be repeated find out; the others wait for several answers in a row.

use std::time::{Duration, Instant};

/// The number of probes in a row that the server must answer.
const ANSWERS_NEEDED: u32 = 3;
/// The time between these probes.
pub(crate) const PROOF_INTERVAL: Duration = Duration::from_millis(100);

/// What is known about the path from this router to a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum PathProof {
    /// It bears all requests.
    #[default]
    Proven,
    /// The router was cut off at `since`, and the last `answers` probes after that were answered.
    Unproven { since: Instant, answers: u32 },
}

impl PathProof {
    /// Forgets what is known, because the router is cut off.
    pub(crate) fn lost(&mut self, now: Instant) {
        *self = PathProof::Unproven { since: now, answers: 0 };
    }

    pub(crate) fn is_proven(self) -> bool {
        self == PathProof::Proven
    }

    /// Records a probe that was answered.
    pub(crate) fn probe_answered(&mut self) {
        if let PathProof::Unproven { answers, .. } = self {
            *answers += 1;
            if *answers >= ANSWERS_NEEDED {
                *self = PathProof::Proven;
            }
        }
    }

    /// Records a probe or a request that did not get through.
    pub(crate) fn failed(&mut self) {
        if let PathProof::Unproven { answers, .. } = self {
            *answers = 0;
        }
    }

    /// Records an answer to a request that was sent at `sent`. One that was sent before the cut travels on
    /// a connection that says nothing about new ones.
    pub(crate) fn request_answered(&mut self, sent: Instant) {
        if let PathProof::Unproven { since, .. } = self
            && sent > *since
        {
            *self = PathProof::Proven;
        }
    }
}
