//! The rate limits of servers, as the routers of all hubs reported them.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::{Duration, Instant},
};

use policy::{LimitChange, LimitEntry, LimitStatement, RequestRate, ServerHash};

use crate::Version;

/// The largest number of servers whose limits a hub knows; beyond it, the oldest is dropped.
const LIMITS_MAX: usize = 4_096;
/// A limit of which nothing was heard for this long is not repeated to the other hubs.
const REPEATED_AGE_MAX: Duration = Duration::from_secs(60);
/// The largest number of limits that a hub repeats to the other hubs.
const REPEATED_MAX: usize = 64;

/// The limits known to a hub.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    servers: BTreeMap<ServerHash, Known>,
    /// The servers whose limit this hub's routers have changed since they were last taken.
    new: BTreeSet<ServerHash>,
}

#[derive(Debug)]
struct Known {
    statement: LimitStatement,
    version: Version,
}

impl Limits {
    /// Merges a statement reported by one of this hub's routers.
    pub(crate) fn merge_from_router(&mut self, now: Instant, version: Version, entry: &LimitEntry) {
        match self.merge(now, version, entry) {
            LimitChange::Changed => {
                self.new.insert(entry.server);
            }
            // The router learns what is known here.
            LimitChange::Outdated => self.touch(entry.server, version),
            LimitChange::Unchanged => {}
        }
    }

    /// Merges a statement reported by another hub.
    pub(crate) fn merge_from_hub(&mut self, now: Instant, version: Version, entry: &LimitEntry) {
        if self.merge(now, version, entry) == LimitChange::Outdated {
            self.new.insert(entry.server);
        }
    }

    fn merge(&mut self, now: Instant, version: Version, entry: &LimitEntry) -> LimitChange {
        if self.servers.len() >= LIMITS_MAX && !self.servers.contains_key(&entry.server) {
            self.drop_oldest();
        }
        let statement = entry.statement(now);
        match self.servers.entry(entry.server) {
            Entry::Vacant(vacant) => {
                vacant.insert(Known { statement, version });
                LimitChange::Changed
            }
            Entry::Occupied(mut known) => {
                let known = known.get_mut();
                let change = known.statement.merge(statement);
                if change == LimitChange::Changed {
                    known.version = version;
                }
                change
            }
        }
    }

    /// The limit of a server, if it has one.
    pub(crate) fn rate(&self, server: ServerHash) -> Option<RequestRate> {
        self.servers.get(&server)?.statement.rate
    }

    /// The limits that have changed since `held`.
    pub(crate) fn since(&self, now: Instant, held: Version) -> Vec<LimitEntry> {
        let changed = self.servers.iter().filter(|(_, it)| it.version > held);
        changed.map(|(server, it)| LimitEntry::new(*server, it.statement, now)).collect()
    }

    /// The limits of which was heard last.
    pub(crate) fn latest(&self, now: Instant) -> Vec<LimitEntry> {
        let recent = self.servers.iter().filter(|(_, it)| now < it.statement.at + REPEATED_AGE_MAX);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(_, it)| std::cmp::Reverse(it.statement.at));
        recent.truncate(REPEATED_MAX);
        let entries = recent.into_iter();
        entries.map(|(server, it)| LimitEntry::new(*server, it.statement, now)).collect()
    }

    pub(crate) fn take_new(&mut self, now: Instant) -> Vec<LimitEntry> {
        let new = std::mem::take(&mut self.new).into_iter();
        let known = new.filter_map(|it| Some((it, self.servers.get(&it)?.statement)));
        known.map(|(server, statement)| LimitEntry::new(server, statement, now)).collect()
    }

    fn touch(&mut self, server: ServerHash, version: Version) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.version = version;
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.servers.iter().min_by_key(|(_, it)| it.statement.at).map(|it| *it.0);
        if let Some(server) = oldest {
            self.servers.remove(&server);
        }
    }
}
