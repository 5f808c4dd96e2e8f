//! Seeded workloads that measure the decisions of the policy crate against baselines.
//!
//! Time is virtual: an event loop steps engine models and several routers, each with its own
//! scheduler, and messages take a fixed lag. There is no model of a network beyond that.

mod baselines;
mod capacity;
mod policy_router;
mod report;
mod router;
mod server;
mod sim;
mod workload;

pub use baselines::{Direct, Spread, StrictPriority};
pub use capacity::tokens_per_second;
pub use policy_router::PolicyRouter;
pub use report::{ClassResult, Results};
pub use router::{AttemptFailure, AttemptId, Command, Fate, Job, Router};
pub use sim::{Design, run};
pub use workload::{Arrival, Fault, FaultKind, Traffic, Users, Workload, WorkloadSettings};
