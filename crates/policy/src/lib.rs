//! Decisions about requests: admission, queueing, choice of backend server, retries, limits,
//! health.
//!
//! The crate is pure: it has no I/O and no clock, and its randomness is seeded. Each router has one
//! [`Scheduler`], which is called from one thread.
//!
//! # Order of calls
//!
//! 1. [`Scheduler::new`], then [`Scheduler::configure`] with each accepted revision of the tables.
//!    [`Scheduler::class`], [`Scheduler::pool`] and [`Scheduler::workspace`] return the key of a
//!    name, which stays the same across revisions.
//! 2. [`Scheduler::backend_live`], [`Scheduler::backend_leaving`] and [`Scheduler::backend_gone`]
//!    for each entry of the platform's list, in any order; [`Scheduler::load_report`] as reports
//!    arrive.
//! 3. [`Scheduler::offer`] for each request. An error must be returned to the caller immediately. A
//!    [`Ticket`] stays valid until [`Action::Refuse`], [`Action::Cancel`], [`Scheduler::finished`],
//!    [`Scheduler::cancelled`] or a [`RetryDecision::GiveUp`].
//! 4. [`Scheduler::poll`] after an offer, a first token, an end, a cancellation, a failure, a
//!    change of servers and a grant, and at [`Scheduler::next_wakeup`]; its actions must be carried
//!    out in order. [`Scheduler::tokens`] needs no poll, since further tokens free no slot.
//! 5. For each dispatched ticket: [`Scheduler::dispatched`] once the request is written,
//!    [`Scheduler::first_token`], [`Scheduler::tokens`] for each later chunk, and finally
//!    [`Scheduler::finished`], or [`Scheduler::retry`] for a failed attempt that may be retried.
//!    [`Scheduler::await_hedge`] follows where the router can race a second attempt against this one.
//!    After [`RetryDecision::Retry`] the same ticket is dispatched again by an
//!    [`Action::Dispatch`].
//! 6. [`Scheduler::cancelled`] when the caller has disconnected; the router cancels the request at
//!    the server. [`Scheduler::attempt_abandoned`] ends one of two attempts, and [`Scheduler::separate`]
//!    comes before the report that one of them has failed.
//! 7. [`Scheduler::connection_timed_out`] when an open connection receives nothing within its
//!    timeout. Each [`Action::Probe`] is answered by [`Scheduler::probe_result`] from a new
//!    connection.
//! 8. [`Scheduler::take_quarantine_events`] after a poll, for the logs; the events are kept until
//!    then. [`Scheduler::export_quarantine`] and [`Scheduler::import_quarantine`] with the other
//!    routers, and [`Scheduler::part_reports`] and [`Scheduler::import_parts`] with the hub, as are
//!    [`Scheduler::limit_entries`], [`Scheduler::import_limits`], [`Scheduler::permit_requests`] and
//!    [`Scheduler::grant_permits`]. For the leases, each router sends [`Scheduler::claim`] for each server to the
//!    server's [`leases::owner`], which replies with that router's part of [`leases::grant`] for
//!    [`Scheduler::set_lease`].
//!
//! The router itself ends a running request at its deadline and calls [`Scheduler::cancelled`].
//! Calls with a closed ticket have no effect, so late events are harmless.

mod backend;
mod class_queue;
mod crash_log;
mod estimate;
mod failing;
mod hedging;
mod kept_connections;
mod keys;
pub mod leases;
mod pace;
mod part_suspects;
mod partition;
mod path_proof;
mod peers;
mod pool;
mod prompt;
mod quarantine;
mod rate_limit;
mod request;
mod retry;
mod scheduler;
mod selection;
mod settings;
mod silence;
mod software;
mod spec;
mod urgency;
mod work_time;

pub use backend::{BackendEntry, Health, LoadReport, PendingWork};
pub use crash_log::{CrashLog, Proof};
pub use hedging::HedgeRefusal;
pub use kept_connections::KeptConnectionSettings;
pub use keys::{BackendKey, ClassKey, PoolKey, Ticket, WorkspaceKey};
pub use part_suspects::{PartChange, PartEntry, PartReport, PartSuspects};
pub use partition::MeasuredPauses;
pub use peers::{PeerAnswer, PeerPlace, Peers};
pub use prompt::{Prompt, PromptPart};
pub use quarantine::{CrashSite, QuarantineEntry, QuarantineEvent};
pub use rate_limit::{
    Allowance, LimitChange, LimitEntry, LimitStatement, PermitDemand, PermitGrant, PermitIssuer,
    PermitRequest, RequestRate, ServerHash,
};
pub use request::{Offer, PlacementEstimate, Refusal, RefusalReason, Repeat};
pub use retry::{Execution, Failure, GiveUp, Outcome, RetryDecision};
pub use scheduler::{
    Action, ClassCounts, FailingChange, FragileAnswer, ProbeResult, QueueSnapshot, ReachChange,
    Scheduler,
};
pub use settings::{OtherLoad, Pacing, PermitSource, Settings};
pub use silence::SilenceWatch;
pub use software::VersionHash;
pub use spec::{Admission, ClassSpec, Hedge, Pausing, PoolSpec, Spec, SpecError, WorkspaceSpec};
pub use urgency::{RequestPriority, UrgencyScale};
