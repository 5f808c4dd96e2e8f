//! What the scheduler knows about one backend server: health, capacity and speed.

use std::{
    collections::BTreeMap,
    ops::AddAssign,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    choice::mix,
    estimate::Ewma,
    keys::PoolKey,
    pace::{Ceiling, Pace},
    settings::{OtherLoad, Settings},
};

const GAP_WEIGHT: f64 = 0.1;
/// One sample counts at most this multiple of the mean, so that a single pause of the router does
/// not look like a slow server.
const GAP_GROWTH_LIMIT: f64 = 8.0;
const FIRST_TOKEN_WEIGHT: f64 = 0.2;
const SLOW_START_FLOOR: f64 = 0.1;
/// A straggler keeps this many slots, so that its recovery is seen.
const STRAGGLER_SLOTS: u32 = 1;

/// Requests last about this long, so a report says little about what runs later.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Prompt tokens that another router's waiting request is taken to have unread.
const OTHERS_PROMPT_TOKENS: f64 = 1_000.0;
/// How long a server that refused a request before its start gets no work; it doubles while the
/// server goes on refusing.
const REFUSAL_PAUSE_MIN: Duration = Duration::from_millis(100);
const REFUSAL_PAUSE_MAX: Duration = Duration::from_secs(5);

/// A server as the platform's list shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendEntry<'a> {
    /// The server's name, unique over all pools.
    pub name: &'a str,
    /// The pool that it serves.
    pub pool: PoolKey,
    /// A number that rises with each start of the server.
    pub incarnation: u64,
}

/// A lagging report from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The incarnation that reports; nothing if the report came with an answer of the server at
    /// hand and does not say.
    pub incarnation: Option<u64>,
    /// Requests that it ran, from all routers.
    pub running: u32,
    /// Requests that waited inside it.
    pub waiting: u32,
    /// Requests that it can run at once; zero if not known.
    pub batch_max: u32,
    /// Cache memory in use.
    pub kv_used_permille: u32,
    /// Age of the figures when they arrived.
    pub age: Duration,
}

/// What requests still take at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PendingWork {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Tokens of their prompts that are to be read yet.
    pub unread_tokens: u64,
}

impl PendingWork {
    /// Without being told again, work counts this long: requests last about as long, and their
    /// routers repeat their word several times within.
    pub const TTL: Duration = Duration::from_secs(2);
}

impl AddAssign for PendingWork {
    fn add_assign(&mut self, other: PendingWork) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
    }
}

/// Whether a server gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// One of its connections fell silent; a probe decides.
    Suspect,
    /// It crashed or refused connections; a probe or a newer incarnation brings it back.
    Down,
    /// It is leaving: streams finish, no new work.
    Leaving,
    /// It has left.
    Gone,
}

#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) name_hash: u64,
    pub(crate) pool: PoolKey,
    pub(crate) incarnation: u64,
    pub(crate) health: Health,
    pub(crate) next_probe: Option<Instant>,
    /// Start of the slow start, if there is one.
    pub(crate) ramp_from: Option<Instant>,
    pub(crate) in_flight: u32,
    /// Slots kept free for requests that were sent and have no token yet.
    pub(crate) reserved: u32,
    pub(crate) lease: Option<SlotLease>,
    /// Time between two tokens in milliseconds.
    pub(crate) gap_ms: Ewma,
    pub(crate) first_token_ms: Ewma,
    /// When the last gap was measured.
    pub(crate) last_gap: Option<Instant>,
    /// Time for which all streams here have been without a token.
    pub(crate) stall_ms: Option<f64>,
    /// How far lower classes may fill the server.
    pub(crate) pace: Pace,
    /// The gap as a multiple of the peers' median.
    pub(crate) slowness: f64,
    /// The incarnation whose crash was booked.
    pub(crate) crashed_incarnation: Option<u64>,
    /// The pause after the last refusal, while no request has been served since.
    refusal: Option<OverloadPause>,
    /// Returns from a crash without news of a newer incarnation.
    pub(crate) returns: u64,
    slots: u32,
    reported_slots: Option<u32>,
    others: u32,
    /// Of these, the ones that waited.
    others_waiting: u32,
    /// Prompt tokens of this router's requests that have no first token yet.
    pub(crate) unread: Unread,
    /// When the last report came.
    reported: Option<Instant>,
    /// What the other routers' requests take, and when they said so.
    others_work: Option<(PendingWork, Instant)>,
}

