//! Text form of the metrics, and those that every daemon has.

use std::fs;

use prometheus::{
    IntGauge, Registry, TextEncoder,
    core::{Collector, Desc},
    proto::MetricFamily,
};

use crate::logs::dropped_lines;

/// The size of a page of memory that the kernel counts in, in bytes.
const PAGE_BYTES: i64 = 4096;

/// The place of the resident size in `/proc/self/statm`.
const RESIDENT_FIELD: usize = 1;

/// Writes all metrics of `registry` in the text format that scrapers read.
pub fn render_metrics(registry: &Registry) -> String {
    TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
}

/// Adds the resident memory of the process and the dropped lines of its log to `registry`.
///
/// # Errors
///
/// If the registry holds them already.
pub fn register_process_metrics(registry: &Registry) -> prometheus::Result<()> {
    let resident = ("process_resident_memory_bytes", "Resident memory in bytes.");
    let dropped = ("log_lines_dropped", "Lines of the log that were dropped.");
    registry.register(Box::new(ReadGauge::new(resident, || resident_bytes().unwrap_or(0))?))?;
    registry.register(Box::new(ReadGauge::new(dropped, || dropped_lines() as i64)?))
}

/// A gauge whose value is read when it is asked for.
struct ReadGauge {
    gauge: IntGauge,
    read: fn() -> i64,
}

impl ReadGauge {
    fn new((name, help): (&str, &str), read: fn() -> i64) -> prometheus::Result<Self> {
        Ok(ReadGauge { gauge: IntGauge::new(name, help)?, read })
    }
}

impl Collector for ReadGauge {
    fn desc(&self) -> Vec<&Desc> {
        self.gauge.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.gauge.set((self.read)());
        self.gauge.collect()
    }
}

fn resident_bytes() -> Option<i64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = statm.split_whitespace().nth(RESIDENT_FIELD)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
