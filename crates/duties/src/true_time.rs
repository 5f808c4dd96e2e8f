//! An estimate of the true time that ignores short steps of the wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A step of the wall clock is followed only after it has lasted this long, as the clock may be set back.
const STEP_TIME_MIN: Duration = Duration::from_secs(20);
/// Smaller differences from the estimate are no step.
const STEP_MIN: Duration = Duration::from_millis(250);

/// The wall clock of a VM, carried on by its monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct TrueTime {
    /// The same moment on both clocks.
    anchor: (Instant, Duration),
    /// The step of the wall clock that is not followed yet.
    step: Option<Step>,
}

/// A difference between the wall clock and the estimate.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// When it was first seen.
    since: Instant,
    /// What the wall clock showed then.
    wall: Duration,
}

impl TrueTime {
    /// Starts with the wall clock as it is.
    #[must_use]
    pub fn new(now: Instant, wall: SystemTime) -> TrueTime {
        TrueTime { anchor: (now, since_epoch(wall)), step: None }
    }

    /// The time since the Unix epoch; `wall` is what the wall clock shows.
    pub fn update(&mut self, now: Instant, wall: SystemTime) -> Duration {
        let wall = since_epoch(wall);
        let estimate = self.anchor.1 + now.saturating_duration_since(self.anchor.0);
        if estimate.abs_diff(wall) < STEP_MIN {
            self.step = None;
            return estimate;
        }
        let step = self.step.filter(|it| it.explains(now, wall));
        let step = *self.step.insert(step.unwrap_or(Step { since: now, wall }));
        if now.saturating_duration_since(step.since) < STEP_TIME_MIN {
            return estimate;
        }
        self.anchor = (now, wall);
        self.step = None;
        wall
    }
}

impl Step {
    /// Whether the wall clock has run normally since the step.
    fn explains(&self, now: Instant, wall: Duration) -> bool {
        let expected = self.wall + now.saturating_duration_since(self.since);
        expected.abs_diff(wall) < STEP_MIN
    }
}

fn since_epoch(wall: SystemTime) -> Duration {
    wall.duration_since(UNIX_EPOCH).unwrap_or_default()
}
