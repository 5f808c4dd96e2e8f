//! A clock interface, so that tests can control the time.
//!
//! Nothing else in the workspace reads the system clock. Callers are given a [`Clock`] and pass
//! plain [`Instant`]s on to the crates without I/O.

mod manual;
mod system;

use std::time::{Instant, SystemTime};

pub use manual::ManualClock;
pub use system::SystemClock;

/// A source of monotonic and wall-clock time.
pub trait Clock {
    /// The monotonic time, for durations, timeouts and leases.
    fn now(&self) -> Instant;

    /// The wall-clock time, for logs and for dates sent to other systems.
    fn wall(&self) -> SystemTime;
}
