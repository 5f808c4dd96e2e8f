//! Parts of prompts as causes of crashes.
//!
//! Requests that crash servers need have nothing in common but one part of their prompts, so the
//! evidence of each crash is also held by part. A crash makes the parts of the requests that had
//! just begun there suspects. An answer on a part clears it, at any router. A part is refused after
//! several crashes without an answer that no other part explains better: sound prompts share parts
//! with bad ones, and their requests are on the same servers when these crash.
//!
//! Routers and hubs use the same type. They exchange [`PartEntry`]s, which are merged by the set of
//! crashes and the latest times, so the order of messages does not matter.

mod cause;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{crash_log::CrashLog, quarantine::CrashSite};

/// Time for which a part is refused after its last crash or the last refused request.
const REFUSAL_TTL: Duration = Duration::from_secs(600);
/// Time in which all routers report a crash, and answers on the parts that were on the server.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Crashes from which on the routers are asked for answers on a part.
const WATCHED_CRASHES_MIN: usize = 2;
/// Time for which a router reports the answers on a part after it was last asked.
const WATCH_TTL: Duration = Duration::from_secs(10);
/// The interval at which a router reports further answers on a part.
const ANSWER_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Times that differ by less may be the same event, as messages carry ages.
const TIME_TOLERANCE: Duration = Duration::from_millis(250);
/// The largest number of parts that are known.
const PARTS_MAX: usize = 8_192;
/// The number of latest crashes that are kept of one part.
const CRASHES_MAX: usize = 64;

/// What is known of one part, as routers and hubs exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PartEntry {
    /// The id of the part.
    pub part: u64,
    /// Its place in the prompts, from 0.
    pub depth: u8,
    /// The crashes since the last answer on it.
    pub crashes: Vec<CrashSite>,
    /// Time since the last answer on it, if there was one.
    pub answered_ms_ago: Option<u32>,
    /// Time since it was refused or a refused request came, if it was refused.
    pub refused_ms_ago: Option<u32>,
}

/// A router's report to its hub.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartReport {
    /// To be passed to the next report once the hub has answered this one.
    pub stamp: u64,
    /// The parts that have changed.
    pub entries: Vec<PartEntry>,
}

/// A change of the parts that are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the part are refused from now on.
    Refused {
        /// The part.
        part: u64,
        /// The crashes without an answer.
        crashes: usize,
    },
    /// A request with the part was answered, so requests with it are admitted again.
    Cleared {
        /// The part.
        part: u64,
    },
}

/// The parts of the prompts of one pool, with the crashes that they may have caused.
#[derive(Debug)]
pub struct PartSuspects {
    records: BTreeMap<u64, Record>,
    log: CrashLog,
    changes: Vec<PartChange>,
    /// When the last crashes have been reported by all routers, if they may lead to a refusal.
    next_decision: Option<Instant>,
    /// Given to each record that changes; records that never changed have 0.
    stamp: u64,
}

impl Default for PartSuspects {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            log: CrashLog::default(),
            changes: Vec::new(),
            next_decision: None,
            stamp: 1,
        }
    }
}

#[derive(Debug)]
struct Record {
    depth: u8,
    /// Since the last answer.
    crashes: Vec<CrashSite>,
    /// All that were recorded.
    crash_count: usize,
    answered_at: Option<Instant>,
    refused_at: Option<Instant>,
    /// The last answer that was recorded as a change.
    reported_answer_at: Option<Instant>,
    /// Answers are recorded as changes until then.
    watched_until: Option<Instant>,
    last_used: Instant,
    stamp: u64,
}

impl PartSuspects {
    /// Records that a server crashed on which a request sent at `sent_at` had just begun.
    ///
    /// A part on which another request was answered meanwhile did not cause the crash.
    pub fn record_crash(&mut self, now: Instant, site: CrashSite, sent_at: Instant, parts: &[u64]) {
        self.log.record(now, site);
        for (depth, part) in parts.iter().enumerate() {
            let record = self.record_mut(now, *part, depth);
            if record.answered_at.is_none_or(|it| it <= sent_at) {
                self.add_crashes(now, *part, &[site]);
            }
        }
    }

    /// Records that a request with these parts was answered, or is being answered without a crash.
    pub fn record_answer(&mut self, now: Instant, parts: &[u64]) {
        for (depth, part) in parts.iter().enumerate() {
            let stamp = self.stamp;
            let record = self.record_mut(now, *part, depth);
            let is_cleared = record.is_refused(now) || !record.crashes.is_empty();
            let was_refused = record.is_refused(now);
            record.set_answered(now);
            let is_watched = record.watched_until.is_some_and(|it| it > now);
            if is_cleared {
                record.reported_answer_at = Some(now);
                record.stamp = stamp;
            } else if is_watched && record.takes_answer_report(now) {
                record.stamp = stamp;
            }
            if was_refused {
                self.changes.push(PartChange::Cleared { part: *part });
            }
        }
    }

