//! What is measured, and against what it is measured.

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};

use crate::report::LatencySummary;

/// The size that a series of samples varies.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    FromStr,
)]
#[serde(rename_all = "kebab-case")]
pub enum Driver {
    /// Replicas in the table of pools.
    #[display("replicas")]
    Replicas,
    /// Workspaces in the settings.
    #[display("workspaces")]
    Workspaces,
    /// Streams that a router relays at once.
    #[display("streams")]
    Streams,
    /// Routers that are linked to one control VM.
    #[display("routers")]
    Routers,
    /// Configuration changes an hour.
    #[display("changes")]
    Changes,
}

impl Driver {
    /// Its size at the users' target.
    pub fn target(self) -> f64 {
        match self {
            Driver::Replicas => 1_300.0,
            Driver::Workspaces => 930.0,
            // 6,100 requests/s of 262 tokens at 44 ms each, over 350 nodes.
            Driver::Streams => 200.0,
            // 350 nodes, each linked to the control VM of its own of 11 failure domains.
            Driver::Routers => 32.0,
            // 5,800 changes a day.
            Driver::Changes => 5_800.0 / 24.0,
        }
    }

    /// Whether its cost is one of control, to which the users' limits for control apply.
    pub fn is_control(self) -> bool {
        self != Driver::Streams
    }
}

/// What is measured.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Processor time in thousandths of a core.
    #[display("processor, permille of a core")]
    CpuPermille,
    /// The resident set in KiB.
    #[display("memory, KiB")]
    RssKib,
    /// Bytes received and sent a second.
    #[display("wire, bytes/s")]
    WireBytesPerS,
    /// The median time from the acceptance of a change until a router applies it, in milliseconds.
    #[display("in force, median, ms")]
    InForceP50Ms,
    /// The same, 99th percentile.
    #[display("in force, 99th percentile, ms")]
    InForceP99Ms,
    /// The same, the worst.
    #[display("in force, worst, ms")]
    InForceMaxMs,
}

impl Measure {
    /// The users' limit for one node's control work.
    pub fn limit(self) -> f64 {
        match self {
            Measure::CpuPermille => 39.0,
            Measure::RssKib => 32.0 * 1_024.0,
            Measure::WireBytesPerS => 2_048.0,
            Measure::InForceP50Ms | Measure::InForceP99Ms | Measure::InForceMaxMs => 10_000.0,
        }
    }
}

/// One measured value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Reading {
    /// What was measured.
    pub measure: Measure,
    /// The value in the measure's unit.
    pub value: f64,
}

/// A size that was kept while another one was varied.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HeldSize {
    /// What was kept.
    pub driver: Driver,
    /// Its size.
    pub size: f64,
}

/// A text that is no held size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("write DRIVER=SIZE, such as workspaces=10")]
pub struct HeldSizeFault;

impl FromStr for HeldSize {
    type Err = HeldSizeFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (driver, size) = text.split_once('=').ok_or(HeldSizeFault)?;
        let driver = driver.parse().map_err(|_| HeldSizeFault)?;
        let size = size.parse().map_err(|_| HeldSizeFault)?;
        Ok(HeldSize { driver, size })
    }
}

/// All values measured at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Sample {
    /// The role of the process, such as `router`.
    pub role: String,
    /// The size that was varied.
    pub driver: Driver,
    /// The size.
    pub size: f64,
    /// The sizes of the role's other drivers meanwhile.
    pub held: Vec<HeldSize>,
    /// The values.
    pub readings: Vec<Reading>,
}

/// The readings of the times from the acceptance of changes until routers had them in force.
pub fn in_force_readings(times: &[Duration]) -> Vec<Reading> {
    let summary = LatencySummary::new(times.iter().copied());
    let in_ms = |latency_us: u64| latency_us as f64 / 1_000.0;
    vec![
        Reading { measure: Measure::InForceP50Ms, value: in_ms(summary.p50_us) },
        Reading { measure: Measure::InForceP99Ms, value: in_ms(summary.p99_us) },
        Reading { measure: Measure::InForceMaxMs, value: in_ms(summary.max_us) },
    ]
}
