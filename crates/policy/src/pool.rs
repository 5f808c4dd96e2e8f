//! One pool: its servers, a lane for each class, and which class is next.
//!
//! Classes go by priority. Beside that, each token that is dispatched adds to every waiting
//! class's account in proportion to its guaranteed share; a class whose account covers its next
//! request is due and goes first. A due class yields to an urgent request that is close to its
//! target, until its account covers the request twice.

use std::time::Instant;

use slotmap::SecondaryMap;

use crate::{
    estimate::Rate,
    keys::{BackendKey, ClassKey},
    lane::Lane,
    pace::PaceTarget,
    partition::Partition,
    spec::{PoolSpec, WHOLE_PERMILLE},
};

/// A due class yields to urgent work until it is owed this many times its next request.
pub(crate) const YIELD_FACTOR: u64 = 2;

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) spec: PoolSpec,
    pub(crate) retired: bool,
    pub(crate) members: Vec<BackendKey>,
    pub(crate) lanes: SecondaryMap<ClassKey, Lane>,
    pub(crate) waiting: usize,
    pub(crate) drained: Rate,
    pub(crate) median_gap_ms: Option<f64>,
    pub(crate) median_first_token_ms: Option<f64>,
    /// What lower classes are held back for.
    pub(crate) pace_target: Option<PaceTarget>,
    pub(crate) next_peer_check: Option<Instant>,
    /// Since when requests have waited without a break.
    pub(crate) saturated_since: Option<Instant>,
    pub(crate) without_backend_since: Option<Instant>,
    /// Which engines are for streams with a strict target between tokens.
    pub(crate) partition: Partition,
}

/// Why a class is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Turn {
    /// By its guaranteed share; what it starts is not paused.
    Guaranteed,
    /// By its priority.
    Priority,
}

/// A class with work and what its next request costs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Contender {
    pub(crate) class: ClassKey,
    pub(crate) priority: u8,
    pub(crate) share_permille: u32,
    pub(crate) cost: u32,
    pub(crate) urgency: Urgency,
}

/// Whether a request is close to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// There is slack left.
    Slack,
    /// Another turn's wait would cost the target.
    Pressing,
}

impl Pool {
    pub(crate) fn new(spec: PoolSpec) -> Self {
        Self {
            spec,
            retired: false,
            members: Vec::new(),
            lanes: SecondaryMap::new(),
            waiting: 0,
            drained: Rate::default(),
            median_gap_ms: None,
            median_first_token_ms: None,
            pace_target: None,
            next_peer_check: None,
            saturated_since: None,
            without_backend_since: None,
            partition: Partition::default(),
        }
    }

    pub(crate) fn lane(&mut self, class: ClassKey) -> &mut Lane {
        if !self.lanes.contains_key(class) {
            self.lanes.insert(class, Lane::default());
        }
        &mut self.lanes[class]
    }

    /// The classes in the order in which they may take a slot; `contenders` go by priority.
    pub(crate) fn turns(&self, contenders: &[Contender]) -> Vec<(Contender, Turn)> {
        let top = contenders.first();
        let mut turns: Vec<_> = contenders
            .iter()
            .map(|it| {
                let yields = top.is_some_and(|top| {
                    top.priority > it.priority && top.urgency == Urgency::Pressing
                });
                (*it, self.turn_of(it, yields))
            })
            .collect();
        turns.sort_by(|a, b| a.1.cmp(&b.1).then_with(|| self.compare(a, b)));
        turns
    }

    /// Whether the class is owed so much that it yields to nothing.
    pub(crate) fn is_overdue(&self, class: ClassKey, cost: u32) -> bool {
        self.lanes[class].owed >= scaled(cost.max(1)) * YIELD_FACTOR
    }

    /// Books a dispatch of `cost` tokens on the accounts of all contenders.
    pub(crate) fn book(&mut self, contenders: &[Contender], class: ClassKey, cost: u32) {
        for it in contenders {
            let lane = &mut self.lanes[it.class];
            lane.owed += u64::from(cost) * u64::from(it.share_permille);
        }
        let lane = &mut self.lanes[class];
        lane.owed = lane.owed.saturating_sub(scaled(cost));
    }

    fn turn_of(&self, it: &Contender, yields: bool) -> Turn {
        let factor = if yields { YIELD_FACTOR } else { 1 };
        let is_due =
            it.share_permille > 0 && self.lanes[it.class].owed >= scaled(it.cost.max(1)) * factor;
        if is_due { Turn::Guaranteed } else { Turn::Priority }
    }

    fn compare(&self, a: &(Contender, Turn), b: &(Contender, Turn)) -> std::cmp::Ordering {
        if a.1 == Turn::Guaranteed {
            return self.overdue(&b.0).total_cmp(&self.overdue(&a.0));
        }
        b.0.priority.cmp(&a.0.priority)
    }

    fn overdue(&self, it: &Contender) -> f64 {
        self.lanes[it.class].owed as f64 / f64::from(it.share_permille.max(1))
    }
}

fn scaled(cost: u32) -> u64 {
    u64::from(cost) * u64::from(WHOLE_PERMILLE)
}