/// Prompts that a server still has to read, by the urgency of their requests.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    requests: u32,
    tokens: BTreeMap<u8, u64>,
}

impl Unread {
    /// The part of less urgent prompts that delays a request, since they are read in chunks by
    /// turns.
    const BEHIND_PART: f64 = 0.25;

    pub(crate) fn add(&mut self, priority: u8, tokens: u32) {
        self.requests += 1;
        *self.tokens.entry(priority).or_default() += u64::from(tokens);
    }

    pub(crate) fn remove(&mut self, priority: u8, tokens: u32) {
        self.requests = self.requests.saturating_sub(1);
        if let Some(unread) = self.tokens.get_mut(&priority) {
            *unread = unread.saturating_sub(u64::from(tokens));
        }
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens.values().sum()
    }

    /// The tokens that are read before a request of this urgency.
    pub(crate) fn ahead_of(&self, priority: u8) -> f64 {
        let weigh = |(other, tokens): (&u8, &u64)| match *other >= priority {
            true => *tokens as f64,
            false => *tokens as f64 * Self::BEHIND_PART,
        };
        self.tokens.iter().map(weigh).sum()
    }
}

/// A time without work after a refusal.
#[derive(Debug, Clone, Copy)]
struct OverloadPause {
    until: Instant,
    length: Duration,
}

/// A leased part of a server's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotLease {
    pub(crate) slots: u32,
    pub(crate) expires: Instant,
}

impl Backend {
    pub(crate) fn new(name_hash: u64, pool: PoolKey, incarnation: u64, slots: u32) -> Self {
        Self {
            name_hash,
            pool,
            incarnation,
            health: Health::Up,
            next_probe: None,
            ramp_from: None,
            in_flight: 0,
            reserved: 0,
            lease: None,
            gap_ms: Ewma::new(GAP_WEIGHT),
            first_token_ms: Ewma::new(FIRST_TOKEN_WEIGHT),
            last_gap: None,
            stall_ms: None,
            pace: Pace::default(),
            slowness: 1.0,
            crashed_incarnation: None,
            refusal: None,
            returns: 0,
            slots,
            reported_slots: None,
            others: 0,
            others_waiting: 0,
            unread: Unread::default(),
            reported: None,
            others_work: None,
        }
    }

