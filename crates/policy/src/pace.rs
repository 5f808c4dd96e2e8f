//! How many slots lower classes may use on a server, so that its steps stay short enough for the
//! strictest target between tokens.
//!
//! Only the gaps of this router's own streams are used, because the other routers' running counts
//! are known late: the limit falls by a factor while the gap is too long and grows by a small sum
//! while it is clearly short. All routers see the same steps, so their limits move alike.

use std::time::{Duration, Instant};

/// Time for which a class counts as active after its last arrival.
pub(crate) const ACTIVE_FOR: Duration = Duration::from_secs(5);
/// Time over which the gaps are averaged before the limit may move.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time for streams beyond the limit to end before it falls again.
const SETTLE: Duration = Duration::from_secs(2);
/// The limit falls above this part of the target and grows below the second one.
const HIGH_PART: f64 = 0.97;
const LOW_PART: f64 = 0.90;
const DECREASE: f64 = 0.9;
const INCREASE: f64 = 0.03;
/// A server that misses the target with half of its slots too is not held back further.
const MIN_PART: f64 = 0.5;

/// The target of the strictest active class in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PaceTarget {
    pub(crate) between_token_ms: u64,
    /// Classes of a lower priority are held back.
    pub(crate) priority: u8,
}

/// Up to which limit a request may take a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ceiling {
    /// All slots of this router.
    Full,
    /// The part of them that keeps the gap between tokens within the target.
    Paced,
}

/// The part of one server's slots that lower classes may use.
#[derive(Debug, Clone)]
pub(crate) struct Pace {
    part: f64,
    sum_ms: f64,
    count: u32,
    since: Option<Instant>,
    lowered: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { part: 1.0, sum_ms: 0.0, count: 0, since: None, lowered: None }
    }
}

impl Pace {
    pub(crate) fn observe(&mut self, gap_ms: f64) {
        self.sum_ms += gap_ms;
        self.count += 1;
    }

    /// At least one slot, so that lower work always advances.
    pub(crate) fn cap(&self, slots: u32) -> u32 {
        ((f64::from(slots) * self.part).ceil() as u32).max(1).min(slots)
    }

    /// Moves the limit once an interval's gaps are known.
    pub(crate) fn adjust(&mut self, now: Instant, target_ms: f64, in_flight: u32, slots: u32) {
        let since = *self.since.get_or_insert(now);
        if now < since + INTERVAL || self.count == 0 {
            return;
        }
        let gap_ms = self.sum_ms / f64::from(self.count);
        (self.sum_ms, self.count, self.since) = (0.0, 0, Some(now));
        if gap_ms < target_ms * LOW_PART {
            self.part = (self.part + INCREASE).min(1.0);
        }
        let is_settled =
            in_flight <= self.cap(slots) || self.lowered.is_none_or(|it| now >= it + SETTLE);
        if gap_ms > target_ms * HIGH_PART && is_settled {
            self.part = (self.part * DECREASE).max(MIN_PART);
            self.lowered = Some(now);
        }
    }
}
