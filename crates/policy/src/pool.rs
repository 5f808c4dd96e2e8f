//! One pool: its servers, a queue for each class, and the order in which classes are dispatched.
//!
//! Classes are dispatched by priority, with a guaranteed share for each. Every dispatched token
//! adds to the deficit of each class with work, in proportion to its guaranteed share. A class
//! whose deficit covers its next request is dispatched first. It still yields to a more urgent
//! request that is close to its target, until its deficit covers the request twice.

use std::time::Instant;

use slotmap::SecondaryMap;

use crate::{
    class_queue::ClassQueue,
    estimate::Rate,
    keys::{BackendKey, ClassKey},
    pace::PaceTarget,
    partition::Partition,
    spec::{PoolSpec, WHOLE_PERMILLE},
    work_time::WorkTime,
};

/// A class with a deficit yields to urgent requests until the deficit is this multiple of the cost
/// of its next request.
pub(crate) const YIELD_DEFICIT_FACTOR: u64 = 2;

/// The state of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) spec: PoolSpec,
    /// Whether the pool is missing from the current revision of the tables.
    pub(crate) retired: bool,
    pub(crate) members: Vec<BackendKey>,
    pub(crate) queues: SecondaryMap<ClassKey, ClassQueue>,
    /// Queued requests of all classes.
    pub(crate) waiting: usize,
    pub(crate) throughput: Rate,
    /// The rate of requests offered.
    pub(crate) arrivals: Rate,
    pub(crate) median_gap_ms: Option<f64>,
    pub(crate) median_first_token_ms: Option<f64>,
    /// The target for which classes of lower priority are paced.
    pub(crate) pace_target: Option<PaceTarget>,
    pub(crate) next_server_comparison: Option<Instant>,
    /// The time since which the queue has not been empty.
    pub(crate) saturated_since: Option<Instant>,
    pub(crate) without_backend_since: Option<Instant>,
    /// When a server last answered a request of this router.
    pub(crate) last_answer: Option<Instant>,
    /// When a server last rejected a request of this router for want of room.
    pub(crate) last_rejection: Option<Instant>,
    /// Whether the last reported change was that no server can be reached.
    pub(crate) was_unreachable: bool,
    /// How long servers take for a request.
    pub(crate) work_time: WorkTime,
    /// The division of the servers by the target between tokens.
    pub(crate) partition: Partition,
}

/// Why a class is dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Turn {
    /// It is behind its guaranteed share; requests that start this way are not paused.
    Guaranteed,
    /// It is the most urgent class that can be dispatched.
    Priority,
}

/// A class with queued or paused requests, and the cost of its next request in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Contender {
    pub(crate) class: ClassKey,
    pub(crate) priority: u8,
    pub(crate) share_permille: u32,
    pub(crate) cost: u32,
    pub(crate) urgency: Urgency,
}

/// Whether a request is close to its first-token target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// It can wait until another request has been dispatched.
    Slack,
    /// It is likely to miss the target if another request is dispatched first.
    Pressing,
}

impl Pool {
    pub(crate) fn new(spec: PoolSpec) -> Self {
        Self {
            spec,
            retired: false,
            members: Vec::new(),
            queues: SecondaryMap::new(),
            waiting: 0,
            throughput: Rate::default(),
            arrivals: Rate::default(),
            median_gap_ms: None,
            median_first_token_ms: None,
            pace_target: None,
            next_server_comparison: None,
            saturated_since: None,
            without_backend_since: None,
            last_answer: None,
            last_rejection: None,
            was_unreachable: false,
            work_time: WorkTime::default(),
            partition: Partition::default(),
        }
    }

    /// The queue of a class, which is created on first use.
    pub(crate) fn queue(&mut self, class: ClassKey) -> &mut ClassQueue {
        if !self.queues.contains_key(class) {
            self.queues.insert(class, ClassQueue::default());
        }
        &mut self.queues[class]
    }

    /// The classes in the order in which they may take a slot; `contenders` are sorted by priority.
    pub(crate) fn dispatch_order(&self, contenders: &[Contender]) -> Vec<(Contender, Turn)> {
        let top = contenders.first();
        let mut order: Vec<_> = contenders
            .iter()
            .map(|it| {
                let yields = top.is_some_and(|top| {
                    top.priority > it.priority && top.urgency == Urgency::Pressing
                });
                (*it, self.turn_for(it, yields))
            })
            .collect();
        order.sort_by(|a, b| a.1.cmp(&b.1).then_with(|| self.compare(a, b)));
        order
    }

    /// Whether the deficit of the class is so large that it no longer yields to urgent requests.
    pub(crate) fn has_overriding_deficit(&self, class: ClassKey, cost: u32) -> bool {
        self.queues[class].deficit >= millitokens(cost.max(1)) * YIELD_DEFICIT_FACTOR
    }

    /// Updates the deficits of all contenders after a dispatch of `cost` tokens.
    pub(crate) fn charge(&mut self, contenders: &[Contender], class: ClassKey, cost: u32) {
        for it in contenders {
            let queue = &mut self.queues[it.class];
            queue.deficit += u64::from(cost) * u64::from(it.share_permille);
        }
        let queue = &mut self.queues[class];
        queue.deficit = queue.deficit.saturating_sub(millitokens(cost));
    }

    fn turn_for(&self, it: &Contender, yields: bool) -> Turn {
        let factor = if yields { YIELD_DEFICIT_FACTOR } else { 1 };
        let has_deficit = it.share_permille > 0
            && self.queues[it.class].deficit >= millitokens(it.cost.max(1)) * factor;
        if has_deficit { Turn::Guaranteed } else { Turn::Priority }
    }

    fn compare(&self, a: &(Contender, Turn), b: &(Contender, Turn)) -> std::cmp::Ordering {
        if a.1 == Turn::Guaranteed {
            return self.deficit_per_share(&b.0).total_cmp(&self.deficit_per_share(&a.0));
        }
        b.0.priority.cmp(&a.0.priority)
    }

    fn deficit_per_share(&self, it: &Contender) -> f64 {
        self.queues[it.class].deficit as f64 / f64::from(it.share_permille.max(1))
    }
}

fn millitokens(cost: u32) -> u64 {
    u64::from(cost) * u64::from(WHOLE_PERMILLE)
}
