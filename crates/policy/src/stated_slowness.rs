//! How slow a server is by its own statements.
//!
//! A statement describes one moment and changes many times a second, so it counts for about a second only.
//! After that the mean of all statements counts, which differs among servers as their VMs do.
//! Logarithms are averaged, so that a short peak does not outweigh many usual figures.

use std::time::{Duration, Instant};

/// A statement outside these bounds counts as the nearer one.
const PERCENT_BOUNDS: [u32; 2] = [50, 1_000];
const USUAL_PERCENT: f64 = 100.0;
/// Time in which the difference between a statement and the mean halves.
const HALF_LIFE: Duration = Duration::from_millis(250);
/// The mean starts as if the server had stated the usual time this many times.
const PRIOR_STATEMENTS: u32 = 2;
/// Each statement moves the mean by at least this fraction of its difference.
const MEAN_WEIGHT_MIN: f64 = 0.05;
/// Statements within this time after the last one that moved the mean do not move it: they belong to the same
/// moment.
const MOMENT: Duration = Duration::from_millis(100);
/// Time in which the mean comes halfway back to the usual without statements. A server that was slow and is
/// therefore not chosen is tried again in this way.
const FORGET_HALF_LIFE: Duration = Duration::from_secs(60);

/// The statements of one server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StatedSlowness {
    latest: Option<Statement>,
    /// The logarithm of the mean relative to the usual, as of the last statement that moved it.
    mean_ln: f64,
    mean_at: Option<Instant>,
    /// The statements that moved the mean.
    count: u32,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    ln: f64,
    at: Instant,
}

impl StatedSlowness {
    /// Records a statement that was made `age` ago.
    pub(crate) fn record(&mut self, now: Instant, percent: u32, age: Duration) {
        let [least, most] = PERCENT_BOUNDS;
        let ln = (f64::from(percent.clamp(least, most)) / USUAL_PERCENT).ln();
        let at = now.checked_sub(age).unwrap_or(now);
        if self.latest.is_none_or(|it| it.at <= at) {
            self.latest = Some(Statement { ln, at });
        }
        if self.mean_at.is_some_and(|it| now < it + MOMENT) {
            return;
        }
        let mean_ln = self.mean_ln(now);
        self.count = self.count.saturating_add(1);
        let statements = self.count.saturating_add(PRIOR_STATEMENTS);
        let weight = (1.0 / f64::from(statements)).max(MEAN_WEIGHT_MIN);
        self.mean_ln = mean_ln + weight * (ln - mean_ln);
        self.mean_at = Some(now);
    }

    pub(crate) fn is_known(&self) -> bool {
        self.latest.is_some()
    }

    /// How long work takes at the server in the long run, as a multiple of the usual time.
    pub(crate) fn lasting(&self, now: Instant) -> f64 {
        self.mean_ln(now).exp()
    }

    /// How long work takes at the server now, as a multiple of the usual time.
    ///
    /// A statement below the mean is not used: the server would look best to every router that has
    /// just heard it, and all of them would choose it.
    pub(crate) fn present(&self, now: Instant) -> f64 {
        let mean_ln = self.mean_ln(now);
        let Some(latest) = self.latest else { return mean_ln.exp() };
        let excess_ln = (latest.ln - mean_ln).max(0.0);
        (mean_ln + excess_ln * remaining(now, latest.at, HALF_LIFE)).exp()
    }

    fn mean_ln(&self, now: Instant) -> f64 {
        let Some(mean_at) = self.mean_at else { return 0.0 };
        self.mean_ln * remaining(now, mean_at, FORGET_HALF_LIFE)
    }
}

/// What remains at `now` of a whole at `since` that halves every `half_life`.
fn remaining(now: Instant, since: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(since);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
