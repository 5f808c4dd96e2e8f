//! Regular checks: stragglers against their peers, probes, wakeups, and figures for metrics.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::{
    keys::{BackendKey, ClassKey, PoolKey},
    request::Standing,
};

const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const WAITING_WAKEUP: Duration = Duration::from_millis(25);
/// A straggler without work for this time is tried again by a slow start.
const STRAGGLER_RETRY: Duration = Duration::from_secs(10);

/// What metrics show of one class in one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassCounts {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that hold a slot.
    pub running: usize,
    /// Of these, the ones that the class's guaranteed share started; they are not paused.
    pub guaranteed: usize,
    /// Streams that are paused.
    pub paused: usize,
}

/// What a decision about a class in a pool goes by, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueSnapshot {
    /// Requests of the class that wait.
    pub waiting: usize,
    /// Expected tokens of what waits in the class and in more urgent ones.
    pub tokens_ahead: u64,
    /// Servers that get work.
    pub usable_servers: usize,
    /// Slots that are free for this router.
    pub free_slots: u32,
    /// The rate at which the queue is taken to drain, once it is known.
    pub tokens_per_second: Option<f64>,
    /// The expected wait of a request without tokens, once it is known.
    pub wait: Option<Duration>,
}

impl Scheduler {
    /// What a decision about the class goes by now.
    pub fn queue_snapshot(
        &mut self,
        now: Instant,
        class: ClassKey,
        pool: PoolKey,
    ) -> QueueSnapshot {
        if self.pools.get(pool).is_none() || self.classes.get(class).is_none() {
            return QueueSnapshot::default();
        }
        let members = self.pools[pool].members.iter().map(|it| &self.backends[*it]);
        let usable_servers = members.clone().filter(|it| it.is_usable()).count();
        let free_slots = members.map(|it| it.free(now, &self.settings)).sum();
        QueueSnapshot {
            waiting: self.class_counts(class, pool).waiting,
            tokens_ahead: self.tokens_ahead(class, pool),
            usable_servers,
            free_slots,
            tokens_per_second: self.tokens_per_second(now, pool),
            wait: self.drain_time(now, class, pool, 0),
        }
    }

    /// When [`Self::poll`] has work even if no event comes.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let timers = [&self.give_ups, &self.delayed, &self.hedges];
        let first = timers.into_iter().filter_map(|it| it.first().map(|it| it.0)).min();
        let probe = self.backends.values().filter_map(|it| it.probe_due()).min();
        let busy = self.pools.values().any(|it| it.waiting > 0 || !it.is_idle());
        let check = busy.then(|| now + WAITING_WAKEUP);
        [first, probe, check].into_iter().flatten().min()
    }

    /// The present counts of a class in a pool.
    pub fn class_counts(&self, class: ClassKey, pool: PoolKey) -> ClassCounts {
        let Some(lane) = self.pools.get(pool).and_then(|it| it.lanes.get(class)) else {
            return ClassCounts::default();
        };
        let running = lane.running.iter().map(|it| &self.requests[*it]);
        ClassCounts {
            waiting: lane.waiting,
            running: lane.running.len(),
            guaranteed: running.filter(|it| it.standing == Standing::Protected).count(),
            paused: lane.paused.len(),
        }
    }

    /// Requests of this router in flight at a server.
    pub fn in_flight(&self, backend: BackendKey) -> u32 {
        self.backends.get(backend).map_or(0, |it| it.in_flight)
    }

    /// Whether a server is so much slower than its peers that it gets hardly any work.
    pub fn is_straggler(&self, backend: BackendKey) -> bool {
        self.backends.get(backend).is_some_and(|it| it.is_straggler(&self.settings))
    }

    pub(super) fn watch(&mut self, now: Instant) {
        let pools: Vec<_> = self.pools.keys().collect();
        for pool in pools {
            self.check_peers(now, pool);
        }
        for (backend, entry) in &mut self.backends {
            if entry.probe_due().is_some_and(|it| it <= now) {
                entry.next_probe = Some(now + self.settings.probe_interval);
                self.actions.push(Action::Probe { backend });
            }
        }
    }

    fn check_peers(&mut self, now: Instant, key: PoolKey) {
        let pool = &mut self.pools[key];
        if pool.next_peer_check.is_some_and(|it| it > now) {
            return;
        }
        pool.next_peer_check = Some(now + PEER_CHECK_INTERVAL);
        self.note_stalls(now, key);
        let members = self.pools[key].members.clone();
        let up = members.iter().filter(|it| self.backends[**it].is_usable());
        let up: Vec<_> = up.copied().collect();
        let gaps = up.iter().filter_map(|it| self.backends[*it].gap_ms.value());
        let median_gap_ms = median(gaps.collect());
        let stalls = up.iter().filter_map(|it| self.backends[*it].gap_with_stall_ms());
        let median_stall_ms = median(stalls.collect());
        let firsts = up.iter().filter_map(|it| self.backends[*it].first_token_ms.value());
        let median_first_token_ms = median(firsts.collect());
        for it in up {
            self.compare(now, it, median_stall_ms, median_first_token_ms);
        }
        let pool = &mut self.pools[key];
        pool.median_gap_ms = median_gap_ms;
        pool.median_first_token_ms = median_first_token_ms;
        self.adjust_pace(now, key);
    }

    /// Notes for each server how long all of its streams have been without a token.
    fn note_stalls(&mut self, now: Instant, key: PoolKey) {
        let pool = &self.pools[key];
        for it in &pool.members {
            self.backends[*it].stall_ms = None;
        }
        for ticket in pool.lanes.values().flat_map(|it| it.running.iter()) {
            let Some(run) = self.requests[*ticket].run() else { continue };
            if run.tokens == 0 {
                continue;
            }
            let since_ms = now.saturating_duration_since(run.last).as_secs_f64() * 1e3;
            let backend = &mut self.backends[run.backend];
            backend.stall_ms = Some(backend.stall_ms.map_or(since_ms, |it| it.min(since_ms)));
        }
    }

    fn compare(&mut self, now: Instant, key: BackendKey, gap: Option<f64>, first: Option<f64>) {
        let settings = &self.settings;
        let backend = &mut self.backends[key];
        let by_gap = ratio(backend.gap_with_stall_ms(), gap);
        let by_first = ratio(backend.first_token_ms.value(), first);
        backend.slowness = match by_gap {
            Some(it) => it,
            None => by_first.unwrap_or(1.0),
        };
        let idle_since = backend.last_gap.unwrap_or(now);
        let is_idle = backend.in_flight == 0 && now >= idle_since + STRAGGLER_RETRY;
        if backend.is_straggler(settings) && is_idle {
            backend.forget_speed();
            backend.ramp_from = Some(now);
        }
    }
}

fn ratio(own: Option<f64>, median: Option<f64>) -> Option<f64> {
    Some(own? / median?.max(0.001))
}

/// The lower median, so that of two servers the faster one is the norm.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

impl crate::pool::Pool {
    fn is_idle(&self) -> bool {
        self.lanes.values().all(|it| it.running.is_empty() && it.paused.is_empty())
    }
}
