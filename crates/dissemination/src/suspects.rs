//! Requests that ran on servers that crashed, as the routers reported them.
//!
//! A crash makes all requests that ran on the server suspects. Each router reports its own suspects,
//! and the hubs pass them on to one another, so every hub counts the crashes over all routers. Only
//! requests that are to be refused are sent to the routers: these are few, while a crash has as many
//! suspects as the server had requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use policy::{CrashLog, CrashSite, Proof, QuarantineEntry};

use crate::{PoolHash, QuarantineRow, Version};

/// The largest number of suspects that a hub knows; beyond it, the one that expires first is
/// dropped.
const SUSPECTS_MAX: usize = 8_192;
/// The largest number of quarantined requests that a hub repeats to the other hubs.
const REPEATED_MAX: usize = 64;
/// Time in which all routers report a crash. Until then it is not known which other requests were on
/// the server, and which other servers crashed with it.
const REPORT_TIME: Duration = Duration::from_millis(100);

type Key = (PoolHash, u64);

/// The suspects known to a hub.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    entries: BTreeMap<Key, Suspect>,
    crashes: BTreeMap<PoolHash, CrashLog>,
    /// The entries that this hub's routers have changed since they were last taken.
    new: BTreeSet<Key>,
    /// The entries that have changed and may have to be quarantined.
    undecided: BTreeSet<Key>,
}

/// What is decided about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Quarantined,
    /// Not until it crashes another server.
    Suspect,
    /// Not until all routers have reported the last crash.
    Undecided,
}

#[derive(Debug)]
struct Suspect {
    crashes: Vec<Crash>,
    completed_at: Option<Instant>,
    expires_at: Instant,
    /// A quarantine lasts until it expires, whatever is reported later.
    is_quarantined: bool,
    version: Version,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    site: CrashSite,
    reported_at: Instant,
}

impl Suspects {
    /// Merges an entry reported by one of this hub's routers.
    pub(crate) fn merge_from_router(&mut self, now: Instant, version: Version, row: QuarantineRow) {
        let key = (row.pool, row.entry.request_hash);
        if self.merge(now, version, row) {
            self.new.insert(key);
        }
    }

