//! Seeded simulations that compare the decisions of the policy crate with baselines.
//!
//! Time is virtual: an event loop steps engine models and several routers, each with its own
//! scheduler. Each message takes a fixed latency; the network is not modelled beyond that.

mod baselines;
mod capacity;
mod policy_router;
mod report;
mod router;
mod server;
mod sim;
mod workload;

pub use baselines::{Balancing, Direct, StrictPriority};
pub use capacity::tokens_per_second;
pub use policy_router::PolicyRouter;
pub use report::{ClassResult, Results};
pub use router::{AttemptFailure, AttemptId, Command, Job, RetryOutcome, Router};
pub use sim::{Design, run};
pub use workload::{Arrival, Deployment, Fault, FaultKind, Traffic, Workload, WorkloadSettings};
