//! Quarantine of requests that crash backend servers, identified by their fingerprint.
//!
//! A crash makes all requests that ran on the server suspects. A suspect runs on one server at a
//! time, apart from other suspects as [`Isolation`] requires, so a second crash identifies the
//! cause. A request that completes is cleared, and one that had completed before needs one crash
//! more. Entries are exchanged among the routers and merged by the set of crash sites, so the order
//! of messages does not matter.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    crash_log::{CrashLog, Proof},
    keys::BackendKey,
};

/// Time for which the record of a cleared suspect is kept, so that the other routers learn of it.
const CLEARED_RECORD_TTL: Duration = Duration::from_secs(30);
/// Number of cleared fingerprints that are kept.
const CLEARED_MAX: usize = 8_192;

/// Identifies one crash by the server and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CrashSite {
    /// The hash of the server's name, which is the same on all routers.
    pub server_hash: u64,
    /// The incarnation that crashed.
    pub incarnation: u64,
    /// How often the server had recovered without a newer incarnation being known.
    pub returns: u64,
}

/// The crashes of one fingerprint, as routers exchange them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub request_hash: u64,
    /// The crashes that happened while it ran, none if it has been cleared.
    pub crashes: Vec<CrashSite>,
    /// Time since it last completed, if it has.
    pub completed_ms_ago: Option<u64>,
    /// Whether the routers together have found that it crashes servers.
    pub is_confirmed: bool,
    /// Time until the entry expires.
    pub ttl_ms: u64,
}

/// A change of the quarantine, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// A server crashed, and the requests that ran on it became suspects.
    Crashed {
        /// The server.
        backend: BackendKey,
        /// The fingerprints of the requests.
        suspects: Vec<u64>,
    },
    /// A request crashed so many servers that it is refused.
    Quarantined {
        /// Its fingerprint.
        request_hash: u64,
        /// The crashes that are known.
        crashes: usize,
    },
    /// A suspect completed.
    Cleared {
        /// Its fingerprint.
        request_hash: u64,
    },
}

/// A crash to record for one fingerprint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Crash {
    pub(crate) site: CrashSite,
    pub(crate) suspicion: Suspicion,
    pub(crate) ttl: Duration,
}

/// The suspects and the cleared fingerprints that one router knows.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    records: BTreeMap<u64, CrashRecord>,
    log: CrashLog,
    cleared: BTreeMap<u64, Instant>,
    /// The changes since they were last taken.
    events: Vec<QuarantineEvent>,
    /// The requests quarantined since they were last taken.
    newly_quarantined: BTreeSet<u64>,
}

#[derive(Debug)]
struct CrashRecord {
    /// None if the request was cleared.
    crashes: Vec<CrashSite>,
    /// When the request last completed, as far as known.
    completed_at: Option<Instant>,
    expires: Instant,
    suspicion: Suspicion,
    is_confirmed: bool,
}

/// How likely a request that ran on a crashed server caused the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// It had produced tokens before the crash.
    Weak,
    /// It had produced no tokens, or another router reported it.
    Strong,
}

/// How strictly a request is kept apart from other suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// It is not a suspect.
    None,
    /// It shares a server with another suspect only if no other server is free.
    Preferred,
    /// It never shares a server with another suspect.
    Required,
}

impl Quarantine {
    /// The number of further crashes after which the request is refused.
    pub(crate) fn crashes_left(&self, now: Instant, request_hash: u64) -> usize {
        match self.live_record(now, request_hash) {
            Some(record) => record.crashes_left(&self.log),
            None => self.log.crashes_left(&[], Proof::None),
        }
    }

    /// Time until a quarantined request may be offered again, or `None` if it is not quarantined.
    pub(crate) fn remaining(&self, now: Instant, request_hash: u64) -> Option<Duration> {
        let record = self.live_record(now, request_hash)?;
        record.is_quarantined(&self.log).then(|| record.expires - now)
    }

    /// Whether the request completed recently, so that it may run on any number of servers.
    pub(crate) fn is_cleared(&self, now: Instant, request_hash: u64) -> bool {
        self.cleared.get(&request_hash).is_some_and(|until| *until > now)
    }

    pub(crate) fn record_crash(&mut self, now: Instant, request_hash: u64, crash: Crash) {
        let cleared_until = self.cleared.remove(&request_hash);
        let evidence = Evidence {
            crashes: &[crash.site],
            completed_at: cleared_until.and_then(|it| it.checked_sub(crash.ttl)),
            expires: now + crash.ttl,
            suspicion: crash.suspicion,
            is_confirmed: false,
        };
        self.merge(now, request_hash, evidence);
    }

