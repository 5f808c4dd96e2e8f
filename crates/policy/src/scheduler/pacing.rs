//! Which classes leave slots empty for the strictest target between tokens in a pool.

use std::time::Instant;

use super::Scheduler;
use crate::{
    keys::{ClassKey, PoolKey},
    pace::{ACTIVE_FOR, Ceiling, Pace, PaceTarget},
    pool::Turn,
    settings::Pacing,
};

impl Scheduler {
    /// What a class goes by; what its share owes it is never held back, so that none starves.
    pub(super) fn ceiling(&self, pool: PoolKey, class: ClassKey, turn: Turn) -> Ceiling {
        let target = self.pools[pool].pace_target;
        let is_lower = target.is_some_and(|it| self.classes[class].spec.priority < it.priority);
        if is_lower && turn == Turn::Priority { Ceiling::Paced } else { Ceiling::Full }
    }

    /// Follows the gaps of the pool's servers; stragglers are left to their own rule.
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
            let slots = backend.limit(now, &self.settings);
            let target_ms = target.between_token_ms as f64;
            backend.pace.adjust(now, target_ms, backend.in_flight, slots);
        }
    }

    fn pace_target(&self, now: Instant, key: PoolKey) -> Option<PaceTarget> {
        let lanes = self.pools[key].lanes.iter();
        let active = lanes.filter(|(_, lane)| {
            let is_recent = lane.last_arrival.is_some_and(|it| now < it + ACTIVE_FOR);
            is_recent || !lane.running.is_empty()
        });
        let specs = active.map(|(class, _)| &self.classes[class].spec);
        let targets = specs.map(|it| PaceTarget {
            between_token_ms: it.between_token_target_ms,
            priority: it.priority,
        });
        targets.min()
    }
}
