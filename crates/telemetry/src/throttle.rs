//! A bound on how often a recurring event is logged.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Allows one log line an interval for an event that may recur with every message.
#[derive(Debug)]
pub struct Throttle {
    interval: Duration,
    last_line_at: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl Throttle {
    /// Creates a throttle that allows the first line at once.
    #[must_use]
    pub fn new(interval: Duration) -> Throttle {
        Throttle { interval, last_line_at: Cell::new(None), suppressed: Cell::new(0) }
    }

    /// Records the event. Returns the number of events without a line since the last line if this one
    /// is to be logged.
    pub fn record(&self, now: Instant) -> Option<u64> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < self.interval;
        if self.last_line_at.get().is_some_and(is_recent) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last_line_at.set(Some(now));
        Some(self.suppressed.take())
    }
}

/// Whether the failure of an attempt is to be logged, of which there were `attempts` before: that of the first, and
/// then of fewer and fewer.
#[must_use]
pub fn is_logged_attempt(attempts: u64) -> bool {
    attempts == 0 || attempts.is_power_of_two()
}
