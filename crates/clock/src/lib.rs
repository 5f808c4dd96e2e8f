//! A clock interface, so that tests can control the time.
//!
//! Nothing else in the workspace reads the system clock. Callers are given a [`Clock`] and pass
//! plain [`Instant`]s on to the crates without I/O.

mod manual;
mod system;

use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub use manual::ManualClock;
pub use system::SystemClock;

/// A source of monotonic and wall-clock time.
pub trait Clock {
    /// The monotonic time, for durations, timeouts and leases.
    fn now(&self) -> Instant;

    /// The wall-clock time, for logs and for dates sent to other systems.
    fn wall(&self) -> SystemTime;

    /// The wall-clock time in milliseconds since the Unix epoch; 0 before it.
    fn unix_ms(&self) -> u64 {
        self.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }
}
