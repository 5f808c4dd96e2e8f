//! What a request costs on a server: the expected time to its first token and the delay that it causes to
//! others.
//!
//! In pools whose servers state how slow they are, times are based on that and on the reading speed that the
//! router has measured. Reading is expected at the server's present speed, streams at its lasting one. The delay
//! that reading causes to others does not depend on the server: otherwise the slots of slow servers would stay
//! empty in a full pool. It is computed with the reading speed of the settings, for which its weights were chosen:
//! with the measured one, a fast pool would leave servers that have cached a prefix for small gains.

use super::{Criteria, Selector, retain_unless_empty};
use crate::{keys::BackendKey, partition::Side, prompt::Prompt};

/// Weight of a prompt token to prefill relative to a token that is already queued, in an idle pool
/// and in a full one. Prefill delays the running and later requests of the server, and in a full
/// pool the requests of all other servers too.
const PREFILL_WEIGHTS: [f64; 2] = [5.0, 80.0];
/// Cost of one more running request for all streams of a server together, at 0.1 ms per step.
const BATCH_COST_MS: f64 = 8.0;
/// Cost of each request beyond the server's slots.
const OVER_SLOTS_COST_MS: f64 = 100.0;
/// A pool counts as full once this fraction of its slots is in use, as prompts queue by then.
const FULL_POOL_FRACTION: f64 = 0.5;
/// Cost of a server of the lenient side for a strict request.
const LENIENT_SERVER_COST_MS: f64 = 80.0;
/// Cost of a server of the strict side for a lenient request; it is high because a long prompt
/// stalls all strict streams of a server.
const STRICT_SERVER_COST_MS: f64 = 3_000.0;
/// Gain of using a permit for a server with a rate limit, which would expire unused. It outweighs the
/// prefill of a short prompt and not that of a long one.
const PERMIT_GAIN_MS: f64 = 100.0;
/// Cost of a new connection, for the request and for the server.
const CONNECT_COST_MS: f64 = 24.0;
/// The same for requests without a prompt, as a fraction of a server's slots.
const CONNECT_LOAD: f64 = 0.1;
/// Upper bound of the slowness factor, as gaps between tokens also differ by the running requests.
const SLOWNESS_MAX: f64 = 1.5;
/// A first-token target up to this is small: a long prompt that is read first would use up most of it.
const SMALL_TARGET_MAX_MS: f64 = 500.0;

