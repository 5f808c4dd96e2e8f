//! Partitions a pool's servers between streams with a strict target between tokens and all others.
//!
//! An engine prefills prompts in chunks between decode steps. While it prefills long prompts, the
//! gap between the tokens of all its streams is as long as a chunk. Streams of the strictest class
//! therefore get their own servers, in proportion to their share of the work. The partition is a
//! preference: requests whose own side is busy use the other one. If the pauses there are too long for
//! them, they get more servers of their own.

use std::time::{Duration, Instant};

use crate::{backend::Backend, keys::BackendKey, selection::mix};

use slotmap::SlotMap;

/// A side of the partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The class with the strictest target between tokens.
    Strict,
    /// All other classes.
    Lenient,
}

/// Time constant of the work average; it is long enough for the traffic of a single router.
const WORK_DECAY: Duration = Duration::from_secs(60);

/// Smaller changes of the strict share move no server, since a moved server loses the use of its
/// cache.
const SHARE_HYSTERESIS: f64 = 0.2;

/// Servers for strict streams relative to their share of the work, if the lenient side has short pauses
/// and if it has long ones. Below 1 because a large batch of short streams costs less for each of them.
const STRICT_SERVERS_FACTORS: [f64; 2] = [0.4, 0.7];
/// Pauses of the lenient side that count as short and as long, relative to the strict target.
const PAUSE_RATIOS: [f64; 2] = [0.9, 1.1];
/// Of the longest pauses of the streams, the quantile that is compared.
const PAUSE_QUANTILE: f64 = 0.9;
/// The part of the strict target by which the estimate of that quantile moves with each stream.
const QUANTILE_STEP: f64 = 0.03;

/// The assumed strict share of the work before any is measured.
const STRICT_SHARE_PRIOR: f64 = 0.4;
/// The weight of the prior in milliseconds of engine time.
const PRIOR_WORK_MS: f64 = 2_000.0;

/// Pools with fewer servers are not partitioned.
const PARTITIONED_SERVERS_MIN: usize = 4;

/// The work of both sides that this router has dispatched.
#[derive(Debug)]
pub(crate) struct Partition {
    strict_ms: f64,
    lenient_ms: f64,
    updated: Option<Instant>,
    /// The strict share on which the current partition is based.
    applied_share: f64,
    /// The long pauses of lenient streams, relative to the strict target.
    pause_ratio: f64,
}

impl Default for Partition {
    fn default() -> Self {
        Partition {
            strict_ms: PRIOR_WORK_MS * STRICT_SHARE_PRIOR,
            lenient_ms: PRIOR_WORK_MS * (1.0 - STRICT_SHARE_PRIOR),
            updated: None,
            applied_share: STRICT_SHARE_PRIOR,
            pause_ratio: PAUSE_RATIOS[0],
        }
    }
}

impl Partition {
    /// Adds the expected engine time of a request.
    pub(crate) fn add(&mut self, now: Instant, side: Side, work_ms: f64) {
        let elapsed = now.saturating_duration_since(self.updated.unwrap_or(now));
        let retained = (-elapsed.as_secs_f64() / WORK_DECAY.as_secs_f64()).exp();
        self.updated = Some(now);
        self.strict_ms *= retained;
        self.lenient_ms *= retained;
        match side {
            Side::Strict => self.strict_ms += work_ms,
            Side::Lenient => self.lenient_ms += work_ms,
        }
        let share = self.strict_ms / (self.strict_ms + self.lenient_ms).max(f64::MIN_POSITIVE);
        if (share - self.applied_share).abs() > SHARE_HYSTERESIS {
            self.applied_share = share;
        }
    }

    /// Records the longest pause of a complete lenient stream, relative to the strict target.
    pub(crate) fn record_pause(&mut self, ratio: f64) {
        self.pause_ratio += match ratio > self.pause_ratio {
            true => QUANTILE_STEP * PAUSE_QUANTILE,
            false => -QUANTILE_STEP * (1.0 - PAUSE_QUANTILE),
        };
    }

    /// The available servers of one side, or all of them if the pool is too small to be partitioned.
    pub(crate) fn side(
        &self,
        now: Instant,
        backends: &SlotMap<BackendKey, Backend>,
        members: &[BackendKey],
        side: Side,
    ) -> Vec<BackendKey> {
        let available = members.iter().copied().filter(|it| backends[*it].is_available(now));
        let mut ranked: Vec<_> = available.collect();
        if ranked.len() < PARTITIONED_SERVERS_MIN {
            return ranked;
        }
        // All routers use the same ranking, so their partitions differ by a server or two at most.
        ranked.sort_by_cached_key(|it| mix(backends[*it].name_hash));
        let lenient = ranked.split_off(self.strict_count(ranked.len()));
        match side {
            Side::Strict => ranked,
            Side::Lenient => lenient,
        }
    }

    fn strict_count(&self, usable: usize) -> usize {
        let count =
            (self.applied_share * self.strict_servers_factor() * usable as f64).round() as usize;
        count.clamp(1, usable - 1)
    }

    fn strict_servers_factor(&self) -> f64 {
        let [short, long] = PAUSE_RATIOS;
        let [least, most] = STRICT_SERVERS_FACTORS;
        let weight = ((self.pause_ratio - short) / (long - short)).clamp(0.0, 1.0);
        least + (most - least) * weight
    }
}
