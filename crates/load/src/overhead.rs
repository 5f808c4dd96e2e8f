//! What the router costs: the time that it adds, the tokens that it relays and the memory that a
//! stream takes.
//!
//! Absolute times depend on the machine, so the added time is given as a ratio to a direct call
//! of the same backend server in the same run.

mod experiment;

use std::{fmt::Write, time::Duration};

use serde::{Deserialize, Serialize};

pub use experiment::{Experiment, ExperimentFault, ExperimentSettings};

use crate::report::LatencySummary;

/// The time of a request through the router beside that of a direct call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct AddedTime {
    /// Direct calls to the backend server.
    pub direct: LatencySummary,
    /// Calls through the router.
    pub routed: LatencySummary,
    /// The median through the router over the median of direct calls, in thousandths.
    pub ratio_permille: u64,
    /// The difference of the two medians in microseconds.
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

/// The rate at which tokens pass.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayRate {
    /// Streams that ran at once.
    pub streams: usize,
    /// Tokens relayed.
    pub tokens: u64,
    /// The time that it took, in milliseconds.
    pub elapsed_ms: u64,
    /// The router's processor time in milliseconds, where its process was given.
    pub cpu_ms: Option<u64>,
    /// Tokens for each second of the router's processor time.
    pub tokens_per_core_s: Option<u64>,
}

impl RelayRate {
    /// Works out the rate for `streams` streams.
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

/// The memory that open streams take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StreamMemory {
    /// Streams that were open when the memory was read.
    pub streams: usize,
    /// The resident set without streams, in KiB.
    pub rss_before_kib: u64,
    /// The resident set with them, in KiB.
    pub rss_open_kib: u64,
    /// The growth for each stream, in bytes.
    pub bytes_per_stream: u64,
}

impl StreamMemory {
    /// Works out the growth for each of `streams` streams.
    pub fn new(streams: usize, rss_before_kib: u64, rss_open_kib: u64) -> StreamMemory {
        let grown = rss_open_kib.saturating_sub(rss_before_kib) * 1_024;
        let bytes_per_stream = grown.checked_div(streams as u64).unwrap_or_default();
        StreamMemory { streams, rss_before_kib, rss_open_kib, bytes_per_stream }
    }
}

/// The result of the experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OverheadReport {
    /// The added time.
    pub added_time: AddedTime,
    /// The relay rate.
    pub relay: RelayRate,
    /// The memory at each number of streams.
    pub memory: Vec<StreamMemory>,
}

impl OverheadReport {
    /// Lays the report out as plain text.
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
        push(&mut text, format_args!("tokens relayed    {tokens_per_s} a second"));
        if let Some(rate) = relay.tokens_per_core_s {
            push(&mut text, format_args!("tokens relayed    {rate} a second of one core"));
        }
        for memory in &self.memory {
            let StreamMemory { streams, bytes_per_stream, .. } = memory;
            push(
                &mut text,
                format_args!("memory a stream   {bytes_per_stream} bytes at {streams}"),
            );
        }
        text
    }
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}
