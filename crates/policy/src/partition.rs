//! Divides a pool's engines between streams with a strict target between tokens and all others.
//!
//! An engine reads prompts in chunks between the tokens of what runs there, so while it reads long
//! prompts one after the other, every token of every stream takes as long as a chunk. Streams of
//! the strictest class therefore get engines of their own, as many as their part of the work asks
//! for. The division is a preference: whoever finds its own side busy goes to the other.

use std::time::{Duration, Instant};

use crate::{backend::Backend, choice::mix, keys::BackendKey};

use slotmap::SlotMap;

/// The side of the strictest class or of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The class with the strictest target between tokens.
    Strict,
    /// All other classes.
    Lenient,
}

/// Work is averaged over about this time: long enough for one router's part of the traffic.
const MEMORY: Duration = Duration::from_secs(60);

/// A change of the part below this moves no engine, since each move empties caches.
const PART_HYSTERESIS: f64 = 0.2;

/// Strict streams get this much of their part: a batch of many short ones costs less for each.
const ROOM_FACTOR: f64 = 0.4;

/// The part of the work that is taken to be strict before any is seen.
const STRICT_PART_PRIOR: f64 = 0.4;
/// What the prior counts for, in milliseconds of engine time.
const PRIOR_WORK_MS: f64 = 2_000.0;

/// Pools with fewer engines are not divided.
const DIVIDED_MIN: usize = 4;

/// The work of both sides, as far as this router sees it.
#[derive(Debug)]
pub(crate) struct Partition {
    strict_ms: f64,
    lenient_ms: f64,
    updated: Option<Instant>,
    /// The part of the work that is strict, as the division goes by it.
    held_part: f64,
}

impl Default for Partition {
    fn default() -> Self {
        Partition {
            strict_ms: PRIOR_WORK_MS * STRICT_PART_PRIOR,
            lenient_ms: PRIOR_WORK_MS * (1.0 - STRICT_PART_PRIOR),
            updated: None,
            held_part: STRICT_PART_PRIOR,
        }
    }
}

impl Partition {
    /// Adds the engine time that a request is expected to take.
    pub(crate) fn add(&mut self, now: Instant, side: Side, work_ms: f64) {
        let since = now.saturating_duration_since(self.updated.unwrap_or(now));
        let kept = (-since.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.updated = Some(now);
        self.strict_ms *= kept;
        self.lenient_ms *= kept;
        match side {
            Side::Strict => self.strict_ms += work_ms,
            Side::Lenient => self.lenient_ms += work_ms,
        }
        let part = self.strict_ms / (self.strict_ms + self.lenient_ms).max(f64::MIN_POSITIVE);
        if (part - self.held_part).abs() > PART_HYSTERESIS {
            self.held_part = part;
        }
    }

    /// The usable engines of one side; all of them where the pool is too small to be divided.
    pub(crate) fn side(
        &self,
        backends: &SlotMap<BackendKey, Backend>,
        members: &[BackendKey],
        side: Side,
    ) -> Vec<BackendKey> {
        let usable = members.iter().copied().filter(|it| backends[*it].is_usable());
        let mut ranked: Vec<_> = usable.collect();
        if ranked.len() < DIVIDED_MIN {
            return ranked;
        }
        // All routers rank alike, so their divisions differ by an engine or two at most.
        ranked.sort_by_cached_key(|it| mix(backends[*it].name_hash));
        let lenient = ranked.split_off(self.strict_count(ranked.len()));
        match side {
            Side::Strict => ranked,
            Side::Lenient => lenient,
        }
    }

    fn strict_count(&self, usable: usize) -> usize {
        let count = (self.held_part * ROOM_FACTOR * usable as f64).round() as usize;
        count.clamp(1, usable - 1)
    }
}
