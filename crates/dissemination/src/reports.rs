//! The latest reports of several senders, and their sums.

use std::{
    collections::BTreeMap,
    ops::AddAssign,
    time::{Duration, Instant},
};

/// The latest report of each sender: a value for each key.
#[derive(Debug)]
pub(crate) struct LatestReports<S, K, V> {
    ttl: Duration,
    reports: BTreeMap<S, Report<K, V>>,
}

#[derive(Debug)]
struct Report<K, V> {
    received_at: Instant,
    rows: Vec<(K, V)>,
}

impl<S: Copy + Ord, K: Copy + Ord, V: Copy + Default + PartialEq + AddAssign>
    LatestReports<S, K, V>
{
    /// No reports yet; each one counts for so long.
    pub(crate) fn new(ttl: Duration) -> LatestReports<S, K, V> {
        LatestReports { ttl, reports: BTreeMap::new() }
    }

    /// Replaces the report of a sender.
    pub(crate) fn update(&mut self, now: Instant, from: S, rows: Vec<(K, V)>) {
        self.reports.insert(from, Report { received_at: now, rows });
    }

    /// The sums by key, without the sender `excluded`.
    pub(crate) fn sums(&mut self, now: Instant, excluded: Option<S>) -> BTreeMap<K, V> {
        self.reports.retain(|_, it| now < it.received_at + self.ttl);
        let reports = self.reports.iter().filter(|(from, _)| Some(**from) != excluded);
        let rows = reports.flat_map(|(_, it)| &it.rows).filter(|it| it.1 != V::default());
        let mut sums = BTreeMap::new();
        for (key, value) in rows {
            *sums.entry(*key).or_insert_with(V::default) += *value;
        }
        sums
    }
}
