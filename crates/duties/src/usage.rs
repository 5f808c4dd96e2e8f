//! Counts of the requests that backend servers begin, by window and workspace.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::UsageReport;

/// The number of a window; window 0 begins with the Unix epoch.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowId(pub u64);

/// The length of all windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLength(pub Duration);

impl WindowLength {
    /// The window that holds a time since the Unix epoch.
    #[must_use]
    pub fn window_at(self, since_epoch: Duration) -> WindowId {
        WindowId((since_epoch.as_millis() / self.0.as_millis().max(1)) as u64)
    }

    /// The end of a window, as time since the Unix epoch.
    #[must_use]
    pub fn end(self, window: WindowId) -> Duration {
        Duration::from_millis((window.0 + 1).saturating_mul(self.0.as_millis() as u64))
    }
}

/// The id of one router process; random, so that a restarted router does not go on with old counts.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CounterId(pub u64);

/// The counts of one window that have changed at a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowId,
    /// The current totals, not the differences, of the workspaces whose counts have changed.
    pub counts: Vec<(String, u64)>,
}

/// The counts of one router that have changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct UsageRows {
    /// The router process.
    pub counter: CounterId,
    /// The windows with changes.
    pub windows: Vec<WindowCounts>,
}

/// Counts the requests that backend servers begin for one router.
#[derive(Debug, Clone)]
pub struct UsageCounter {
    id: CounterId,
    windows: BTreeMap<WindowId, BTreeMap<String, Count>>,
    last_change: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u64,
    /// The number of the change that set it.
    change: u64,
}

impl UsageCounter {
    /// Creates a counter without counts.
    #[must_use]
    pub fn new(id: CounterId) -> UsageCounter {
        UsageCounter { id, windows: BTreeMap::new(), last_change: 0 }
    }

    /// Counts a request of a workspace that a server began in `window`.
    pub fn record(&mut self, window: WindowId, workspace: &str) {
        self.last_change += 1;
        let counts = self.windows.entry(window).or_default();
        let requests = counts.get(workspace).map_or(0, |it| it.requests) + 1;
        counts.insert(workspace.to_owned(), Count { requests, change: self.last_change });
    }

    /// The number of the last change; each recorded request is one.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The counts that have changed since the change `known`; `None` if there are none.
    #[must_use]
    pub fn changes_since(&self, known: u64) -> Option<UsageRows> {
        let windows = self.windows.iter().filter_map(|(window, counts)| {
            let changed = counts.iter().filter(|(_, it)| it.change > known);
            let counts: Vec<_> = changed.map(|(name, it)| (name.clone(), it.requests)).collect();
            (!counts.is_empty()).then_some(WindowCounts { window: *window, counts })
        });
        let windows: Vec<_> = windows.collect();
        (!windows.is_empty()).then_some(UsageRows { counter: self.id, windows })
    }

    /// Forgets the windows before `window`.
    pub fn forget_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}

/// The counts of all routers, merged by maximum, so that a repetition changes nothing.
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowId, BTreeMap<(CounterId, String), u64>>,
}

impl UsageLedger {
    /// Merges the counts of a router.
    pub fn merge(&mut self, rows: &UsageRows) {
        for window in &rows.windows {
            let known = self.windows.entry(window.window).or_default();
            for (workspace, count) in &window.counts {
                let known = known.entry((rows.counter, workspace.clone())).or_default();
                *known = (*known).max(*count);
            }
        }
    }

    /// The sums of a window over all routers, by workspace.
    #[must_use]
    pub fn totals(&self, window: WindowId) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for ((_, workspace), count) in self.windows.get(&window).into_iter().flatten() {
            *totals.entry(workspace.clone()).or_default() += count;
        }
        totals
    }

    /// The counts of all routers in a window, as rows to merge elsewhere.
    #[must_use]
    pub fn rows(&self, window: WindowId) -> Vec<UsageRows> {
        let mut by_router: BTreeMap<CounterId, Vec<(String, u64)>> = BTreeMap::new();
        for ((counter, workspace), count) in self.windows.get(&window).into_iter().flatten() {
            by_router.entry(*counter).or_default().push((workspace.clone(), *count));
        }
        let rows = by_router.into_iter().map(|(counter, counts)| UsageRows {
            counter,
            windows: vec![WindowCounts { window, counts }],
        });
        rows.collect()
    }

    /// How many of the requests counted here are missing from a settled report.
    #[must_use]
    pub fn missing_from(&self, report: &UsageReport) -> u64 {
        let totals = self.totals(report.window).into_iter();
        let missing = totals.map(|(workspace, count)| {
            count.saturating_sub(report.counts.get(&workspace).copied().unwrap_or_default())
        });
        missing.sum()
    }

    /// The windows with counts, from the oldest to the newest.
    pub fn windows(&self) -> impl Iterator<Item = WindowId> {
        self.windows.keys().copied()
    }

    /// Forgets the windows before `window`.
    pub fn forget_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}
