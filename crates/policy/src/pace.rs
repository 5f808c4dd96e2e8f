//! Limits the slots that lower classes may use on a server, so that the gap between tokens stays
//! within the strictest target.
//!
//! The limit follows the gaps of this router's own streams by additive increase and multiplicative
//! decrease, since the load of other routers is known only with a delay. All routers measure the
//! same steps of the engine, so their limits move in the same direction.

use std::time::{Duration, Instant};

/// Time for which a class counts as active after its last admitted request.
pub(crate) const ACTIVE_FOR: Duration = Duration::from_secs(5);
/// Time over which the gaps are averaged before the limit may change.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Time for streams above the limit to end before it is decreased again.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The limit decreases while the gap is above this fraction of the target.
const DECREASE_ABOVE: f64 = 0.93;
/// The limit increases while the gap is below this fraction of the target.
const INCREASE_BELOW: f64 = 0.86;
const DECREASE_FACTOR: f64 = 0.9;
const INCREASE_STEP: f64 = 0.03;
/// The limit never falls below this fraction: a server that still misses the target is not limited
/// further.
const MIN_FRACTION: f64 = 0.4;

/// The target of the strictest active class in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PaceTarget {
    pub(crate) between_token_ms: u64,
    /// Classes of a lower priority are limited.
    pub(crate) priority: u8,
}

/// The limit up to which a request may take a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ceiling {
    /// All slots of this router.
    Full,
    /// The slots that keep the gap between tokens within the target.
    Paced,
}

/// The adaptive fraction of one server's slots that lower classes may use.
#[derive(Debug, Clone)]
pub(crate) struct Pace {
    fraction: f64,
    sum_ms: f64,
    count: u32,
    interval_start: Option<Instant>,
    last_decrease: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { fraction: 1.0, sum_ms: 0.0, count: 0, interval_start: None, last_decrease: None }
    }
}

impl Pace {
    pub(crate) fn observe(&mut self, gap_ms: f64) {
        self.sum_ms += gap_ms;
        self.count += 1;
    }

    /// The limit in slots; at least one, so that lower classes always make progress.
    ///
    /// `rounding` is from 0 to 1 and differs among routers and servers. If all of them rounded
    /// their few slots in the same way, the sum would deviate from the intended fraction.
    pub(crate) fn cap(&self, slots: u32, rounding: f64) -> u32 {
        ((f64::from(slots) * self.fraction + rounding) as u32).max(1).min(slots)
    }

    /// Adjusts the limit at the end of each interval.
    pub(crate) fn adjust(&mut self, now: Instant, target_ms: f64, in_flight: u32, cap: u32) {
        let start = *self.interval_start.get_or_insert(now);
        if now < start + ADJUST_INTERVAL || self.count == 0 {
            return;
        }
        let gap_ms = self.sum_ms / f64::from(self.count);
        (self.sum_ms, self.count, self.interval_start) = (0.0, 0, Some(now));
        if gap_ms < target_ms * INCREASE_BELOW {
            self.fraction = (self.fraction + INCREASE_STEP).min(1.0);
        }
        let is_settled =
            in_flight <= cap || self.last_decrease.is_none_or(|it| now >= it + SETTLE_TIME);
        if gap_ms > target_ms * DECREASE_ABOVE && is_settled {
            self.fraction = (self.fraction * DECREASE_FACTOR).max(MIN_FRACTION);
            self.last_decrease = Some(now);
        }
    }
}
