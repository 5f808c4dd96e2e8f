//! A clock for tests, which advances only on request.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use crate::Clock;

/// A clock that a test advances explicitly; clones share the same time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for ManualClock {
    fn default() -> Self {
        ManualClock { start: Instant::now(), elapsed: Arc::default() }
    }
}

impl ManualClock {
    /// Advances both the monotonic and the wall-clock time by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    /// The time by which the clock has been advanced.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
