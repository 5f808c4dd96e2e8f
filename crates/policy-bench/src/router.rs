//! The interface between the event loop and one router's decisions.

use std::time::Instant;

use policy::{LoadReport, leases::Claim};

/// One try of a job at a server, unique over all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// What a router knows of a request; the length of its answer is not known.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// The job's index in the workload.
    pub idx: usize,
    /// The index of its class.
    pub class: usize,
    /// The index of its workspace.
    pub workspace: usize,
    /// Hash of the prompt's leading part.
    pub prefix_hash: u64,
    /// Arrival at the router.
    pub arrived: Instant,
}

/// What a router wants to be done.
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
    /// Ask the server for its health on a new connection.
    Probe(usize),
}

/// What becomes of a job after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The router tries again.
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
    /// The connection was reset after the caller had some of the answer.
    ResetAfterToken,
    /// The engine's queue was full.
    Overloaded,
}

/// One router's decisions.
pub trait Router {
    /// A request arrives; false if it is refused at once.
    fn arrive(&mut self, now: Instant, job: &Job) -> bool;

    /// What is to be done now.
    fn poll(&mut self, now: Instant) -> Vec<Command>;

    /// When to poll again without an event.
    fn wakeup(&self, now: Instant) -> Option<Instant>;

    /// Tokens arrived.
    fn tokens(&mut self, now: Instant, attempt: AttemptId, count: u32);

    /// The whole answer arrived.
    fn finished(&mut self, now: Instant, attempt: AttemptId, tokens: u32);

    /// The attempt failed.
    fn failed(&mut self, now: Instant, attempt: AttemptId, failure: AttemptFailure) -> Fate;

    /// The caller's deadline has passed; returns the attempt to cancel.
    fn abandon(&mut self, now: Instant, job: usize) -> Option<(AttemptId, usize)>;

    /// A lagging load report arrived.
    fn report(&mut self, _now: Instant, _server: usize, _report: &LoadReport) {}

    /// A probe was answered; `incarnation` is none if the server is down.
    fn probed(&mut self, _now: Instant, _server: usize, _incarnation: Option<u64>) {}

    /// The router owns the server from now on.
    fn adopt(&mut self, _now: Instant, _server: usize) {}

    /// What the router tells the owner of the server.
    fn claim(&self, _server: usize) -> Claim {
        Claim::default()
    }

    /// Slots of a server leased until `expires`.
    fn lease(&mut self, _server: usize, _slots: u32, _expires: Instant) {}
}
