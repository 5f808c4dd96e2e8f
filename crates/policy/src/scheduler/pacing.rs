//! Applies the paced limit to classes below the one with the strictest target between tokens.

use std::time::Instant;

use super::Scheduler;
use crate::{
    keys::{ClassKey, PoolKey},
    pace::{ACTIVE_FOR, Ceiling, Pace, PaceTarget},
    settings::Pacing,
};

impl Scheduler {
    /// The limit that applies to the next request of a class.
    ///
    /// A class that is behind its guaranteed share is first at the next slot below the paced limit.
    /// It exceeds this limit only once its deficit is so large that it no longer yields to urgent
    /// requests, which keeps it from starving.
    pub(super) fn ceiling(&self, pool: PoolKey, class: ClassKey, cost: u32) -> Ceiling {
        let pool = &self.pools[pool];
        let target = pool.pace_target;
        let is_lower = target.is_some_and(|it| self.classes[class].spec.priority < it.priority);
        if is_lower && !pool.has_overriding_deficit(class, cost) {
            Ceiling::Paced
        } else {
            Ceiling::Full
        }
    }

    /// Adjusts the paced limits of the pool's servers; stragglers have a limit of their own.
    pub(super) fn adjust_pace(&mut self, now: Instant, key: PoolKey) {
        if self.settings.pacing == Pacing::Off {
            return;
        }
        let target = self.pace_target(now, key);
        let pool = &mut self.pools[key];
        let changed = pool.pace_target != target;
        pool.pace_target = target;
        for member in &pool.members {
            let backend = &mut self.backends[*member];
            if changed || backend.is_straggler(&self.settings) {
                backend.pace = Pace::default();
                continue;
            }
            let Some(target) = target else { continue };
            let cap = backend.paced_limit(now, &self.settings);
            let target_ms = target.between_token_ms as f64;
            backend.pace.adjust(now, target_ms, backend.in_flight, cap);
        }
    }

    fn pace_target(&self, now: Instant, key: PoolKey) -> Option<PaceTarget> {
        let queues = self.pools[key].queues.iter();
        let active = queues.filter(|(_, queue)| {
            let is_recent = queue.last_arrival.is_some_and(|it| now < it + ACTIVE_FOR);
            is_recent || !queue.running.is_empty()
        });
        let specs = active.map(|(class, _)| &self.classes[class].spec);
        let targets = specs.map(|it| PaceTarget {
            between_token_ms: it.between_token_target_ms,
            priority: it.priority,
        });
        targets.min()
    }
}