    /// Starts over as a newer incarnation; requests of the older one are still counted.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.returns = 0;
        self.refusal = None;
        self.forget_speed();
        self.others = 0;
    }

    /// Forgets what was measured, because the server may have changed.
    pub(crate) fn forget_speed(&mut self) {
        self.gap_ms = Ewma::new(GAP_WEIGHT);
        self.first_token_ms = Ewma::new(FIRST_TOKEN_WEIGHT);
        self.slowness = 1.0;
        self.pace = Pace::default();
    }

    pub(crate) fn observe_gap(&mut self, now: Instant, gap: Duration) {
        let gap_ms = gap.as_secs_f64() * 1e3;
        let bound_ms = self.gap_ms.value().map_or(gap_ms, |it| it * GAP_GROWTH_LIMIT);
        self.gap_ms.add(gap_ms.min(bound_ms));
        self.pace.observe(gap_ms.min(bound_ms));
        self.last_gap = Some(now);
    }

    /// The measured gap, or the present stall if that is longer.
    pub(crate) fn gap_with_stall_ms(&self) -> Option<f64> {
        let gap_ms = self.gap_ms.value()?;
        Some(gap_ms.max(self.stall_ms.unwrap_or(0.0)))
    }

    /// Requests that the server runs at once: as reported, else by the table of pools.
    pub(crate) fn slots(&self) -> u32 {
        self.reported_slots.unwrap_or(self.slots)
    }

    /// Notes the slots that the platform's list or a report names.
    pub(crate) fn note_slots(&mut self, slots: u32) {
        self.reported_slots = Some(slots);
    }

    pub(crate) fn set_table_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Notes that the server refused a request before its start. Requests that were sent together
    /// are refused together, so a pause that has begun is not prolonged.
    pub(crate) fn note_refusal(&mut self, now: Instant) {
        let length = match self.refusal {
            Some(pause) if pause.until > now => return,
            Some(pause) => (2 * pause.length).min(REFUSAL_PAUSE_MAX),
            None => REFUSAL_PAUSE_MIN,
        };
        self.refusal = Some(OverloadPause { until: now + length, length });
    }

    /// Notes that the server has started to answer a request.
    pub(crate) fn note_served(&mut self) {
        self.refusal = None;
    }

    fn is_refusing(&self, now: Instant) -> bool {
        self.refusal.is_some_and(|it| it.until > now)
    }

    /// When the next probe is due, if the server's health is in question.
    pub(crate) fn probe_due(&self) -> Option<Instant> {
        let is_open = matches!(self.health, Health::Suspect | Health::Down);
        self.next_probe.filter(|_| is_open)
    }

    pub(crate) fn is_usable(&self) -> bool {
        matches!(self.health, Health::Up | Health::Suspect)
    }

    pub(crate) fn apply_report(&mut self, now: Instant, report: &LoadReport) {
        self.reported = Some(now);
        if report.batch_max > 0 {
            self.reported_slots = Some(report.batch_max);
        }
        self.others_waiting = report.waiting.saturating_sub(self.unread.requests);
        self.others = (report.running + report.waiting).saturating_sub(self.in_flight);
    }

    /// Requests that this router may have in flight here.
    pub(crate) fn limit(&self, now: Instant, settings: &Settings) -> u32 {
        if !self.is_usable() || self.is_refusing(now) {
            return 0;
        }
        let share = self.shared_slots(now, settings);
        if self.is_straggler(settings) {
            return share.min(STRAGGLER_SLOTS);
        }
        let Some(from) = self.ramp_from else { return share };
        let elapsed = now.saturating_duration_since(from).as_secs_f64();
        let part = (elapsed / settings.slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0);
        (f64::from(share) * part).ceil() as u32
    }

    pub(crate) fn free(&self, now: Instant, settings: &Settings) -> u32 {
        self.free_within(now, settings, Ceiling::Full)
    }

    /// The part of the limit that lower classes may fill.
    pub(crate) fn paced_limit(&self, now: Instant, settings: &Settings) -> u32 {
        let drawn = mix(self.name_hash ^ mix(settings.seed));
        self.pace.cap(self.limit(now, settings), drawn as f64 / u64::MAX as f64)
    }

    /// Free slots for a request that may fill the server up to the ceiling.
    pub(crate) fn free_within(&self, now: Instant, settings: &Settings, ceiling: Ceiling) -> u32 {
        let limit = self.limit(now, settings);
        let limit = match ceiling {
            Ceiling::Full => limit,
            Ceiling::Paced => self.paced_limit(now, settings),
        };
        limit.saturating_sub(self.in_flight + self.reserved)
    }

    pub(crate) fn is_straggler(&self, settings: &Settings) -> bool {
        self.slowness >= settings.straggler_ratio
    }

    /// Requests on the server as a part of its slots, as far as this router knows.
    pub(crate) fn load(&self, now: Instant, settings: &Settings) -> f64 {
        let others = match (self.lease, settings.others) {
            (Some(_), _) => 0.0,
            (None, OtherLoad::Decaying) => f64::from(self.others) * self.freshness(now),
            (None, _) => f64::from(self.others),
        };
        let slots = self.lease.map_or(self.slots(), |it| it.slots).max(1);
        (f64::from(self.in_flight) + others) / f64::from(slots)
    }

    /// Notes what the requests of all other routers take.
    pub(crate) fn note_others_work(&mut self, now: Instant, work: PendingWork) {
        self.others_work = Some((work, now));
    }

    /// Requests of other routers and the tokens of their prompts that are to be read: by their
    /// own word where it is new, else as far as reports still count.
    pub(crate) fn others_there(&self, now: Instant) -> (f64, f64) {
        if let Some((work, at)) = self.others_work
            && now < at + PendingWork::TTL
        {
            return (f64::from(work.requests), work.unread_tokens as f64);
        }
        let running = self.others.saturating_sub(self.others_waiting);
        let freshness = self.freshness(now);
        let waiting = f64::from(self.others_waiting) * freshness;
        (f64::from(running) * freshness, waiting * OTHERS_PROMPT_TOKENS)
    }

    /// The part of a report that still counts; half of it is lost every [`REPORT_HALF_LIFE`].
    fn freshness(&self, now: Instant) -> f64 {
        let Some(reported) = self.reported else { return 0.0 };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }

    fn shared_slots(&self, now: Instant, settings: &Settings) -> u32 {
        match (self.lease, settings.others) {
            (Some(lease), _) if lease.expires > now => lease.slots,
            (Some(_), _) => self.slots().div_ceil(settings.routers.max(1)),
            (None, OtherLoad::FromReports) => self.slots().saturating_sub(self.others),
            (None, OtherLoad::Ignored | OtherLoad::Decaying) => self.slots(),
        }
    }
}
