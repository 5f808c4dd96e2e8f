//! How long a server takes for a request, without the wait for a place.

use std::time::Duration;

/// The weight of a sample below the estimate and of one above it, as a request may have waited longer than
/// was known.
const WEIGHTS: [f64; 2] = [0.15, 0.05];

/// A running estimate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkTime {
    ms: Option<f64>,
}

impl WorkTime {
    pub(crate) fn ms(&self) -> Option<f64> {
        self.ms
    }

    /// Adds the time that an answer took, which was expected to be so many times the work of one request.
    pub(crate) fn add(&mut self, duration: Duration, expected_turns: f64) {
        let sample_ms = duration.as_secs_f64() * 1e3 / expected_turns;
        let ms = self.ms.unwrap_or(sample_ms);
        let [below, above] = WEIGHTS;
        let weight = if sample_ms < ms { below } else { above };
        self.ms = Some(ms + weight * (sample_ms - ms));
    }
}
