//! Time passed in as an interface, so that decisions can be tested at any speed.
//!
//! Nothing else in the workspace reads the system's clock; a caller hands a [`Clock`] in and
//! passes plain [`Instant`]s on to the pure crates.

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
