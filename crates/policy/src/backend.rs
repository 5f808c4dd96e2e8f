//! The scheduler's state of one backend server: health, capacity and speed.

use std::{
    collections::BTreeMap,
    ops::AddAssign,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    estimate::Ewma,
    failing::FailureRecord,
    kept_connections::KeptConnections,
    keys::PoolKey,
    pace::{Ceiling, Pace},
    path_proof::PathProof,
    rate_limit::ServerLimit,
    scheduler::DownReport,
    selection::mix,
    settings::{OtherLoad, Settings},
    software::VersionHash,
};

const GAP_EWMA_WEIGHT: f64 = 0.1;
/// A sample counts as at most this multiple of the mean, so that a single pause of the router does
/// not make the server look slow.
const GAP_SAMPLE_MAX_FACTOR: f64 = 8.0;
const FIRST_TOKEN_EWMA_WEIGHT: f64 = 0.2;
const SLOW_START_MIN_FRACTION: f64 = 0.1;
/// Shorter times count as this when a straggler is looked for: they differ by the delays of the router's
/// own VM, and are equally good to callers.
const COMPARED_TIME_MIN_MS: f64 = 5.0;
/// The number of gaps after which a server can be a straggler.
const COMPARED_GAPS_MIN: u32 = 4;
/// A straggler keeps this many slots, so that its recovery can be measured.
const STRAGGLER_SLOTS: u32 = 1;

/// Requests last about this long, so an older report says little about the current load.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Assumed prompt length of a request from another router that waits for its prefill.
const OTHER_PROMPT_TOKENS: f64 = 1_000.0;
/// First backoff after a server refuses a request before running it; it doubles with each further
/// refusal.
const OVERLOAD_BACKOFF_MIN: Duration = Duration::from_millis(100);
const OVERLOAD_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// An entry of the platform's list of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendEntry<'a> {
    /// The server's name, unique across all pools.
    pub name: &'a str,
    /// The pool to which the server belongs.
    pub pool: PoolKey,
    /// A number that increases with each start of the server.
    pub incarnation: u64,
}

/// A load report from a server; it lags behind the actual load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The incarnation that sent the report, or `None` if the report came with a response that does
    /// not name it.
    pub incarnation: Option<u64>,
    /// Running requests from all routers.
    pub running: u32,
    /// Requests from all routers in the server's own queue.
    pub waiting: u32,
    /// Requests that the server can run at once, or zero if unknown.
    pub batch_max: u32,
    /// KV cache memory in use.
    pub kv_used_permille: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// The unfinished requests at a server and the prefill that they still need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PendingWork {
    /// Requests that run or wait at the server.
    pub requests: u32,
    /// Tokens of their prompts that the server has not prefilled yet.
    pub unread_tokens: u64,
}

impl PendingWork {
    /// Time for which the value is used without an update. Requests last about this long, and
    /// routers send several updates within it.
    pub const TTL: Duration = Duration::from_secs(2);
}

impl AddAssign for PendingWork {
    fn add_assign(&mut self, other: PendingWork) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
    }
}

/// Whether a server is sent new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It accepts new requests.
    Up,
    /// One of its connections timed out; a probe decides whether it is up or down.
    Suspect,
    /// It crashed or refused connections; a successful probe or a newer incarnation restores it.
    Down,
    /// It is leaving: running streams finish, no new requests are sent.
    Leaving,
    /// It has left.
    Gone,
}

