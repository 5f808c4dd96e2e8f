//! When a failed step is repeated.

use std::time::{Duration, Instant};

/// The pause after the first failure; it doubles with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(250);
/// The longest pause, well within the time between the settlement of a window and its report's due time.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// The pauses between attempts that fail one after the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryPause {
    /// The time of the next attempt and the pause before it.
    next: Option<(Instant, Duration)>,
}

impl RetryPause {
    /// Whether an attempt may be made.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        self.next.is_none_or(|(at, _)| at <= now)
    }

    /// Records a failed attempt.
    pub fn failed(&mut self, now: Instant) {
        let pause = self.next.map_or(PAUSE_MIN, |(_, pause)| (pause * 2).min(PAUSE_MAX));
        self.next = Some((now + pause, pause));
    }

    /// Records a successful attempt.
    pub fn succeeded(&mut self) {
        self.next = None;
    }
}
