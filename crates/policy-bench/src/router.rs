//! The interface between the event loop and one router's decisions.

use std::time::Instant;

use policy::{LoadReport, leases::Claim};

/// Identifies one attempt to run a job at a server; unique across all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A request as a router sees it, without the length of its answer.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// The job's index in the workload.
    pub idx: usize,
    /// The index of its class.
    pub class: usize,
    /// The index of its workspace.
    pub workspace: usize,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// Time of arrival at the router.
    pub arrived: Instant,
}

/// A command that a router issues to the event loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Send the job to the server.
    Send {
        /// The new attempt.
        attempt: AttemptId,
        /// The job.
        job: usize,
        /// The server.
        server: usize,
    },
    /// Refuse the job.
    Refuse {
        /// The job.
        job: usize,
    },
    /// Pause the attempt at the server.
    Pause(AttemptId, usize),
    /// Resume the attempt at the server.
    Resume(AttemptId, usize),
    /// Cancel the attempt at the server.
    Cancel(AttemptId, usize),
    /// Probe the server's health on a new connection.
    Probe(usize),
}

/// What happens to a job after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryOutcome {
    /// The router retries, or another attempt of the job is still running.
    Retried,
    /// The caller gets an error.
    Lost,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection was refused.
    Refused,
    /// The connection was reset before the first token.
    ResetBeforeToken,
    /// The connection was reset after the first token.
    ResetAfterToken,
    /// The engine's queue was full.
    Overloaded,
}

/// The decisions of one router.
pub trait Router {
    /// Handles the arrival of a request; returns `false` if it is refused at once.
    fn arrive(&mut self, now: Instant, job: &Job) -> bool;

    /// Returns the commands that are due.
    fn poll(&mut self, now: Instant) -> Vec<Command>;

    /// Returns when to poll again if no event occurs before.
    fn wakeup(&self, now: Instant) -> Option<Instant>;

    /// Handles tokens received for an attempt.
    fn tokens(&mut self, now: Instant, attempt: AttemptId, count: u32);

    /// Handles the completion of an answer.
    fn finished(&mut self, now: Instant, attempt: AttemptId, tokens: u32);

    /// Handles the failure of an attempt.
    fn failed(&mut self, now: Instant, attempt: AttemptId, failure: AttemptFailure)
    -> RetryOutcome;

    /// Handles the expiry of a job's deadline; returns the attempt to cancel and its server.
    fn deadline_expired(&mut self, now: Instant, job: usize) -> Option<(AttemptId, usize)>;

    /// Handles a delayed load report.
    fn report(&mut self, _now: Instant, _server: usize, _report: &LoadReport) {}

    /// Handles the result of a probe; `incarnation` is `None` if the server is down.
    fn probed(&mut self, _now: Instant, _server: usize, _incarnation: Option<u64>) {}

    /// Makes the router the owner of the server.
    fn assign_server(&mut self, _now: Instant, _server: usize) {}

    /// Returns the router's claim on the server, for the server's owner.
    fn claim(&self, _server: usize) -> Claim {
        Claim::default()
    }

    /// Sets the number of the server's slots that the router holds until `expires`.
    fn lease(&mut self, _server: usize, _slots: u32, _expires: Instant) {}
}