    pub(crate) fn record_completion(&mut self, now: Instant, request_hash: u64, ttl: Duration) {
        if let Some(record) = self.records.get_mut(&request_hash)
            && record.is_suspect(now)
            && !record.is_quarantined(&self.log)
        {
            record.crashes.clear();
            record.completed_at = Some(now);
            record.expires = now + CLEARED_RECORD_TTL;
            self.events.push(QuarantineEvent::Cleared { request_hash });
        }
        if self.cleared.len() >= CLEARED_MAX {
            self.cleared.retain(|_, until| *until > now);
        }
        if self.cleared.len() < CLEARED_MAX {
            self.cleared.insert(request_hash, now + ttl);
        }
    }

    /// Adds a change that the scheduler found.
    pub(crate) fn record_event(&mut self, event: QuarantineEvent) {
        self.events.push(event);
    }

    pub(crate) fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// The requests that were quarantined since the last call.
    pub(crate) fn take_newly_quarantined(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.newly_quarantined)
    }

    pub(crate) fn isolation(&self, now: Instant, request_hash: u64) -> Isolation {
        match self.live_record(now, request_hash).map(|it| it.suspicion) {
            None => Isolation::None,
            Some(Suspicion::Weak) => Isolation::Preferred,
            Some(Suspicion::Strong) => Isolation::Required,
        }
    }

    /// The fingerprints that are currently suspects.
    pub(crate) fn suspects(&self, now: Instant) -> impl Iterator<Item = u64> {
        self.records.iter().filter(move |it| it.1.is_suspect(now)).map(|it| *it.0)
    }

    pub(crate) fn export(&mut self, now: Instant) -> Vec<QuarantineEntry> {
        self.records.retain(|_, it| it.expires > now);
        self.records.iter().map(|(request_hash, it)| it.to_entry(now, *request_hash)).collect()
    }

    /// Merges an entry of another router or of all routers together.
    pub(crate) fn import(&mut self, now: Instant, entry: &QuarantineEntry) {
        if entry.crashes.is_empty() {
            // A suspect that was cleared elsewhere may have crashed a server here since then.
            return;
        }
        let age = entry.completed_ms_ago.map(Duration::from_millis);
        let evidence = Evidence {
            crashes: &entry.crashes,
            completed_at: age.and_then(|it| now.checked_sub(it)),
            expires: now + Duration::from_millis(entry.ttl_ms),
            suspicion: Suspicion::Strong,
            is_confirmed: entry.is_confirmed,
        };
        self.cleared.remove(&entry.request_hash);
        self.merge(now, entry.request_hash, evidence);
    }

    fn live_record(&self, now: Instant, request_hash: u64) -> Option<&CrashRecord> {
        self.records.get(&request_hash).filter(|it| it.is_suspect(now))
    }

    fn merge(&mut self, now: Instant, request_hash: u64, evidence: Evidence<'_>) {
        let Evidence { crashes, completed_at, expires, suspicion, is_confirmed } = evidence;
        crashes.iter().for_each(|it| self.log.record(now, *it));
        let record = self.records.entry(request_hash).or_insert(CrashRecord {
            crashes: Vec::new(),
            completed_at: None,
            expires,
            suspicion,
            is_confirmed: false,
        });
        if record.expires <= now {
            record.crashes.clear();
            record.completed_at = None;
            record.is_confirmed = false;
        }
        let was_quarantined = record.is_quarantined(&self.log);
        if !was_quarantined {
            record.completed_at = record.completed_at.max(completed_at);
        }
        record.crashes.extend(crashes);
        record.crashes.sort();
        record.crashes.dedup();
        record.expires = record.expires.max(expires);
        record.suspicion = record.suspicion.max(suspicion);
        record.is_confirmed |= is_confirmed;
        if !was_quarantined && record.is_quarantined(&self.log) {
            let crashes = record.crashes.len();
            self.newly_quarantined.insert(request_hash);
            self.events.push(QuarantineEvent::Quarantined { request_hash, crashes });
        }
    }
}

/// What is reported about a request.
#[derive(Debug, Clone, Copy)]
struct Evidence<'a> {
    crashes: &'a [CrashSite],
    completed_at: Option<Instant>,
    expires: Instant,
    suspicion: Suspicion,
    is_confirmed: bool,
}

impl CrashRecord {
    fn is_suspect(&self, now: Instant) -> bool {
        self.expires > now && !self.crashes.is_empty()
    }

    fn is_quarantined(&self, log: &CrashLog) -> bool {
        self.crashes_left(log) == 0
    }

    fn crashes_left(&self, log: &CrashLog) -> usize {
        match self.is_confirmed {
            true => 0,
            false => log.crashes_left(&self.crashes, Proof::of(self.completed_at)),
        }
    }

    fn to_entry(&self, now: Instant, request_hash: u64) -> QuarantineEntry {
        let since = |it: Instant| now.saturating_duration_since(it).as_millis() as u64;
        QuarantineEntry {
            request_hash,
            crashes: self.crashes.clone(),
            completed_ms_ago: self.completed_at.map(since),
            is_confirmed: self.is_confirmed,
            ttl_ms: (self.expires - now).as_millis() as u64,
        }
    }
}
