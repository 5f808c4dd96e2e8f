//! The text format of the metrics, and the metrics that every daemon exports.

use std::fs;

use prometheus::{
    IntGauge, Registry, TextEncoder,
    core::{Collector, Desc},
    proto::MetricFamily,
};

use crate::{containment::contained_panics, logs::dropped_lines};

/// The size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: i64 = 4096;

/// The index of the resident size in `/proc/self/statm`.
const RESIDENT_FIELD_IDX: usize = 1;

/// Renders all metrics of `registry` in the Prometheus text format.
pub fn render_metrics(registry: &Registry) -> String {
    TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
}

/// Registers gauges of the resident memory of the process, of the dropped lines of its log and of the
/// panics that ended one of its tasks.
///
/// # Errors
///
/// If `registry` already contains them.
pub fn register_process_metrics(registry: &Registry) -> prometheus::Result<()> {
    let resident = ("process_resident_memory_bytes", "Resident memory in bytes.");
    let dropped = ("log_lines_dropped", "Lines of the log that were dropped.");
    register_gauge(registry, resident, || resident_bytes().unwrap_or(0))?;
    let panics = ("tasks_panicked", "Panics that ended the task of one connection or call.");
    register_gauge(registry, dropped, || dropped_lines() as i64)?;
    register_gauge(registry, panics, || contained_panics() as i64)
}

/// Registers a gauge with a name and a help text, whose value is read when it is scraped.
///
/// # Errors
///
/// If `registry` already contains it.
pub fn register_gauge(
    registry: &Registry,
    (name, help): (&str, &str),
    read: impl Fn() -> i64 + Send + Sync + 'static,
) -> prometheus::Result<()> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(CallbackGauge { gauge, read }))
}

/// A gauge whose value is computed when it is scraped.
struct CallbackGauge<F> {
    gauge: IntGauge,
    read: F,
}

impl<F: Fn() -> i64 + Send + Sync> Collector for CallbackGauge<F> {
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
    let pages: i64 = statm.split_whitespace().nth(RESIDENT_FIELD_IDX)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
