//! The overhead of the router: the latency that it adds, its rate of relayed tokens and its memory
//! per stream.
//!
//! Absolute times depend on the machine, so the added latency is also given as a ratio to a direct
//! call to the same backend server in the same run.

mod experiment;

use std::{fmt::Write, time::Duration};

use serde::{Deserialize, Serialize};

pub use experiment::{Experiment, ExperimentFault, ExperimentSettings};

use crate::report::LatencySummary;

/// The latency of requests through the router compared with direct calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct AddedTime {
    /// Direct calls to the backend server.
    pub direct: LatencySummary,
    /// Calls through the router.
    pub routed: LatencySummary,
    /// The ratio of the routed to the direct median in thousandths.
    pub ratio_permille: u64,
    /// The routed minus the direct median in microseconds.
    pub added_us: i64,
}

impl AddedTime {
    /// Compares two sets of latencies.
    pub fn new(direct: &[Duration], routed: &[Duration]) -> AddedTime {
        let direct = LatencySummary::new(direct.iter().copied());
        let routed = LatencySummary::new(routed.iter().copied());
        let ratio_permille = (routed.p50_us * 1_000).checked_div(direct.p50_us).unwrap_or_default();
        let added_us = routed.p50_us as i64 - direct.p50_us as i64;
        AddedTime { direct, routed, ratio_permille, added_us }
    }
}

/// The rate at which the router relays tokens.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayRate {
    /// The number of concurrent streams.
    pub streams: usize,
    /// Tokens relayed.
    pub tokens: u64,
    /// The elapsed time in milliseconds.
    pub elapsed_ms: u64,
    /// The router's CPU time in milliseconds, if its process id is known.
    pub cpu_ms: Option<u64>,
    /// Tokens per second of the router's CPU time.
    pub tokens_per_core_s: Option<u64>,
}

impl RelayRate {
    /// Computes the rate for `streams` streams.
    pub fn new(streams: usize, tokens: u64, elapsed: Duration, cpu: Option<Duration>) -> RelayRate {
        let per_core = |cpu: Duration| (tokens as f64 / cpu.as_secs_f64()) as u64;
        RelayRate {
            streams,
            tokens,
            elapsed_ms: elapsed.as_millis() as u64,
            cpu_ms: cpu.map(|it| it.as_millis() as u64),
            tokens_per_core_s: cpu.filter(|it| !it.is_zero()).map(per_core),
        }
    }
}

/// The memory used by open streams.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StreamMemory {
    /// Streams that were open when memory was read.
    pub streams: usize,
    /// The resident set without streams, in KiB.
    pub rss_before_kib: u64,
    /// The resident set with the streams open, in KiB.
    pub rss_open_kib: u64,
    /// The growth of the resident set per stream in bytes.
    pub bytes_per_stream: u64,
}

impl StreamMemory {
    /// Computes the growth per stream for `streams` streams.
    pub fn new(streams: usize, rss_before_kib: u64, rss_open_kib: u64) -> StreamMemory {
        let growth_bytes = rss_open_kib.saturating_sub(rss_before_kib) * 1_024;
        let bytes_per_stream = growth_bytes.checked_div(streams as u64).unwrap_or_default();
        StreamMemory { streams, rss_before_kib, rss_open_kib, bytes_per_stream }
    }
}

/// The result of the overhead experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OverheadReport {
    /// The added latency.
    pub added_time: AddedTime,
    /// The relay rate.
    pub relay: RelayRate,
    /// The memory at each number of streams.
    pub memory: Vec<StreamMemory>,
}

impl OverheadReport {
    /// Formats the report as plain text.
    pub fn table(&self) -> String {
        let time = &self.added_time;
        let mut text = format!(
            "median direct     {} us\nmedian routed     {} us\nratio             {}.{:03}\n",
            time.direct.p50_us,
            time.routed.p50_us,
            time.ratio_permille / 1_000,
            time.ratio_permille % 1_000,
        );
        let relay = &self.relay;
        let tokens_per_s = (relay.tokens * 1_000).checked_div(relay.elapsed_ms).unwrap_or_default();
        push_line(&mut text, format_args!("tokens relayed    {tokens_per_s} a second"));
        if let Some(rate) = relay.tokens_per_core_s {
            push_line(&mut text, format_args!("tokens relayed    {rate} a second of one core"));
        }
        for memory in &self.memory {
            let StreamMemory { streams, bytes_per_stream, .. } = memory;
            push_line(
                &mut text,
                format_args!("memory a stream   {bytes_per_stream} bytes at {streams}"),
            );
        }
        text
    }
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}
