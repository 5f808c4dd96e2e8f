//! Parts of prompts that may crash servers, as the routers of all hubs reported them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use policy::{PartChange, PartSuspects};

use crate::{PartRow, PoolHash, Version};

/// The largest number of refused parts that a hub repeats to the other hubs.
const REPEATED_MAX: usize = 64;

/// The parts known to a hub.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    pools: BTreeMap<PoolHash, PartSuspects>,
    /// The parts that this hub or its routers have changed since they were last taken.
    new: BTreeSet<(PoolHash, u64)>,
}

impl Parts {
    /// Merges a row reported by one of this hub's routers.
    pub(crate) fn merge_from_router(&mut self, now: Instant, version: Version, row: &PartRow) {
        if self.merge(now, version, row) {
            self.new.insert((row.pool, row.entry.part));
        }
    }

    /// Merges a row; returns whether it changed what is known.
    pub(crate) fn merge(&mut self, now: Instant, version: Version, row: &PartRow) -> bool {
        let suspects = self.pools.entry(row.pool).or_default();
        suspects.set_stamp(version.0);
        suspects.merge(now, &row.entry)
    }

    /// Refuses the parts that are found to crash servers; `version` is the hub's.
    pub(crate) fn decide(&mut self, now: Instant, version: Version) {
        for (pool, suspects) in &mut self.pools {
            suspects.set_stamp(version.0);
            suspects.decide(now);
            for change in suspects.take_changes() {
                let (PartChange::Refused { part, .. } | PartChange::Cleared { part }) = change;
                self.new.insert((*pool, part));
            }
        }
    }

    /// What the routers need to know and has changed since `held`.
    pub(crate) fn notices_since(&self, now: Instant, held: Version) -> Vec<PartRow> {
        let notices = self.pools.iter().flat_map(|(pool, suspects)| {
            let entries = suspects.notices_after(now, held.0).into_iter();
            entries.map(|entry| PartRow { pool: *pool, entry })
        });
        notices.collect()
    }

    /// The parts that were refused last.
    pub(crate) fn refused(&self, now: Instant) -> Vec<PartRow> {
        let refused = self.pools.iter().flat_map(|(pool, suspects)| {
            let entries = suspects.refused(now).into_iter();
            entries.map(|entry| PartRow { pool: *pool, entry })
        });
        refused.take(REPEATED_MAX).collect()
    }

    pub(crate) fn take_new(&mut self, now: Instant) -> Vec<PartRow> {
        let new = std::mem::take(&mut self.new).into_iter();
        let rows = new.filter_map(|(pool, part)| {
            let entry = self.pools.get(&pool)?.entry(now, part)?;
            Some(PartRow { pool, entry })
        });
        rows.collect()
    }
}