#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) name_hash: u64,
    pub(crate) pool: PoolKey,
    pub(crate) incarnation: u64,
    pub(crate) version: VersionHash,
    pub(crate) health: Health,
    pub(crate) next_probe: Option<Instant>,
    /// Whether requests that must not run twice may be sent to it.
    pub(crate) path: PathProof,
    /// When the slow start began, if the server had one.
    pub(crate) slow_start_since: Option<Instant>,
    pub(crate) in_flight: u32,
    /// Slots reserved for requests that were sent and have no token yet.
    pub(crate) reserved: u32,
    pub(crate) lease: Option<SlotLease>,
    /// Mean time between two tokens of a stream.
    pub(crate) gap_ms: Ewma,
    pub(crate) first_token_ms: Ewma,
    /// When the last gap was measured.
    pub(crate) last_gap: Option<Instant>,
    /// Time since the last token of any stream on this server.
    pub(crate) stall_ms: Option<f64>,
    /// The adaptive limit for classes of lower priority.
    pub(crate) pace: Pace,
    /// The gap or current stall as a multiple of the median of the pool's servers; before any gap
    /// is measured, the time to the first token as a multiple of its median.
    pub(crate) slowness: f64,
    /// The same with times of at least [`COMPARED_TIME_MIN_MS`].
    compared_slowness: f64,
    /// The number of gaps in `gap_ms`.
    gap_count: u32,
    /// The latest incarnation whose crash was recorded.
    pub(crate) crashed_incarnation: Option<u64>,
    /// The backoff after the last overload refusal, until the server starts to answer a request.
    overload_backoff: Option<OverloadBackoff>,
    /// Until when the server has asked for no request.
    pause_until: Option<Instant>,
    /// What other routers have told if it is down for them.
    pub(crate) down_report: DownReport,
    /// How often its latest requests failed.
    pub(crate) failures: FailureRecord,
    /// What is known of its limit on the rate of requests, if it ever named one.
    pub(crate) limit: Option<ServerLimit>,
    /// Recoveries after a crash without a newer incarnation being reported.
    pub(crate) recoveries: u64,
    configured_slots: u32,
    reported_slots: Option<u32>,
    other_requests: u32,
    /// The part of `other_requests` that waits inside the server.
    other_waiting: u32,
    /// Prompts of this router's requests that have no first token yet.
    pub(crate) prefill_queue: PrefillQueue,
    /// The idle connections of this router to the server.
    pub(crate) kept: KeptConnections,
    /// When the last load report arrived.
    last_report: Option<Instant>,
    /// The pending work of the other routers' requests, and when it was received.
    others_work: Option<(PendingWork, Instant)>,
}

/// Prompt tokens that a server still has to prefill, by the priority of their requests.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    requests: u32,
    tokens: BTreeMap<u8, u64>,
}

impl PrefillQueue {
    /// The fraction of lower-priority prompt tokens that delays a request, because engines
    /// interleave the chunks of several prompts.
    const LOWER_PRIORITY_WEIGHT: f64 = 0.25;

    pub(crate) fn add(&mut self, priority: u8, tokens: u32) {
        self.requests += 1;
        *self.tokens.entry(priority).or_default() += u64::from(tokens);
    }

    pub(crate) fn remove(&mut self, priority: u8, tokens: u32) {
        self.requests = self.requests.saturating_sub(1);
        if let Some(queued) = self.tokens.get_mut(&priority) {
            *queued = queued.saturating_sub(u64::from(tokens));
        }
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens.values().sum()
    }

    /// The expected number of tokens that are prefilled before a request of this priority.
    pub(crate) fn tokens_ahead_of(&self, priority: u8) -> f64 {
        let weigh = |(other, tokens): (&u8, &u64)| match *other >= priority {
            true => *tokens as f64,
            false => *tokens as f64 * Self::LOWER_PRIORITY_WEIGHT,
        };
        self.tokens.iter().map(weigh).sum()
    }
}

/// A time in which a server that refused a request is sent no others.
#[derive(Debug, Clone, Copy)]
struct OverloadBackoff {
    until: Instant,
    length: Duration,
}

/// The slots of a server that are granted to this router until a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotLease {
    pub(crate) slots: u32,
    pub(crate) expires: Instant,
}

impl Backend {
    pub(crate) fn new(
        name_hash: u64,
        pool: PoolKey,
        incarnation: u64,
        configured_slots: u32,
    ) -> Self {
        Self {
            name_hash,
            pool,
            incarnation,
            version: VersionHash::default(),
            health: Health::Up,
            next_probe: None,
            path: PathProof::default(),
            slow_start_since: None,
            in_flight: 0,
            reserved: 0,
            lease: None,
            gap_ms: Ewma::new(GAP_EWMA_WEIGHT),
            first_token_ms: Ewma::new(FIRST_TOKEN_EWMA_WEIGHT),
            last_gap: None,
            stall_ms: None,
            pace: Pace::default(),
            slowness: 1.0,
            compared_slowness: 1.0,
            gap_count: 0,
            crashed_incarnation: None,
            overload_backoff: None,
            pause_until: None,
            down_report: DownReport::default(),
            failures: FailureRecord::default(),
            limit: None,
            recoveries: 0,
            configured_slots,
            reported_slots: None,
            other_requests: 0,
            other_waiting: 0,
            prefill_queue: PrefillQueue::default(),
            kept: KeptConnections::default(),
            last_report: None,
            others_work: None,
        }
    }

