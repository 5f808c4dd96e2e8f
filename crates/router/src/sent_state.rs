//! What a router has sent to the hub, so that each summary has only what has changed.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    net::SocketAddr,
};

use dissemination::{
    BegunStreams, CrashRows, MemberState, PartRow, PoolHash, QuarantineRow, Sender,
    ServerObservation, Summary,
};
use duties::UsageRows;
use policy::{CrashSite, LimitEntry, PartEntry, QuarantineEntry, RequestRate, ServerHash};
use tables::Tables;

use crate::{dispatch::Dispatcher, stream_origins::StreamOrigins, usage::Usage};

/// The state that was sent to the hub since it started.
#[derive(Debug, Clone, Default)]
struct SentState {
    epoch: u64,
    observations: BTreeMap<SocketAddr, ServerObservation>,
    /// The crash sites of each suspect.
    suspects: BTreeMap<(PoolHash, u64), Vec<CrashSite>>,
    /// The stamp of the last report on parts of prompts, by pool.
    part_stamps: BTreeMap<PoolHash, u64>,
    /// The rate limit of each server that ever had one.
    limits: BTreeMap<ServerHash, Option<RequestRate>>,
    /// The last record of a stream that began here.
    last_stream: u64,
    /// The last change of the usage.
    last_usage_change: u64,
}

/// The state that the hub has acknowledged by its answers.
#[derive(Debug, Default)]
pub(crate) struct SentToHub {
    /// The state as of the last summary that the hub has answered.
    acknowledged: RefCell<SentState>,
    /// The state as of the last summary, which the hub has not answered yet. Without an answer it
    /// is sent again.
    pending: RefCell<SentState>,
}

impl SentToHub {
    /// Begins a summary. A hub that has restarted or no longer knows this router needs the complete
    /// state.
    pub(crate) fn begin(&self, state: &MemberState, empty: &Summary) {
        let is_known = matches!(empty.from, Sender::Idx(_));
        if !is_known || self.acknowledged.borrow().epoch != state.epoch() {
            self.acknowledged.replace(SentState { epoch: state.epoch(), ..SentState::default() });
        }
        self.pending.replace(self.acknowledged.borrow().clone());
    }

    /// Records that the hub has answered the summary.
    pub(crate) fn acknowledge(&self) {
        self.acknowledged.replace(self.pending.borrow().clone());
    }

    /// Records an observation in the summary; returns whether it is new to the hub.
    pub(crate) fn add_observation(&self, observation: ServerObservation) -> bool {
        let mut pending = self.pending.borrow_mut();
        pending.observations.insert(observation.addr, observation) != Some(observation)
    }

    /// The suspects that are new to the hub, have new crashes or were cleared.
    pub(crate) fn new_suspects(&self, dispatcher: &Dispatcher) -> Vec<QuarantineRow> {
        let exported = dispatcher.export_quarantine();
        let rows = exported.pools.into_iter().flat_map(|(pool, entries)| {
            let pool = PoolHash::of(&pool);
            entries.into_iter().map(move |entry| QuarantineRow { pool, entry })
        });
        let rows: Vec<_> = rows.collect();
        let known = &mut self.pending.borrow_mut().suspects;
        let exported: BTreeSet<_> = rows.iter().map(suspect_key).collect();
        known.retain(|it, _| exported.contains(it));
        rows.into_iter().filter(|it| is_new(known, it)).collect()
    }

    /// The parts of prompts that have changed since the hub acknowledged a summary.
    pub(crate) fn changed_parts(&self, dispatcher: &Dispatcher) -> Vec<PartRow> {
        let stamps = &mut self.pending.borrow_mut().part_stamps;
        let mut rows = Vec::new();
        for pool in dispatcher.pools() {
            let hash = PoolHash::of(&pool);
            let stamp = stamps.entry(hash).or_default();
            let report = dispatcher.part_reports(&pool, *stamp);
            *stamp = report.stamp;
            rows.extend(report.entries.into_iter().map(|entry| PartRow { pool: hash, entry }));
        }
        rows
    }

    /// The rate limits that have changed since the hub acknowledged a summary.
    pub(crate) fn changed_limits(&self, dispatcher: &Dispatcher) -> Vec<LimitEntry> {
        let sent = &mut self.pending.borrow_mut().limits;
        let entries = dispatcher.limit_entries();
        let known: BTreeSet<_> = entries.iter().map(|it| it.server).collect();
        sent.retain(|it, _| known.contains(it));
        let changed = entries.into_iter();
        changed.filter(|it| sent.insert(it.server, it.rate) != Some(it.rate)).collect()
    }

    /// The streams that have begun here since the hub acknowledged a summary.
    pub(crate) fn begun_streams(&self, streams: &StreamOrigins) -> Vec<BegunStreams> {
        let last = &mut self.pending.borrow_mut().last_stream;
        let known = std::mem::replace(last, streams.last_record());
        streams.begun_since(known)
    }

    /// The usage that has changed since the hub acknowledged a summary.
    pub(crate) fn changed_usage(&self, usage: &Usage) -> Option<UsageRows> {
        let last = &mut self.pending.borrow_mut().last_usage_change;
        let known = std::mem::replace(last, usage.last_change());
        usage.changes_since(known)
    }

    /// Applies the hub's news of rate limits and the permits that it grants. What this router knows
    /// better is sent again.
    pub(crate) fn import_limits(&self, dispatcher: &Dispatcher, state: &MemberState) {
        for server in dispatcher.import_limits(state.new_limits()) {
            self.acknowledged.borrow_mut().limits.remove(&server);
        }
        dispatcher.grant_permits(state.permits());
    }

    /// Applies what the hub has sent about requests and parts of prompts that crash servers.
    pub(crate) fn import(&self, dispatcher: &Dispatcher, tables: &Tables, rows: &CrashRows) {
        for pool in &tables.pools {
            let hash = PoolHash::of(&pool.name);
            let requests = rows.requests.iter().filter(|it| it.pool == hash);
            let requests: Vec<QuarantineEntry> = requests.map(|it| it.entry.clone()).collect();
            if !requests.is_empty() {
                dispatcher.import_entries(&pool.name, &requests);
            }
            let parts = rows.parts.iter().filter(|it| it.pool == hash);
            let parts: Vec<PartEntry> = parts.map(|it| it.entry.clone()).collect();
            if !parts.is_empty() {
                dispatcher.import_parts(&pool.name, &parts);
            }
        }
    }
}

fn suspect_key(row: &QuarantineRow) -> (PoolHash, u64) {
    (row.pool, row.entry.request_hash)
}

fn is_new(known: &mut BTreeMap<(PoolHash, u64), Vec<CrashSite>>, row: &QuarantineRow) -> bool {
    match known.entry(suspect_key(row)) {
        // The hub does not know a suspect that was cleared before it was sent.
        Entry::Vacant(_) if row.entry.crashes.is_empty() => false,
        Entry::Vacant(entry) => {
            entry.insert(row.entry.crashes.clone());
            true
        }
        Entry::Occupied(entry) if *entry.get() == row.entry.crashes => false,
        Entry::Occupied(mut entry) => {
            entry.insert(row.entry.crashes.clone());
            true
        }
    }
}
