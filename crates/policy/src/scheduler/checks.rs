//! Periodic checks: straggler detection, probes and wakeups; counts for metrics and logs.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::{
    keys::{BackendKey, ClassKey, PoolKey, Ticket},
    prompt::Prompt,
    request::{PlacementEstimate, Preemption},
};

const COMPARISON_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of wakeups while requests are queued, running or paused.
const BUSY_WAKEUP: Duration = Duration::from_millis(25);
/// A straggler that has been idle for this time gets requests again, by a slow start.
const STRAGGLER_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The number of requests of one class in one pool by state, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassCounts {
    /// Queued requests.
    pub waiting: usize,
    /// Requests that hold a slot.
    pub running: usize,
    /// The part of `running` that was started by the guaranteed share and is never paused.
    pub guaranteed: usize,
    /// Paused streams.
    pub paused: usize,
}

/// The state on which admission of a class in a pool is based, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueSnapshot {
    /// Queued requests of the class.
    pub waiting: usize,
    /// Expected tokens of the queued requests of the class and of more urgent ones.
    pub tokens_ahead: u64,
    /// Servers that accept requests.
    pub usable_servers: usize,
    /// Slots that this router may fill.
    pub free_slots: u32,
    /// The rate at which the queue is expected to drain, if known.
    pub tokens_per_second: Option<f64>,
    /// The expected time until the queue has drained, if known.
    pub wait: Option<Duration>,
}

