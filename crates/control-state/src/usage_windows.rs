//! The settled usage of each window, which every holder of the metering duty reports alike.

use std::collections::BTreeMap;

use duties::{UsageReport, WindowId};
use serde::{Deserialize, Serialize};

use crate::UsageAnswer;

/// The maximum number of windows that are kept; older ones can neither be settled nor sent any more.
pub const USAGE_WINDOWS_MAX: usize = 64;

/// The settled windows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct UsageWindows {
    windows: BTreeMap<WindowId, SettledWindow>,
    /// Windows up to this one have been dropped.
    dropped: Option<WindowId>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct SettledWindow {
    counts: BTreeMap<String, u64>,
    is_closed: bool,
}

impl UsageWindows {
    /// Settles a window unless it is settled already; returns the report in force.
    pub(crate) fn settle(&mut self, report: UsageReport) -> UsageAnswer {
        let window = report.window;
        if self.dropped.is_some_and(|it| window <= it) {
            return UsageAnswer::TooOld;
        }
        let settled = SettledWindow { counts: report.counts, is_closed: false };
        let counts = self.windows.entry(window).or_insert(settled).counts.clone();
        while self.windows.len() > USAGE_WINDOWS_MAX {
            self.dropped = self.windows.pop_first().map(|it| it.0);
        }
        UsageAnswer::Settled(UsageReport { window, counts })
    }

    /// Records that a window needs no further report.
    pub(crate) fn close(&mut self, window: WindowId) {
        if let Some(settled) = self.windows.get_mut(&window) {
            settled.is_closed = true;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    pub(crate) fn is_settled(&self, window: WindowId) -> bool {
        self.windows.contains_key(&window) || self.dropped.is_some_and(|it| window <= it)
    }

    /// The settled windows that have not been reported, from the oldest to the newest.
    pub(crate) fn open(&self) -> impl Iterator<Item = UsageReport> {
        self.all().filter(|(_, is_closed)| !is_closed).map(|it| it.0)
    }

    /// The settled windows that are kept, from the oldest to the newest, and whether they are closed.
    pub(crate) fn all(&self) -> impl DoubleEndedIterator<Item = (UsageReport, bool)> {
        self.windows.iter().map(|(window, it)| {
            (UsageReport { window: *window, counts: it.counts.clone() }, it.is_closed)
        })
    }
}
