//! The speed of servers that state how slow they are.

use std::time::Instant;

use super::Scheduler;
use crate::{
    keys::{BackendKey, PoolKey, Ticket},
    prompt::Prompt,
    reading_speed::{QUEUED_PART_MAX, SAMPLE_TOKENS_MIN},
    request::{Attempt, PlacementEstimate},
    selection::PoolSpeed,
};

/// The percentage of a server that works as fast as usual.
const USUAL_PERCENT: f64 = 100.0;
/// The rank of the home server that is assumed to have cached a part of the prefix only.
const UNCERTAIN_HOME_RANK: usize = 2;

impl Scheduler {
    /// What is known of the speed of a pool; `None` if no server of it has stated how slow it is. Servers
    /// are then selected as if all were equally fast.
    pub(super) fn pool_speed(&self, pool: PoolKey) -> Option<PoolSpeed> {
        let pool = &self.pools[pool];
        let mut members = pool.members.iter();
        let is_stated = members.any(|it| self.backends[*it].stated_slowness.is_known());
        is_stated.then(|| PoolSpeed {
            prefill_tokens_per_ms: pool
                .reading_speed
                .tokens_per_ms(self.settings.prefill_tokens_per_ms),
            gap_ms: pool.median_gap_ms,
        })
    }

    /// How long work takes at a server at this moment, in percent of the usual time; `None` if it has
    /// not stated it.
    pub fn slowness_percent(&self, now: Instant, backend: BackendKey) -> Option<u32> {
        let stated = self.backends.get(backend)?.stated_slowness;
        stated.is_known().then(|| (stated.present(now) * USUAL_PERCENT).round() as u32)
    }

    /// The slowness of the server of the current attempt when it was selected.
    pub fn attempt_slowness_percent(&self, ticket: Ticket) -> Option<u32> {
        self.requests.get(ticket)?.attempt()?.slowness_percent
    }

    /// Prompt tokens that servers of a pool read in a millisecond when work takes as long as usual.
    pub fn prefill_tokens_per_ms(&self, pool: PoolKey) -> f64 {
        self.pool_speed(pool)
            .map_or(self.settings.prefill_tokens_per_ms, |it| it.prefill_tokens_per_ms)
    }

    /// Whether the time to the first token will tell how fast the server reads: what it has to read is
    /// known, and hardly anything is read before it.
    pub(super) fn is_speed_sample(
        &self,
        now: Instant,
        backend: BackendKey,
        prompt: &Prompt,
        estimate: &PlacementEstimate,
    ) -> bool {
        let is_known = self.recent_prefixes.contains(now, prompt, backend)
            || estimate.home_rank != Some(UNCERTAIN_HOME_RANK);
        let queued_max = f64::from(estimate.prefill_tokens) * QUEUED_PART_MAX;
        is_known
            && estimate.prefill_tokens >= SAMPLE_TOKENS_MIN
            && estimate.queued_tokens as f64 <= queued_max
            && estimate.server_requests < self.backends[backend].slots()
    }

    /// Learns from the time to the first token of an attempt that has none yet.
    pub(super) fn record_reading_speed(&mut self, now: Instant, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else { return };
        let Some(attempt) = request.attempt().filter(|it| it.first_token_at.is_none()) else {
            return;
        };
        let Attempt { backend, is_speed_sample: true, estimate: Some(estimate), .. } = attempt
        else {
            return;
        };
        let stated = self.backends[backend].stated_slowness;
        if stated.is_known() {
            let time = now.saturating_duration_since(attempt.sent_at);
            let speed = &mut self.pools[request.offer.pool].reading_speed;
            speed.add(estimate.prefill_tokens, time, stated.present(now));
        }
    }
}
