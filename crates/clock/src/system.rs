//! The clock of the operating system.

use std::time::{Instant, SystemTime};

use crate::Clock;

/// Reads the clocks of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
