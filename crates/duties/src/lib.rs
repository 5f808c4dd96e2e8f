//! Duties that one VM holds at a time, and the usage that its holder reports.
//!
//! The platform accepts some calls from a single holder only. [`Holder`] decides when this VM may make
//! them, and under which fencing token. Routers count the requests that backend servers begin in a
//! [`UsageCounter`], and the holder merges the counts of all routers in a [`UsageLedger`].
//!
//! The crate does no I/O and reads no clock.

mod calls;
mod holder;
mod retry;
mod true_time;
mod usage;

pub use calls::{CallResult, ScaleOrder, ServerKind, Subject, UsageReport};
pub use holder::{Holder, HolderAction, HolderSettings};
pub use retry::RetryPause;
pub use true_time::TrueTime;
pub use usage::{
    CounterId, UsageCounter, UsageLedger, UsageRows, WindowCounts, WindowId, WindowLength,
};
