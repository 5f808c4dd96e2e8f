//! The crashes of a pool's servers, by which a cause is told from a coincidence.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::quarantine::CrashSite;

/// Crashes that become known within this time of one another count as simultaneous: they are found
/// out by broken connections and a probe.
const SIMULTANEOUS: Duration = Duration::from_millis(500);
/// The largest number of crashes that are remembered; beyond it, the oldest is forgotten.
const CRASHES_MAX: usize = 1_024;

/// Whether a request is known to run without crashing its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// It is not known to have completed.
    None,
    /// It has completed before.
    Completed,
}

impl Proof {
    /// The proof for a request that last completed at the given time, as far as known.
    #[must_use]
    pub fn of(completed_at: Option<Instant>) -> Proof {
        completed_at.map_or(Proof::None, |_| Proof::Completed)
    }
}

/// The numbers of crashes after which a request is refused.
#[derive(Debug, Clone, Copy)]
struct CrashLimits {
    /// Of those that count against it.
    attributed: usize,
    /// Of all: two requests that crash servers at the same time hide one another.
    total: usize,
}

impl CrashLimits {
    const fn of(proof: Proof) -> CrashLimits {
        match proof {
            Proof::None => CrashLimits { attributed: 2, total: 3 },
            Proof::Completed => CrashLimits { attributed: 3, total: 6 },
        }
    }
}

/// The crashes that are known, with the time when each became known.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<CrashSite, Instant>,
}

impl CrashLog {
    /// Records a crash, unless it is known.
    pub fn record(&mut self, now: Instant, site: CrashSite) {
        if self.crashes.len() >= CRASHES_MAX && !self.crashes.contains_key(&site) {
            let oldest = self.crashes.iter().min_by_key(|it| it.1).map(|it| *it.0);
            oldest.map(|it| self.crashes.remove(&it));
        }
        self.crashes.entry(site).or_insert(now);
    }

    /// When a crash became known; `None` if it is unknown or forgotten.
    #[must_use]
    pub fn recorded_at(&self, site: CrashSite) -> Option<Instant> {
        self.crashes.get(&site).copied()
    }

    /// When the latest crash became known.
    #[must_use]
    pub fn latest(&self) -> Option<Instant> {
        self.crashes.values().max().copied()
    }

    /// The crashes that became known from `first` to `last`.
    pub(crate) fn between(
        &self,
        first: Instant,
        last: Instant,
    ) -> impl Iterator<Item = (CrashSite, Instant)> {
        let crashes = self.crashes.iter().map(|it| (*it.0, *it.1));
        crashes.filter(move |it| (first..=last).contains(&it.1))
    }

    /// The number of further crashes after which a request is refused that ran on the servers of
    /// `sites` when they crashed.
    #[must_use]
    pub fn crashes_left(&self, sites: &[CrashSite], proof: Proof) -> usize {
        let limits = CrashLimits::of(proof);
        let attributed_left = limits.attributed.saturating_sub(self.count(sites));
        attributed_left.min(limits.total.saturating_sub(sites.len()))
    }

    /// Whether a request is refused whatever other requests were on the same servers.
    #[must_use]
    pub fn is_certain(&self, sites: &[CrashSite], proof: Proof) -> bool {
        sites.len() >= CrashLimits::of(proof).total
    }

    /// Whether other servers crashed at the time of a crash in `sites`.
    #[must_use]
    pub fn has_others_near(&self, sites: &[CrashSite]) -> bool {
        let own = sites.iter().filter_map(|it| self.crashes.get(it));
        let others = || self.crashes.iter().filter(|it| !sites.contains(it.0)).map(|it| *it.1);
        own.into_iter().any(|at| others().any(|other| is_simultaneous(*at, other)))
    }

    /// The number of crashes that count against a request that ran on all the servers of `sites`.
    ///
    /// Servers that fail together have a common cause. So of simultaneous crashes, those on which
    /// the request ran count only if they are the majority: a request that crashes each server that
    /// runs it was on all of them, one that was on a server by chance was on few.
    fn count(&self, sites: &[CrashSite]) -> usize {
        sites.iter().filter(|it| self.is_attributable(**it, sites)).count()
    }

    fn is_attributable(&self, site: CrashSite, sites: &[CrashSite]) -> bool {
        self.is_on_most_near(site, sites, &BTreeSet::new())
    }

    /// Whether what was on the crashed servers of `sites` was on most servers that crashed at the
    /// time of `site`, not counting those whose cause is known.
    pub(crate) fn is_on_most_near(
        &self,
        site: CrashSite,
        sites: &[CrashSite],
        explained: &BTreeSet<CrashSite>,
    ) -> bool {
        let Some(at) = self.crashes.get(&site) else { return true };
        let near =
            |it: &CrashSite, other: Instant| is_simultaneous(*at, other) && !explained.contains(it);
        let simultaneous = self.crashes.iter().filter(|it| near(it.0, *it.1)).count();
        let own = sites.iter().filter_map(|it| Some((it, *self.crashes.get(it)?)));
        2 * own.filter(|it| near(it.0, it.1)).count() > simultaneous
    }
}

/// The number of moments at which servers crashed, by the times of the crashes. Servers that fail
/// together have a common cause, so simultaneous crashes count as one.
pub(crate) fn count_moments(mut times: Vec<Instant>) -> usize {
    times.sort();
    let (mut count, mut last) = (0, None);
    for time in times {
        if last.is_none_or(|it| !is_simultaneous(it, time)) {
            count += 1;
            last = Some(time);
        }
    }
    count
}

fn is_simultaneous(one: Instant, other: Instant) -> bool {
    one.max(other).saturating_duration_since(one.min(other)) <= SIMULTANEOUS
}
