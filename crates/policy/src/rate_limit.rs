//! The rate of requests that a backend server says it takes from all routers together.

use serde::{Deserialize, Serialize};

const MILLI: f64 = 1e3;

/// Requests per second, kept in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate {
    millirequests_per_s: u32,
}

impl RequestRate {
    /// The rate of so many requests per second; `None` if that is no rate. Very large ones are reduced
    /// to the largest that can be represented.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<RequestRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        // A cast to an integer saturates.
        Some(RequestRate { millirequests_per_s: (per_second * MILLI).round() as u32 })
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.millirequests_per_s) / MILLI
    }
}
