//! Decisions about requests: admission, queueing, choice of backend server, retries, limits, health.
//!
//! The crate is pure: no I/O, no clock, seeded randomness. One [`Scheduler`] belongs to one router
//! and is called on one thread.
//!
//! # Order of calls
//!
//! 1. [`Scheduler::new`], then [`Scheduler::configure`] with each accepted revision of the tables.
//!    [`Scheduler::class`], [`Scheduler::pool`] and [`Scheduler::workspace`] give the keys of the
//!    names; a name keeps its key over revisions.
//! 2. [`Scheduler::backend_live`], [`Scheduler::backend_leaving`] and [`Scheduler::backend_gone`]
//!    for each entry of the platform's list, in any order; [`Scheduler::load_report`] as reports
//!    arrive.
//! 3. For a request [`Scheduler::offer`]. An error is answered to the caller at once. A [`Ticket`]
//!    stays valid until [`Action::Refuse`], [`Action::Cancel`], [`Scheduler::finished`],
//!    [`Scheduler::cancelled`] or a [`RetryDecision::GiveUp`].
//! 4. [`Scheduler::poll`] after an offer, a first token, an end, a cancellation, a failure, news
//!    of servers and a grant, and at [`Scheduler::next_wakeup`]; carry out its actions in their
//!    order. [`Scheduler::tokens`] needs no poll: more tokens free no slot.
//! 5. For each dispatched ticket: [`Scheduler::dispatched`] when the request was written,
//!    [`Scheduler::first_token`], [`Scheduler::tokens`] for every chunk after it, and at its end
//!    [`Scheduler::finished`], or [`Scheduler::retry`] for a failed attempt that may be tried
//!    again. After [`RetryDecision::Retry`] the same ticket comes back in an
//!    [`Action::Dispatch`].
//! 6. [`Scheduler::cancelled`] when the caller went away; the router cancels at the server.
//! 7. [`Scheduler::connection_timed_out`] when an open connection fell silent. Answer each
//!    [`Action::Probe`] by [`Scheduler::probe_result`] from a new connection.
//! 8. [`Scheduler::export_quarantine`] and [`Scheduler::import_quarantine`] with the other routers
//!    of the failure domain, and the leases: each router sends [`Scheduler::claim`] for each server
//!    to the server's [`leases::owner`], which answers with its part of [`leases::grant`] for
//!    [`Scheduler::set_lease`].
//!
//! The router itself ends a running request at its deadline and calls [`Scheduler::cancelled`].
//! Calls with a ticket that is closed do nothing, so late events are harmless.

mod backend;
mod choice;
mod estimate;
mod keys;
mod lane;
pub mod leases;
mod pace;
mod partition;
mod pool;
mod prompt;
mod quarantine;
mod request;
mod retry;
mod scheduler;
mod settings;
mod spec;

pub use backend::{BackendEntry, Health, LoadReport, PendingWork};
pub use keys::{BackendKey, ClassKey, PoolKey, Ticket, WorkspaceKey};
pub use prompt::{Prompt, PromptPart};
pub use quarantine::{CrashSite, QuarantineEntry};
pub use request::{Offer, Refusal, RefusalReason, Repeat};
pub use retry::{Execution, Failure, GiveUp, Outcome, RetryDecision};
pub use scheduler::{Action, ClassCounts, ProbeResult, QueueSnapshot, Scheduler};
pub use settings::{OtherLoad, Pacing, Settings};
pub use spec::{Admission, ClassSpec, Hedge, Pausing, PoolSpec, Spec, SpecError, WorkspaceSpec};
