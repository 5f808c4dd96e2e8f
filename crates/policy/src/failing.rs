//! Servers whose requests fail more often than those of their pool's other servers.
//!
//! A server that fails at once is always idle, so that it would attract more requests than the others.
//! It gets a small share of its requests instead, from which it is seen when it is well again.

use std::time::Instant;

use crate::estimate::Ewma;

const FAILURE_EWMA_WEIGHT: f64 = 0.2;
/// The number of requests after which a server can be failing.
const SAMPLES_MIN: u32 = 4;
/// A server is failing if this share of its requests failed lately,
const FAILING_SHARE: f64 = 0.4;
/// and if that is this multiple of the median of its pool.
const FAILING_RATIO: f64 = 3.0;
/// A failing server is tried with one of so many requests of its share.
const TRIAL_INTERVAL: u64 = 8;

/// The failures of the latest requests to one server.
#[derive(Debug)]
pub(crate) struct FailureRecord {
    share: Ewma,
    samples: u32,
    /// When the last failure was counted.
    failed_at: Option<Instant>,
    /// The requests that the pool's servers may still be sent until this one is tried.
    until_trial: u64,
    pub(crate) is_failing: bool,
}

impl Default for FailureRecord {
    fn default() -> Self {
        FailureRecord {
            share: Ewma::new(FAILURE_EWMA_WEIGHT),
            samples: 0,
            failed_at: None,
            until_trial: 0,
            is_failing: false,
        }
    }
}

impl FailureRecord {
    /// Records that a request sent at `sent_at` failed. Requests that were under way together when one
    /// failed are cut off by one cause, so they count once.
    pub(crate) fn record_failure(&mut self, now: Instant, sent_at: Instant) {
        if self.failed_at.is_none_or(|it| sent_at >= it) {
            self.failed_at = Some(now);
            self.record(1.0);
        }
    }

    /// Records a request that succeeded; returns whether the server was failing until now.
    pub(crate) fn record_success(&mut self) -> bool {
        if self.is_failing {
            *self = FailureRecord::default();
            return true;
        }
        self.record(0.0);
        false
    }

    /// The share of the latest requests that failed.
    pub(crate) fn share(&self) -> f64 {
        self.share.value().unwrap_or(0.0)
    }

    /// Whether the share is far above the median of the pool.
    pub(crate) fn exceeds(&self, median: f64) -> bool {
        let share = self.share();
        self.samples >= SAMPLES_MIN && share >= FAILING_SHARE && share >= median * FAILING_RATIO
    }

    /// Counts a request to one of the pool's `servers`.
    pub(crate) fn count_request(&mut self) {
        self.until_trial = self.until_trial.saturating_sub(1);
    }

    pub(crate) fn is_trial_due(&self) -> bool {
        self.is_failing && self.until_trial == 0
    }

    /// Schedules the next trial in a pool with so many servers.
    pub(crate) fn schedule_trial(&mut self, servers: usize) {
        self.until_trial = TRIAL_INTERVAL * servers as u64;
    }

    fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            // The first request alone says little.
            self.share.add(0.0);
        }
        self.share.add(sample);
    }
}
