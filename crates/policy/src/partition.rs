//! Partitions a pool's servers between streams with a strict target between tokens and all others.
//!
//! An engine prefills prompts in chunks between decode steps. While it prefills long prompts, the
//! gap between the tokens of all its streams is as long as a chunk. Streams of the strictest class
//! therefore get their own servers. The partition is a preference: requests whose own side is busy use the
//! other one. If the pauses there are too long for them, they get more servers of their own.
//!
//! The homes of shared prompts depend on the partition, so all routers need the same one: it follows from the
//! pauses that all of them have measured.

use std::{ops::AddAssign, time::Instant};

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::{backend::Backend, keys::BackendKey, selection::mix};

/// A side of the partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The class with the strictest target between tokens.
    Strict,
    /// All other classes.
    Lenient,
}

/// The part of the servers that strict streams get if the lenient side has short pauses, and if it has long
/// ones.
const STRICT_PARTS: [f64; 2] = [0.16, 0.28];
/// Pauses of the lenient side that count as short and as long, relative to the strict target.
const PAUSE_RATIOS: [f64; 2] = [0.9, 1.1];
/// Of the longest pauses of the streams, the quantile that is compared.
const PAUSE_QUANTILE: f64 = 0.9;
/// The part of the strict target by which the estimate of that quantile moves with each stream.
const QUANTILE_STEP: f64 = 0.03;

/// Pools with fewer servers are not partitioned.
const PARTITIONED_SERVERS_MIN: usize = 4;

/// The long pauses of lenient streams relative to the strict target, as routers have measured them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MeasuredPauses {
    /// The routers that have measured any.
    pub routers: u32,
    /// The sum of what they have measured.
    pub ratios_permille: u64,
}

impl AddAssign for MeasuredPauses {
    fn add_assign(&mut self, other: MeasuredPauses) {
        self.routers = self.routers.saturating_add(other.routers);
        self.ratios_permille = self.ratios_permille.saturating_add(other.ratios_permille);
    }
}

impl MeasuredPauses {
    fn mean_ratio(self) -> Option<f64> {
        (self.routers > 0).then(|| self.ratios_permille as f64 / 1e3 / f64::from(self.routers))
    }
}

/// How the servers of a pool are divided between both sides.
#[derive(Debug)]
pub(crate) struct Partition {
    /// The long pauses of lenient streams, relative to the strict target.
    pause_ratio: f64,
    /// Whether this router has measured any.
    has_measured: bool,
    /// The mean of all routers, once it is known.
    common_ratio: Option<f64>,
}

impl Default for Partition {
    fn default() -> Self {
        Partition { pause_ratio: PAUSE_RATIOS[0], has_measured: false, common_ratio: None }
    }
}

impl Partition {
    /// What this router has measured.
    pub(crate) fn own_pauses(&self) -> MeasuredPauses {
        match self.has_measured {
            true => MeasuredPauses {
                routers: 1,
                ratios_permille: (self.pause_ratio.max(0.0) * 1e3) as u64,
            },
            false => MeasuredPauses::default(),
        }
    }

    /// Sets what all routers have measured, on which the partition is based from now on.
    pub(crate) fn set_common_pauses(&mut self, pauses: MeasuredPauses) {
        self.common_ratio = pauses.mean_ratio().or(self.common_ratio);
    }

    /// Records the longest pause of a complete lenient stream, relative to the strict target.
    pub(crate) fn record_pause(&mut self, ratio: f64) {
        self.has_measured = true;
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
        // All routers use the same ranking, so with the same pauses they have the same partition.
        ranked.sort_by_cached_key(|it| mix(backends[*it].name_hash));
        let lenient = ranked.split_off(self.strict_count(ranked.len()));
        match side {
            Side::Strict => ranked,
            Side::Lenient => lenient,
        }
    }

    fn strict_count(&self, usable: usize) -> usize {
        let count = (self.strict_part() * usable as f64).round() as usize;
        count.clamp(1, usable - 1)
    }

    fn strict_part(&self) -> f64 {
        let [short, long] = PAUSE_RATIOS;
        let [least, most] = STRICT_PARTS;
        let pause_ratio = self.common_ratio.unwrap_or(self.pause_ratio);
        least + (most - least) * ((pause_ratio - short) / (long - short)).clamp(0.0, 1.0)
    }
}
