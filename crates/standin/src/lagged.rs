//! Values that readers see with a lag, like the reports of real systems.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Samples closer together than the lag divided by this number are merged, which bounds memory.
const SAMPLES_PER_LAG: u32 = 64;

/// A value whose readers see the state of `lag` ago.
#[derive(Debug, Clone)]
pub struct Lagged<T> {
    lag: Duration,
    samples: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Creates a value; the initial value is visible at once.
    pub fn new(lag: Duration, now: Instant, value: T) -> Lagged<T> {
        Lagged { lag, samples: VecDeque::from([(now, value)]) }
    }

    /// Changes the value; the change becomes visible after the lag.
    pub fn set(&mut self, now: Instant, value: T) {
        self.drop_expired(now);
        let spacing = self.lag / SAMPLES_PER_LAG;
        let len = self.samples.len();
        let merges = len > 2 && now.duration_since(self.samples[len - 2].0) < spacing;
        if merges {
            self.samples.pop_back();
        }
        self.samples.push_back((now, value));
    }

    /// The value that readers see at `now`, and its age, capped at the lag.
    pub fn visible(&self, now: Instant) -> (&T, Duration) {
        let newest = self.samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= self.lag);
        // The initial value has no predecessor and is visible before the lag has passed.
        let (at, value) = newest.unwrap_or(&self.samples[0]);
        (value, now.duration_since(*at).min(self.lag))
    }

    /// The value itself, without the lag.
    pub fn latest(&self) -> &T {
        &self.samples[self.samples.len() - 1].1
    }

    fn drop_expired(&mut self, now: Instant) {
        while self.samples.len() > 1 && now.duration_since(self.samples[1].0) >= self.lag {
            self.samples.pop_front();
        }
    }
}
