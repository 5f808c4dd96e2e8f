//! How fast the servers of a pool read prompts, learned from their answers.
//!
//! A sample is wrong if the server had cached more or less than assumed, or was busy with something the router
//! does not know of. The estimate is therefore the median of many.

use std::{collections::VecDeque, time::Duration};

/// Shorter prompts say little, as the connection and the first step of the engine take some time too.
pub(crate) const SAMPLE_TOKENS_MIN: u32 = 2_000;
/// The tokens queued before a sample, at most, as a fraction of its own.
pub(crate) const QUEUED_PART_MAX: f64 = 0.25;
/// The latest samples, of which the median is used.
const SAMPLES_MAX: usize = 63;
/// The start value counts as much as this number of samples.
const START_SAMPLES: f64 = 8.0;
const TOKENS_PER_MS_BOUNDS: [f64; 2] = [5.0, 1_000.0];

/// The reading speed of one pool.
#[derive(Debug, Default)]
pub(crate) struct ReadingSpeed {
    samples: VecDeque<f64>,
    /// The samples that were added, including those that are no longer kept.
    count: u32,
    /// The median of the samples.
    median: Option<f64>,
}

impl ReadingSpeed {
    /// Adds the time from sending a prompt to its first event. `slowness` is how long work took at the server, as
    /// a multiple of the usual time.
    pub(crate) fn add(&mut self, tokens: u32, time: Duration, slowness: f64) {
        let time_ms = time.as_secs_f64() * 1e3;
        let [least, most] = TOKENS_PER_MS_BOUNDS;
        let sample = f64::from(tokens) * slowness / time_ms.max(f64::MIN_POSITIVE);
        if self.samples.len() >= SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(sample.clamp(least, most));
        self.count = self.count.saturating_add(1);
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        let middle = (sorted.len() - 1) / 2;
        self.median = Some(*sorted.select_nth_unstable_by(middle, f64::total_cmp).1);
    }

    /// Prompt tokens that a server reads in a millisecond when work takes as long as usual.
    pub(crate) fn tokens_per_ms(&self, start: f64) -> f64 {
        let [least, most] = TOKENS_PER_MS_BOUNDS;
        let start = start.clamp(least, most);
        let count = f64::from(self.count);
        let weight = count / (count + START_SAMPLES);
        self.median.map_or(start, |it| start * (it / start).powf(weight))
    }
}
