//! The duties in the status that a control VM reports to operators.

use serde::Serialize;

use crate::replica::Replica;

/// The last windows that the status names.
const WINDOWS_MAX: usize = 8;

/// Who holds the duties, and the last windows of usage, as of the last entry applied here.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct DutyReport {
    /// The VM that acquired the newest fencing token.
    duty_holder: String,
    fencing_token: u64,
    /// From the newest to the oldest.
    usage_windows: Vec<WindowReport>,
}

/// A settled window of usage.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WindowReport {
    window: u64,
    requests: u64,
    /// Whether its report was accepted, or given up.
    is_closed: bool,
}

impl DutyReport {
    pub(crate) fn new(replica: &Replica) -> DutyReport {
        let windows = replica.settled_usage().into_iter().take(WINDOWS_MAX);
        let windows = windows.map(|(report, is_closed)| WindowReport {
            window: report.window.0,
            requests: report.counts.values().sum(),
            is_closed,
        });
        DutyReport {
            duty_holder: replica.fencing_holder(),
            fencing_token: replica.fencing_token(),
            usage_windows: windows.collect(),
        }
    }
}