    /// Whether one of the parts may have crashed a server since the last answer on it.
    #[must_use]
    pub fn has_suspect(&self, parts: &[u64]) -> bool {
        parts.iter().filter_map(|it| self.records.get(it)).any(|it| !it.crashes.is_empty())
    }

    /// Time until requests with one of the parts may be offered again, or `None` if none is refused.
    #[must_use]
    pub fn refusal(&self, now: Instant, parts: &[u64]) -> Option<Duration> {
        let records = parts.iter().filter_map(|it| self.records.get(it));
        records.filter_map(|it| it.refusal_left(now)).max()
    }

    /// Records that a request with a refused part came: as long as such requests come, the part
    /// stays refused.
    pub fn renew_refusal(&mut self, now: Instant, parts: &[u64]) {
        let stamp = self.stamp;
        for part in parts {
            let Some(record) = self.records.get_mut(part) else { continue };
            if record.refusal_left(now).is_some_and(|it| it < REFUSAL_TTL / 2) {
                record.refused_at = Some(now);
                record.stamp = stamp;
            }
        }
    }

    /// Merges what a router or hub reports; returns whether it is new.
    pub fn merge(&mut self, now: Instant, entry: &PartEntry) -> bool {
        let stamp = self.stamp;
        let record = self.record_mut(now, entry.part, entry.depth.into());
        record.watched_until = Some(now + WATCH_TTL);
        let was_refused = record.is_refused(now);
        let answered_at = time_of(now, entry.answered_ms_ago);
        let is_own_later = record.answered_at.is_some_and(|it| is_later(it, answered_at));
        let has_own_answer = is_own_later && record.takes_answer_report(now);
        let is_answer_new = record.merge_answer(now, answered_at);
        let is_refusal_new = record.merge_refusal(time_of(now, entry.refused_ms_ago));
        let is_new = is_answer_new || is_refusal_new;
        if is_new || has_own_answer {
            record.stamp = stamp;
        }
        let (part, crashes) = (entry.part, record.crashes.len());
        match (was_refused, record.is_refused(now)) {
            (false, true) => self.changes.push(PartChange::Refused { part, crashes }),
            (true, false) => self.changes.push(PartChange::Cleared { part }),
            _ => {}
        }
        entry.crashes.iter().for_each(|it| self.log.record(now, *it));
        self.drop_answered_crashes(part);
        self.add_crashes(now, part, &entry.crashes) || is_new
    }