    /// Merges an entry; returns whether it changed what is known.
    pub(crate) fn merge(&mut self, now: Instant, version: Version, row: QuarantineRow) -> bool {
        let key = (row.pool, row.entry.request_hash);
        if row.entry.crashes.is_empty() && !self.entries.contains_key(&key) {
            return false;
        }
        if self.entries.len() >= SUSPECTS_MAX && !self.entries.contains_key(&key) {
            self.drop_first_to_expire();
        }
        let log = self.crashes.entry(row.pool).or_default();
        row.entry.crashes.iter().for_each(|it| log.record(now, *it));
        let entry = self.entries.entry(key).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            completed_at: None,
            expires_at: now,
            is_quarantined: false,
            version,
        });
        let has_changed = entry.merge(now, &row.entry);
        if has_changed {
            entry.version = version;
            self.undecided.insert(key);
        }
        has_changed
    }

    /// Quarantines the suspects that are found to crash servers; `version` is the hub's.
    pub(crate) fn decide(&mut self, now: Instant, version: Version) {
        for key in std::mem::take(&mut self.undecided) {
            match self.verdict(now, key) {
                Verdict::Quarantined => {
                    if let Some(entry) = self.entries.get_mut(&key) {
                        entry.is_quarantined = true;
                        entry.version = version;
                    }
                }
                Verdict::Suspect => {}
                Verdict::Undecided => {
                    self.undecided.insert(key);
                }
            }
        }
    }

    /// Of several requests that were on the same crashed servers, only one need have caused the
    /// crashes, so these need another crash each.
    fn verdict(&self, now: Instant, key: Key) -> Verdict {
        let (Some(entry), Some(log)) = (self.entries.get(&key), self.crashes.get(&key.0)) else {
            return Verdict::Suspect;
        };
        let (sites, proof) = (entry.sites(), Proof::of(entry.completed_at));
        if log.crashes_left(&sites, proof) > 0 || entry.is_quarantined {
            return Verdict::Suspect;
        }
        let others = self.entries.iter().filter(|(other, _)| other.0 == key.0 && **other != key);
        let shared = others.map(|it| it.1.crashes.iter().filter(|it| sites.contains(&it.site)));
        let shared_max = shared.map(Iterator::count).max().unwrap_or(0);
        let is_alone = shared_max == 0 && !log.has_others_near(&sites);
        if log.is_certain(&sites, proof) || is_alone {
            return Verdict::Quarantined;
        }
        let last_report = entry.crashes.iter().map(|it| it.reported_at).max();
        match last_report.is_some_and(|it| now < it + REPORT_TIME) {
            true => Verdict::Undecided,
            false if shared_max >= sites.len() => Verdict::Suspect,
            false => Verdict::Quarantined,
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, it| it.expires_at > now);
    }

    /// The quarantined requests whose entry has changed since `held`.
    pub(crate) fn quarantined_since(&self, now: Instant, held: Version) -> Vec<QuarantineRow> {
        let quarantined = self.entries.iter().filter(|it| it.1.is_quarantined);
        let changed = quarantined.filter(|it| it.1.version > held);
        changed.map(|(key, it)| it.row(now, *key)).collect()
    }

    /// The latest quarantined requests.
    pub(crate) fn quarantined(&self, now: Instant) -> Vec<QuarantineRow> {
        let unexpired = self.entries.iter().filter(|it| it.1.expires_at > now);
        let mut quarantined: Vec<_> = unexpired.filter(|it| it.1.is_quarantined).collect();
        quarantined.sort_by_key(|it| std::cmp::Reverse(it.1.expires_at));
        quarantined.truncate(REPEATED_MAX);
        quarantined.into_iter().map(|(key, it)| it.row(now, *key)).collect()
    }

    pub(crate) fn take_new(&mut self, now: Instant) -> Vec<QuarantineRow> {
        let new = std::mem::take(&mut self.new);
        let known = new.into_iter().filter_map(|key| Some((key, self.entries.get(&key)?)));
        known.map(|(key, it)| it.row(now, key)).collect()
    }

    fn drop_first_to_expire(&mut self) {
        let first = self.entries.iter().min_by_key(|it| (it.1.is_quarantined, it.1.expires_at));
        if let Some(key) = first.map(|it| *it.0) {
            self.entries.remove(&key);
        }
    }
}

impl Suspect {
    /// Merges by the union of the crash sites, as the routers do. Crashes before the latest known
    /// completion of the request do not count.
    fn merge(&mut self, now: Instant, reported: &QuarantineEntry) -> bool {
        let (crashes, completed_at) = (self.crashes.len(), self.completed_at);
        for site in &reported.crashes {
            if !self.crashes.iter().any(|it| it.site == *site) {
                self.crashes.push(Crash { site: *site, reported_at: now });
            }
        }
        self.expires_at = self.expires_at.max(now + Duration::from_millis(reported.ttl_ms));
        if self.is_quarantined {
            return self.crashes.len() != crashes;
        }
        if reported.is_confirmed {
            self.is_quarantined = true;
            return true;
        }
        let age = reported.completed_ms_ago.map(Duration::from_millis);
        self.completed_at = self.completed_at.max(age.and_then(|it| now.checked_sub(it)));
        if let Some(completed_at) = self.completed_at {
            self.crashes.retain(|it| it.reported_at >= completed_at);
        }
        self.crashes.len() != crashes || self.completed_at != completed_at
    }

    fn sites(&self) -> Vec<CrashSite> {
        self.crashes.iter().map(|it| it.site).collect()
    }

    fn entry(&self, now: Instant, request_hash: u64) -> QuarantineEntry {
        let since = |it: Instant| now.saturating_duration_since(it).as_millis() as u64;
        QuarantineEntry {
            request_hash,
            crashes: self.sites(),
            completed_ms_ago: self.completed_at.map(since),
            is_confirmed: self.is_quarantined,
            ttl_ms: self.expires_at.saturating_duration_since(now).as_millis() as u64,
        }
    }

    fn row(&self, now: Instant, (pool, request_hash): Key) -> QuarantineRow {
        QuarantineRow { pool, entry: self.entry(now, request_hash) }
    }
}