impl Scheduler {
    /// The current state on which admission of the class in the pool is based.
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
        let free_slots = members.map(|it| it.free_slots(now, &self.settings)).sum();
        QueueSnapshot {
            waiting: self.class_counts(class, pool).waiting,
            tokens_ahead: self.tokens_ahead(class, pool),
            usable_servers,
            free_slots,
            tokens_per_second: self.tokens_per_second(now, pool),
            wait: self.drain_time(now, class, pool, 0),
        }
    }

    /// When [`Self::poll`] must be called even if no event occurs.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let timers = [&self.dispatch_deadlines, &self.delayed, &self.hedges];
        let first = timers.into_iter().filter_map(|it| it.first().map(|it| it.0)).min();
        let probe = self.backends.values().filter_map(|it| it.probe_due()).min();
        let is_busy = self.pools.values().any(|it| it.waiting > 0 || !it.is_idle());
        let recheck = is_busy.then(|| now + BUSY_WAKEUP);
        [first, probe, recheck].into_iter().flatten().min()
    }

    /// The current counts of a class in a pool.
    pub fn class_counts(&self, class: ClassKey, pool: PoolKey) -> ClassCounts {
        let Some(queue) = self.pools.get(pool).and_then(|it| it.queues.get(class)) else {
            return ClassCounts::default();
        };
        let running = queue.running.iter().map(|it| &self.requests[*it]);
        ClassCounts {
            waiting: queue.waiting,
            running: queue.running.len(),
            guaranteed: running.filter(|it| it.preemption == Preemption::Protected).count(),
            paused: queue.paused.len(),
        }
    }

    /// What was known about the server of the current attempt when it was selected; `None` if the
    /// request has no attempt or its prompt is unknown.
    pub fn placement_estimate(&self, ticket: Ticket) -> Option<PlacementEstimate> {
        self.requests.get(ticket)?.attempt()?.estimate
    }

    /// The structure of the request's prompt, if it is known.
    pub fn prompt(&self, ticket: Ticket) -> Option<&Prompt> {
        self.requests.get(ticket)?;
        self.prompts.get(ticket)
    }

    /// The number of requests that this router has in flight at a server.
    pub fn in_flight(&self, backend: BackendKey) -> u32 {
        self.backends.get(backend).map_or(0, |it| it.in_flight)
    }

    /// Whether a server is so much slower than the other servers of its pool that it gets few
    /// requests.
    pub fn is_straggler(&self, backend: BackendKey) -> bool {
        self.backends.get(backend).is_some_and(|it| it.is_straggler(&self.settings))
    }

    pub(super) fn run_checks(&mut self, now: Instant) {
        let pools: Vec<_> = self.pools.keys().collect();
        for pool in pools {
            self.compare_servers(now, pool);
        }
        for (backend, entry) in &mut self.backends {
            if entry.probe_due().is_some_and(|it| it <= now) {
                entry.next_probe = Some(now + self.settings.probe_interval);
                // A probe is a request too.
                if entry.limit.as_mut().is_none_or(|it| it.take(now)) {
                    self.actions.push(Action::Probe { backend });
                }
            }
        }
    }

    fn compare_servers(&mut self, now: Instant, key: PoolKey) {
        let pool = &mut self.pools[key];
        if pool.next_server_comparison.is_some_and(|it| it > now) {
            return;
        }
        pool.next_server_comparison = Some(now + COMPARISON_INTERVAL);
        self.update_stalls(now, key);
        let members = self.pools[key].members.clone();
        let usable = members.iter().filter(|it| self.backends[**it].is_usable());
        let usable: Vec<_> = usable.copied().collect();
        let gaps = usable.iter().filter_map(|it| self.backends[*it].gap_ms.value());
        let median_gap_ms = median(gaps.collect());
        let gaps_with_stall = usable.iter().filter_map(|it| self.backends[*it].gap_with_stall_ms());
        let median_gap_with_stall_ms = median(gaps_with_stall.collect());
        let first_token_times =
            usable.iter().filter_map(|it| self.backends[*it].first_token_ms.value());
        let median_first_token_ms = median(first_token_times.collect());
        for it in usable {
            self.update_slowness(now, it, median_gap_with_stall_ms, median_first_token_ms);
        }
        let pool = &mut self.pools[key];
        pool.median_gap_ms = median_gap_ms;
        pool.median_first_token_ms = median_first_token_ms;
        self.adjust_pace(now, key);
    }

    /// Updates for each server the time since the last token of any of its streams.
    fn update_stalls(&mut self, now: Instant, key: PoolKey) {
        let pool = &self.pools[key];
        for it in &pool.members {
            self.backends[*it].stall_ms = None;
        }
        for ticket in pool.queues.values().flat_map(|it| it.running.iter()) {
            let Some(attempt) = self.requests[*ticket].attempt() else { continue };
            if attempt.tokens == 0 {
                continue;
            }
            let since_ms = now.saturating_duration_since(attempt.last_token_at).as_secs_f64() * 1e3;
            let backend = &mut self.backends[attempt.backend];
            backend.stall_ms = Some(backend.stall_ms.map_or(since_ms, |it| it.min(since_ms)));
        }
    }

    /// Compares a server with the medians of its pool, and retries a straggler that is idle.
    fn update_slowness(
        &mut self,
        now: Instant,
        key: BackendKey,
        median_gap_ms: Option<f64>,
        median_first_token_ms: Option<f64>,
    ) {
        let settings = &self.settings;
        let backend = &mut self.backends[key];
        let gaps = backend.gap_with_stall_ms().zip(median_gap_ms);
        let first_tokens = backend.first_token_ms.value().zip(median_first_token_ms);
        let (own_ms, median_ms) = gaps.or(first_tokens).unwrap_or((1.0, 1.0));
        backend.compare(own_ms, median_ms);
        let idle_since = backend.last_gap.unwrap_or(now);
        let is_idle = backend.in_flight == 0 && now >= idle_since + STRAGGLER_RETRY_AFTER;
        if backend.is_straggler(settings) && is_idle {
            backend.reset_speed();
            backend.slow_start_since = Some(now);
        }
    }
}

/// The lower median, so that of two servers the faster one is the reference.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

impl crate::pool::Pool {
    fn is_idle(&self) -> bool {
        self.queues.values().all(|it| it.running.is_empty() && it.paused.is_empty())
    }
}