    /// Refuses the parts that are found to crash servers.
    pub fn decide(&mut self, now: Instant) {
        if self.next_decision.is_none_or(|it| it > now) {
            return;
        }
        self.next_decision = None;
        let mut explained: BTreeSet<CrashSite> = BTreeSet::new();
        let refused = self.records.values().filter(|it| it.is_refused(now));
        refused.for_each(|it| explained.extend(&it.crashes));
        while let Some((part, crashes)) = self.likeliest_cause(now, &explained) {
            let stamp = self.stamp;
            let Some(record) = self.records.get_mut(&part) else { break };
            record.refused_at = Some(now);
            record.stamp = stamp;
            explained.extend(&record.crashes);
            self.changes.push(PartChange::Refused { part, crashes });
        }
        let unsettled = self.log.latest().map(|it| it + REPORT_TIME).filter(|it| *it > now);
        self.next_decision = unsettled;
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sets the stamp of the changes that follow.
    pub fn set_stamp(&mut self, stamp: u64) {
        self.stamp = stamp;
    }

    /// What a router reports to its hub: the suspects and refused parts, and the answers that it was
    /// asked for, as far as they have changed since the report with the stamp `acknowledged`.
    pub fn report(&mut self, now: Instant, acknowledged: u64) -> PartReport {
        let changed = self.records.iter().filter(|it| it.1.stamp > acknowledged);
        let entries = changed.map(|(part, it)| it.entry(now, *part)).collect();
        let stamp = self.stamp;
        self.stamp += 1;
        PartReport { stamp, entries }
    }

    /// What a hub tells its routers: the parts that were refused and those on whose answers it
    /// depends whether they will be, as far as they have changed after `stamp`.
    #[must_use]
    pub fn notices_after(&self, now: Instant, stamp: u64) -> Vec<PartEntry> {
        let changed = self.records.iter().filter(|it| it.1.stamp > stamp);
        let told = changed
            .filter(|it| it.1.refused_at.is_some() || it.1.crash_count >= WATCHED_CRASHES_MIN);
        told.map(|(part, it)| PartEntry { crashes: Vec::new(), ..it.entry(now, *part) }).collect()
    }

    /// The parts that are refused, the latest first.
    #[must_use]
    pub fn refused(&self, now: Instant) -> Vec<PartEntry> {
        let mut refused: Vec<_> = self.records.iter().filter(|it| it.1.is_refused(now)).collect();
        refused.sort_by_key(|it| Reverse(it.1.refused_at));
        refused.into_iter().map(|(part, it)| it.entry(now, *part)).collect()
    }

    /// What is known of a part.
    #[must_use]
    pub fn entry(&self, now: Instant, part: u64) -> Option<PartEntry> {
        self.records.get(&part).map(|it| it.entry(now, part))
    }

    fn record_mut(&mut self, now: Instant, part: u64, depth: usize) -> &mut Record {
        if self.records.len() >= PARTS_MAX && !self.records.contains_key(&part) {
            self.drop_least_used(now);
        }
        let record = self.records.entry(part).or_insert_with(|| Record::new(now));
        record.depth = depth.min(u8::MAX.into()) as u8;
        record.last_used = now;
        record
    }

    /// Adds the crashes that are not older than the last answer; returns whether any is new.
    fn add_crashes(&mut self, now: Instant, part: u64, sites: &[CrashSite]) -> bool {
        let stamp = self.stamp;
        let Some(record) = self.records.get_mut(&part) else { return false };
        let mut has_new = false;
        for site in sites {
            let is_older = record.answered_at >= self.log.recorded_at(*site);
            if is_older || record.crashes.contains(site) {
                continue;
            }
            record.crashes.push(*site);
            record.crash_count += 1;
            record.stamp = stamp;
            has_new = true;
        }
        let excess = record.crashes.len().saturating_sub(CRASHES_MAX);
        record.crashes.drain(..excess);
        if has_new {
            self.next_decision.get_or_insert(now + REPORT_TIME);
        }
        has_new
    }

    fn drop_answered_crashes(&mut self, part: u64) {
        let Some(record) = self.records.get_mut(&part) else { return };
        let answered_at = record.answered_at;
        record.crashes.retain(|it| self.log.recorded_at(*it) > answered_at);
    }

    /// Drops the half of the parts that were used least recently, but none that is refused.
    fn drop_least_used(&mut self, now: Instant) {
        let mut used: Vec<_> = self.records.values().map(|it| it.last_used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        self.records.retain(|_, it| it.last_used > median || it.is_refused(now));
    }
}

impl Record {
    fn new(now: Instant) -> Record {
        Record {
            depth: 0,
            crashes: Vec::new(),
            crash_count: 0,
            answered_at: None,
            refused_at: None,
            reported_answer_at: None,
            watched_until: None,
            last_used: now,
            stamp: 0,
        }
    }

    fn set_answered(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.crashes.clear();
    }

    /// Whether an answer may be reported now; if so, the next one is due later.
    fn takes_answer_report(&mut self, now: Instant) -> bool {
        let last = self.reported_answer_at;
        let is_due = last.is_none_or(|it| now >= it + ANSWER_REPORT_INTERVAL);
        if is_due {
            self.reported_answer_at = Some(now);
        }
        is_due
    }

    /// Merges the time of an answer; returns whether it is to be passed on.
    fn merge_answer(&mut self, now: Instant, answered_at: Option<Instant>) -> bool {
        let Some(at) = answered_at.filter(|it| is_later(*it, self.answered_at)) else {
            return false;
        };
        self.answered_at = Some(at);
        if self.crashes.is_empty() {
            return self.takes_answer_report(now);
        }
        self.reported_answer_at = Some(now);
        true
    }

    /// Merges the time of a refusal; returns whether it is new.
    fn merge_refusal(&mut self, refused_at: Option<Instant>) -> bool {
        let later = refused_at.filter(|it| is_later(*it, self.refused_at));
        self.refused_at = later.or(self.refused_at);
        later.is_some()
    }

    fn is_refused(&self, now: Instant) -> bool {
        self.refusal_left(now).is_some()
    }

    /// Time until the refusal ends; `None` if there is none or an answer has proved it wrong.
    fn refusal_left(&self, now: Instant) -> Option<Duration> {
        let refused_at = self.refused_at.filter(|it| Some(*it) > self.answered_at)?;
        let left = (refused_at + REFUSAL_TTL).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    fn entry(&self, now: Instant, part: u64) -> PartEntry {
        let ms_ago = |it: Instant| {
            u32::try_from(now.saturating_duration_since(it).as_millis()).unwrap_or(u32::MAX)
        };
        PartEntry {
            part,
            depth: self.depth,
            crashes: self.crashes.clone(),
            answered_ms_ago: self.answered_at.map(ms_ago),
            refused_ms_ago: self.refused_at.map(ms_ago),
        }
    }
}

fn time_of(now: Instant, ms_ago: Option<u32>) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(ms_ago?.into()))
}

fn is_later(new: Instant, known: Option<Instant>) -> bool {
    known.is_none_or(|it| new > it + TIME_TOLERANCE)
}
