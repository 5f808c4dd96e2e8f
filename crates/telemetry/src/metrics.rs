//! Text form of the metrics, and those that every daemon has.

use std::fs;

use prometheus::{
    IntGauge, Registry, TextEncoder,
    core::{Collector, Desc},
    proto::MetricFamily,
};

/// The size of a page of memory that the kernel counts in, in bytes.
const PAGE_BYTES: i64 = 4096;

/// The place of the resident size in `/proc/self/statm`.
const RESIDENT_FIELD: usize = 1;

/// Writes all metrics of `registry` in the text format that scrapers read.
pub fn render_metrics(registry: &Registry) -> String {
    TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
}

/// Adds the resident memory of the process to `registry`.
///
/// # Errors
///
/// If the registry holds it already.
pub fn register_process_metrics(registry: &Registry) -> prometheus::Result<()> {
    registry.register(Box::new(ResidentMemory::new()?))
}

struct ResidentMemory {
    gauge: IntGauge,
}

impl ResidentMemory {
    fn new() -> prometheus::Result<Self> {
        let gauge = IntGauge::new("process_resident_memory_bytes", "Resident memory in bytes.")?;
        Ok(ResidentMemory { gauge })
    }
}

impl Collector for ResidentMemory {
    fn desc(&self) -> Vec<&Desc> {
        self.gauge.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.gauge.set(resident_bytes().unwrap_or(0));
        self.gauge.collect()
    }
}

fn resident_bytes() -> Option<i64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = statm.split_whitespace().nth(RESIDENT_FIELD)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
