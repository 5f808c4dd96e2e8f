//! Requests that crash backend servers, known by a fingerprint.
//!
//! A crash names the requests that ran on the server as suspects. A suspect runs again on one
//! server at a time and with no other suspect beside it, so a second crash names the guilty one.
//! A request that completed is cleared. Entries are exchanged among the routers of a failure
//! domain and merged by the set of crash sites, so the order of messages does not matter.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Crashes after which a request is refused.
pub(crate) const CRASH_LIMIT: usize = 2;
const PROVEN_LIMIT: usize = 8_192;

/// One crash: the server by the hash of its name, and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CrashSite {
    /// The hash of the server's name, equal on all routers.
    pub server_hash: u64,
    /// The incarnation that crashed.
    pub incarnation: u64,
    /// Times that it had returned without a known newer incarnation.
    pub returns: u64,
}

/// What routers tell each other about one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub request_hash: u64,
    /// The servers that fell to it.
    pub crashes: Vec<CrashSite>,
    /// Time until the entry expires.
    pub ttl_ms: u64,
}

/// A crash as it is booked on one fingerprint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Crash {
    pub(crate) site: CrashSite,
    pub(crate) level: Level,
    pub(crate) ttl: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    records: BTreeMap<u64, Record>,
    proven: BTreeMap<u64, Instant>,
}

#[derive(Debug)]
struct Record {
    crashes: Vec<CrashSite>,
    expires: Instant,
    level: Level,
}

/// How likely a request that ran on a crashed server is the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    /// It had produced tokens before the crash.
    Weak,
    /// It had produced none yet, or another router reported it.
    Strong,
}

/// How far a request is kept from suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// It is no suspect.
    None,
    /// It runs beside another suspect only if no other server is free.
    Preferred,
    /// It never runs beside another suspect.
    Required,
}

impl Quarantine {
    /// Servers that fell to the request while its entry lives.
    pub(crate) fn crashes(&self, now: Instant, request_hash: u64) -> usize {
        self.live(now, request_hash).map_or(0, |it| it.crashes.len())
    }

    /// Time until a quarantined request may be offered again.
    pub(crate) fn remaining(&self, now: Instant, request_hash: u64) -> Option<Duration> {
        let record = self.live(now, request_hash)?;
        (record.crashes.len() >= CRASH_LIMIT).then(|| record.expires - now)
    }

    /// Whether the request completed lately, so it needs no limit on where it runs.
    pub(crate) fn is_proven(&self, now: Instant, request_hash: u64) -> bool {
        self.proven.get(&request_hash).is_some_and(|until| *until > now)
    }

    pub(crate) fn note_crash(&mut self, now: Instant, hash: u64, crash: Crash) {
        self.proven.remove(&hash);
        self.merge(now, hash, &[crash.site], now + crash.ttl, crash.level);
    }

    pub(crate) fn note_complete(&mut self, now: Instant, hash: u64, ttl: Duration) {
        if self.crashes(now, hash) < CRASH_LIMIT {
            self.records.remove(&hash);
        }
        if self.proven.len() >= PROVEN_LIMIT {
            self.proven.retain(|_, until| *until > now);
        }
        if self.proven.len() < PROVEN_LIMIT {
            self.proven.insert(hash, now + ttl);
        }
    }

    pub(crate) fn isolation(&self, now: Instant, request_hash: u64) -> Isolation {
        match self.live(now, request_hash).map(|it| it.level) {
            None => Isolation::None,
            Some(Level::Weak) => Isolation::Preferred,
            Some(Level::Strong) => Isolation::Required,
        }
    }

    /// The fingerprints that are suspected now.
    pub(crate) fn suspects(&self, now: Instant) -> impl Iterator<Item = u64> {
        self.records.iter().filter(move |it| it.1.expires > now).map(|it| *it.0)
    }

    pub(crate) fn export(&mut self, now: Instant) -> Vec<QuarantineEntry> {
        self.records.retain(|_, it| it.expires > now);
        self.records.iter().map(|(hash, it)| it.to_entry(now, *hash)).collect()
    }

    pub(crate) fn import(&mut self, now: Instant, entry: &QuarantineEntry) {
        let expires = now + Duration::from_millis(entry.ttl_ms);
        self.proven.remove(&entry.request_hash);
        self.merge(now, entry.request_hash, &entry.crashes, expires, Level::Strong);
    }

    fn live(&self, now: Instant, request_hash: u64) -> Option<&Record> {
        self.records.get(&request_hash).filter(|it| it.expires > now)
    }

    fn merge(
        &mut self,
        now: Instant,
        hash: u64,
        sites: &[CrashSite],
        expires: Instant,
        level: Level,
    ) {
        let empty = Record { crashes: Vec::new(), expires, level };
        let record = self.records.entry(hash).or_insert(empty);
        if record.expires <= now {
            record.crashes.clear();
        }
        record.crashes.extend(sites);
        record.crashes.sort();
        record.crashes.dedup();
        record.expires = record.expires.max(expires);
        record.level = record.level.max(level);
    }
}

impl Record {
    fn to_entry(&self, now: Instant, request_hash: u64) -> QuarantineEntry {
        let ttl_ms = (self.expires - now).as_millis() as u64;
        QuarantineEntry { request_hash, crashes: self.crashes.clone(), ttl_ms }
    }
}
