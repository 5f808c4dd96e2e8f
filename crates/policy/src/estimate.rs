//! Running estimates of answer lengths, latencies and rates.

use std::time::{Duration, Instant};

/// An exponentially weighted mean that starts at its first sample.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ewma {
    weight: f64,
    value: Option<f64>,
}

impl Ewma {
    pub(crate) fn new(weight: f64) -> Self {
        Self { weight, value: None }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let value = self.value.unwrap_or(sample);
        self.value = Some(value + self.weight * (sample - value));
    }

    pub(crate) fn value(&self) -> Option<f64> {
        self.value
    }
}

/// A rate of tokens or requests per second, averaged over windows and smoothed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    window_start: Option<Instant>,
    tokens: u64,
    per_second: Ewma,
}

const RATE_WINDOW: Duration = Duration::from_secs(1);
const RATE_EWMA_WEIGHT: f64 = 0.3;

impl Default for Rate {
    fn default() -> Self {
        Self { window_start: None, tokens: 0, per_second: Ewma::new(RATE_EWMA_WEIGHT) }
    }
}

impl Rate {
    pub(crate) fn add(&mut self, now: Instant, tokens: u64) {
        self.roll_window(now);
        self.tokens += tokens;
    }

    /// Tokens per second, or `None` before the first full window has ended.
    pub(crate) fn per_second(&mut self, now: Instant) -> Option<f64> {
        self.roll_window(now);
        self.per_second.value()
    }

    fn roll_window(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < RATE_WINDOW {
            return;
        }
        self.per_second.add(self.tokens as f64 / elapsed.as_secs_f64());
        self.tokens = 0;
        self.window_start = Some(now);
    }
}