    /// Resets the state for a newer incarnation; requests of the older one still count as in
    /// flight.
    ///
    /// What the server has said of itself holds, its pause and its limit: a server that was missing from a
    /// list for a while counts as restarted too. An answer without a limit lifts it.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.recoveries = 0;
        self.overload_backoff = None;
        self.failures = FailureRecord::default();
        self.reset_speed();
        self.other_requests = 0;
    }

    /// Discards the measured speed, because the server may have changed.
    pub(crate) fn reset_speed(&mut self) {
        self.gap_ms = Ewma::new(GAP_EWMA_WEIGHT);
        self.first_token_ms = Ewma::new(FIRST_TOKEN_EWMA_WEIGHT);
        self.slowness = 1.0;
        self.compared_slowness = 1.0;
        self.gap_count = 0;
        self.pace = Pace::default();
    }

    pub(crate) fn observe_gap(&mut self, now: Instant, gap: Duration) {
        let gap_ms = gap.as_secs_f64() * 1e3;
        let bound_ms = self.gap_ms.value().map_or(gap_ms, |it| it * GAP_SAMPLE_MAX_FACTOR);
        self.gap_ms.add(gap_ms.min(bound_ms));
        self.gap_count = self.gap_count.saturating_add(1);
        self.pace.observe(gap_ms.min(bound_ms));
        self.last_gap = Some(now);
    }

    /// Compares a time of the server with the median of its pool.
    pub(crate) fn compare(&mut self, own_ms: f64, median_ms: f64) {
        self.slowness = own_ms / median_ms.max(0.001);
        self.compared_slowness =
            own_ms.max(COMPARED_TIME_MIN_MS) / median_ms.max(COMPARED_TIME_MIN_MS);
    }

    /// The measured gap, or the current stall if that is longer.
    pub(crate) fn gap_with_stall_ms(&self) -> Option<f64> {
        let gap_ms = self.gap_ms.value()?;
        Some(gap_ms.max(self.stall_ms.unwrap_or(0.0)))
    }

    /// Requests that the server runs at once: as reported, otherwise as configured for the pool.
    pub(crate) fn slots(&self) -> u32 {
        self.reported_slots.unwrap_or(self.configured_slots)
    }

    /// How many times the work of one request the server is expected to take for another one, which waits
    /// for a slot if all are taken.
    pub(crate) fn expected_turns(&self, now: Instant) -> f64 {
        let requests = f64::from(self.in_flight + 1) + self.other_routers_load(now).0;
        let slots = f64::from(self.slots().max(1));
        1.0 + (requests - slots).max(0.0) / slots
    }

    /// Records the slots that the platform's list gives for the server.
    pub(crate) fn set_reported_slots(&mut self, slots: u32) {
        self.reported_slots = Some(slots);
    }

    pub(crate) fn set_configured_slots(&mut self, slots: u32) {
        self.configured_slots = slots;
    }

    /// Starts a backoff after the server refused a request before running it.
    ///
    /// Requests that were sent together are refused together, so a backoff that is under way is not
    /// extended.
    pub(crate) fn start_overload_backoff(&mut self, now: Instant) {
        let length = match self.overload_backoff {
            Some(backoff) if backoff.until > now => return,
            Some(backoff) => (2 * backoff.length).min(OVERLOAD_BACKOFF_MAX),
            None => OVERLOAD_BACKOFF_MIN,
        };
        self.overload_backoff = Some(OverloadBackoff { until: now + length, length });
    }

    /// Ends the backoff after the server started to answer a request.
    pub(crate) fn clear_overload_backoff(&mut self) {
        self.overload_backoff = None;
    }

    /// Sends nothing until `until`, because the server has asked for a pause.
    pub(crate) fn pause(&mut self, until: Instant) {
        self.pause_until = self.pause_until.max(Some(until));
    }

    /// When the pause that the server has asked for ends, if it is not over.
    pub(crate) fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.pause_until.filter(|it| *it > now)
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.overload_backoff.is_some_and(|it| it.until > now)
    }

    /// When the next probe is due, if the server is suspect or down or its path is not proven.
    pub(crate) fn probe_due(&self) -> Option<Instant> {
        let needs_probe = match self.health {
            Health::Up => !self.path.is_proven(),
            Health::Suspect | Health::Down => true,
            Health::Leaving | Health::Gone => false,
        };
        // A probe is a request too.
        self.next_probe.filter(|_| needs_probe).and_then(|it| Some(it).max(self.pause_until))
    }

    pub(crate) fn is_usable(&self) -> bool {
        matches!(self.health, Health::Up | Health::Suspect)
    }

    pub(crate) fn apply_report(&mut self, now: Instant, report: &LoadReport) {
        self.last_report = Some(now);
        if report.batch_max > 0 {
            self.reported_slots = Some(report.batch_max);
        }
        self.other_waiting = report.waiting.saturating_sub(self.prefill_queue.requests);
        let requests = report.running.saturating_add(report.waiting);
        self.other_requests = requests.saturating_sub(self.in_flight);
    }

    /// Requests that this router may have in flight on the server.
    pub(crate) fn slot_limit(&self, now: Instant, settings: &Settings) -> u32 {
        if !self.is_usable() || self.is_backing_off(now) || self.pause_end(now).is_some() {
            return 0;
        }
        let share = self.slot_share(now, settings);
        if self.is_straggler(settings) {
            return share.min(STRAGGLER_SLOTS);
        }
        let Some(since) = self.slow_start_since else { return share };
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let fraction =
            (elapsed / settings.slow_start.as_secs_f64()).clamp(SLOW_START_MIN_FRACTION, 1.0);
        (f64::from(share) * fraction).ceil() as u32
    }

    pub(crate) fn free_slots(&self, now: Instant, settings: &Settings) -> u32 {
        self.free_slots_within(now, settings, Ceiling::Full)
    }

    /// Requests that this router may have in flight before classes of lower priority get no slot.
    pub(crate) fn paced_limit(&self, now: Instant, settings: &Settings) -> u32 {
        let hash = mix(self.name_hash ^ mix(settings.seed));
        self.pace.cap(self.slot_limit(now, settings), hash as f64 / u64::MAX as f64)
    }

    /// Slots that are free for a request bounded by the ceiling.
    pub(crate) fn free_slots_within(
        &self,
        now: Instant,
        settings: &Settings,
        ceiling: Ceiling,
    ) -> u32 {
        let limit = self.slot_limit(now, settings);
        let limit = match ceiling {
            Ceiling::Full => limit,
            Ceiling::Paced => self.paced_limit(now, settings),
        };
        limit.saturating_sub(self.in_flight + self.reserved)
    }

    pub(crate) fn is_straggler(&self, settings: &Settings) -> bool {
        self.is_compared() && self.compared_slowness >= settings.straggler_ratio
    }

    /// Whether enough gaps were measured to compare the server with others.
    fn is_compared(&self) -> bool {
        self.gap_ms.value().is_none() || self.gap_count >= COMPARED_GAPS_MIN
    }

    /// The known requests on the server as a fraction of its slots.
    pub(crate) fn load(&self, now: Instant, settings: &Settings) -> f64 {
        let others = match (self.lease, settings.others) {
            (Some(_), _) => 0.0,
            (None, OtherLoad::Decaying) => f64::from(self.other_requests) * self.report_weight(now),
            (None, _) => f64::from(self.other_requests),
        };
        let slots = self.lease.map_or(self.slots(), |it| it.slots).max(1);
        (f64::from(self.in_flight) + others) / f64::from(slots)
    }

    /// Records the pending work of all other routers.
    pub(crate) fn set_others_work(&mut self, now: Instant, work: PendingWork) {
        self.others_work = Some((work, now));
    }

    /// Requests of other routers and their prompt tokens that are not prefilled: as these routers
    /// reported, or, once that has expired, as estimated from the server's load reports.
    pub(crate) fn other_routers_load(&self, now: Instant) -> (f64, f64) {
        if let Some((work, at)) = self.others_work
            && now < at + PendingWork::TTL
        {
            return (f64::from(work.requests), work.unread_tokens as f64);
        }
        let running = self.other_requests.saturating_sub(self.other_waiting);
        let report_weight = self.report_weight(now);
        let waiting = f64::from(self.other_waiting) * report_weight;
        (f64::from(running) * report_weight, waiting * OTHER_PROMPT_TOKENS)
    }

    /// The weight of the last load report, which halves every [`REPORT_HALF_LIFE`].
    fn report_weight(&self, now: Instant) -> f64 {
        let Some(last_report) = self.last_report else { return 0.0 };
        let age = now.saturating_duration_since(last_report).as_secs_f64();
        0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }

    fn slot_share(&self, now: Instant, settings: &Settings) -> u32 {
        match (self.lease, settings.others) {
            (Some(lease), _) if lease.expires > now => lease.slots,
            (Some(_), _) => self.slots().div_ceil(settings.routers.max(1)),
            (None, OtherLoad::FromReports) => self.slots().saturating_sub(self.other_requests),
            (None, OtherLoad::Ignored | OtherLoad::Decaying) => self.slots(),
        }
    }
}