impl Selector<'_> {
    /// The weight of a token to prefill, by the fraction of the pool's slots in use.
    pub(super) fn prefill_weight(&self) -> f64 {
        let usable = self.members.iter().map(|it| &self.backends[*it]).filter(|it| it.is_usable());
        let (mut used, mut slots) = (0.0, 0.0);
        for backend in usable {
            used += f64::from(backend.in_flight) + backend.other_routers_load(self.now).0;
            slots += f64::from(backend.slots());
        }
        let used_fraction = (used / f64::max(slots * FULL_POOL_FRACTION, 1.0)).min(1.0);
        let [idle, full] = PREFILL_WEIGHTS;
        idle + (full - idle) * used_fraction * used_fraction
    }

    /// The cost of a request on a server that has to prefill `tokens` for it, given their weight.
    pub(super) fn cost_ms(
        &self,
        key: BackendKey,
        tokens: f64,
        weight: f64,
        criteria: &Criteria<'_>,
    ) -> f64 {
        let backend = &self.backends[key];
        let (others, other_tokens) = backend.other_routers_load(self.now);
        let queued = backend.prefill_queue.tokens_ahead_of(criteria.priority) + other_tokens;
        let batch = f64::from(backend.in_flight) + others;
        let over = (batch - f64::from(backend.slots())).max(0.0);
        let batch_ms = batch * BATCH_COST_MS;
        let over_ms = over * OVER_SLOTS_COST_MS;
        let work_ms = match self.pool_speed {
            Some(speed) => {
                let slowness = self.slowness(key);
                let own_ms = (tokens + queued) / speed.prefill_tokens_per_ms;
                let caused_ms = tokens * (weight - 1.0) / self.settings.prefill_tokens_per_ms;
                own_ms * slowness.present + caused_ms + (batch_ms + over_ms) * slowness.lasting
            }
            None => {
                let prefill_ms = (tokens * weight + queued) / self.settings.prefill_tokens_per_ms;
                (prefill_ms + batch_ms + over_ms) * self.measured_slowness(key)
            }
        };
        let is_own = criteria.own_side.contains(&key);
        let partition_ms = match criteria.side {
            Some(Side::Strict) if !is_own => LENIENT_SERVER_COST_MS,
            Some(Side::Lenient) if !is_own => STRICT_SERVER_COST_MS,
            _ => 0.0,
        };
        let permit_ms = if self.is_limited(key) { PERMIT_GAIN_MS } else { 0.0 };
        let connect_ms = if self.has_connection(key) { 0.0 } else { CONNECT_COST_MS };
        work_ms + partition_ms - permit_ms + connect_ms
    }

    /// Retains the servers that are expected to meet the targets of a class with a small one, or all of them if
    /// none is.
    ///
    /// Every unread token counts, whatever its priority: a long prompt of a lower class is read
    /// in chunks between the tokens of a strict stream.
    pub(super) fn retain_in_time(
        &self,
        candidates: &mut Vec<BackendKey>,
        criteria: &Criteria<'_>,
        prompt: &Prompt,
        homes: &[BackendKey],
    ) {
        let Some(speed) = self.pool_speed else { return };
        if criteria.first_token_target_ms > SMALL_TARGET_MAX_MS {
            return;
        }
        retain_unless_empty(candidates, |it| {
            let tokens =
                f64::from(self.uncached_tokens(it, prompt, homes)) + self.unread_tokens(it);
            let present = self.slowness(it).present;
            let first_token_ms = tokens / speed.prefill_tokens_per_ms * present;
            let gap_ms = speed.gap_ms.unwrap_or(0.0) * present;
            first_token_ms <= criteria.first_token_target_ms && gap_ms <= criteria.gap_limit_ms
        });
    }

    /// The load of a server for a request without a prompt.
    pub(super) fn score(&self, key: BackendKey) -> f64 {
        if self.pool_speed.is_none() {
            return self.load(key) * self.backends[key].slowness.max(1.0);
        }
        // The request itself counts, so that of two idle servers the faster one is used.
        let own_load = 1.0 / f64::from(self.backends[key].slots().max(1));
        (self.load(key) + own_load) * self.slowness(key).present
    }

    /// The load of a server, which weighs more at one that is slow in the long run.
    pub(super) fn weighted_load(&self, key: BackendKey) -> f64 {
        match self.pool_speed {
            Some(_) => self.load(key) * self.slowness(key).lasting,
            None => self.load(key),
        }
    }

    pub(super) fn connect_load(&self, key: BackendKey) -> f64 {
        if self.has_connection(key) { 0.0 } else { CONNECT_LOAD }
    }

    /// Prompt tokens of all routers that a server has not read.
    fn unread_tokens(&self, key: BackendKey) -> f64 {
        let backend = &self.backends[key];
        backend.prefill_queue.tokens() as f64 + backend.other_routers_load(self.now).1
    }

    /// How long work takes at a server; by measured gaps if it has stated nothing yet.
    fn slowness(&self, key: BackendKey) -> Slowness {
        let stated = &self.backends[key].stated_slowness;
        if !stated.is_known() {
            let measured = self.measured_slowness(key);
            return Slowness { present: measured, lasting: measured };
        }
        Slowness { present: stated.present(self.now), lasting: stated.lasting(self.now) }
    }

    fn measured_slowness(&self, key: BackendKey) -> f64 {
        self.backends[key].slowness.clamp(1.0, SLOWNESS_MAX)
    }
}

/// How long work takes at a server, as multiples of the usual time.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    present: f64,
    lasting: f64,
}
