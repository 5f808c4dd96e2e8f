//! Latency distributions, computed with an HDR histogram.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const LATENCY_MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The shares of requests, in thousandths, of the points of a curve.
const CURVE_PERMILLE: [u64; 15] =
    [0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 950, 975, 990, 999, 1_000];

/// A point of a latency distribution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CurvePoint {
    /// The share of requests at or below the latency, in thousandths.
    pub permille: u64,
    /// The latency in microseconds.
    pub latency_us: u64,
}

/// A latency distribution with three significant digits.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LatencySummary {
    /// The number of values.
    pub count: u64,
    /// The median in microseconds.
    pub p50_us: u64,
    /// The 95th percentile in microseconds.
    pub p95_us: u64,
    /// The 99th percentile in microseconds.
    pub p99_us: u64,
    /// The maximum in microseconds.
    pub max_us: u64,
    /// Points of the cumulative distribution, for plots.
    pub curve: Vec<CurvePoint>,
}

impl LatencySummary {
    /// Summarizes `latencies`. Values above one hour count as one hour.
    pub fn new(latencies: impl IntoIterator<Item = Duration>) -> LatencySummary {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid");
        for latency in latencies {
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
            histogram.saturating_record(latency_us);
        }
        if histogram.is_empty() {
            return LatencySummary::default();
        }
        LatencySummary {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.50),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
            curve: CURVE_PERMILLE.iter().map(|it| curve_point(&histogram, *it)).collect(),
        }
    }
}

fn curve_point(histogram: &Histogram<u64>, permille: u64) -> CurvePoint {
    let latency_us = histogram.value_at_quantile(permille as f64 / 1_000.0);
    CurvePoint { permille, latency_us }
}
