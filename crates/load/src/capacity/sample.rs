//! The samples of the capacity experiment: measured quantities and the sizes that they depend on.

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};

use crate::report::LatencySummary;

/// The dimension that a series of samples varies.
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
    /// Workspaces in the file of workspaces.
    #[display("workspaces")]
    Workspaces,
    /// Concurrent streams through one router.
    #[display("streams")]
    Streams,
    /// Routers linked to one control VM.
    #[display("routers")]
    Routers,
    /// Table changes per hour.
    #[display("changes")]
    Changes,
}

impl Driver {
    /// The size at the target deployment.
    pub fn target(self) -> f64 {
        match self {
            Driver::Replicas => 1_300.0,
            Driver::Workspaces => 930.0,
            // 6,100 requests/s of 262 tokens at 44 ms each, over 350 nodes.
            Driver::Streams => 200.0,
            // 350 nodes in 11 failure domains, each linked to the control VM of its own domain.
            Driver::Routers => 32.0,
            // 5,800 changes a day.
            Driver::Changes => 5_800.0 / 24.0,
        }
    }

    /// Whether it causes control work, to which the limits of [`Measure::limit`] apply.
    pub fn is_control(self) -> bool {
        self != Driver::Streams
    }
}

/// A measured quantity.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// CPU time in thousandths of a core.
    #[display("processor, permille of a core")]
    CpuPermille,
    /// The resident set in KiB.
    #[display("memory, KiB")]
    RssKib,
    /// Bytes received and sent per second.
    #[display("wire, bytes/s")]
    WireBytesPerS,
    /// The median time from the acceptance of a change until a router applies it, in milliseconds.
    #[display("in force, median, ms")]
    InForceP50Ms,
    /// The 99th percentile of that time.
    #[display("in force, 99th percentile, ms")]
    InForceP99Ms,
    /// The maximum of that time.
    #[display("in force, worst, ms")]
    InForceMaxMs,
}

impl Measure {
    /// The limit for the control work of one node.
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
    /// The measured quantity.
    pub measure: Measure,
    /// The value in the unit of the measure.
    pub value: f64,
}

/// The size of a driver that was held constant while another one was varied.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HeldSize {
    /// The driver held constant.
    pub driver: Driver,
    /// Its size.
    pub size: f64,
}

/// The text is not of the form `DRIVER=SIZE`.
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
    /// The dimension that was varied.
    pub driver: Driver,
    /// The size.
    pub size: f64,
    /// The sizes at which the role's other drivers were held.
    pub held: Vec<HeldSize>,
    /// The values.
    pub readings: Vec<Reading>,
}

/// The readings for the times from the acceptance of changes until routers applied them.
pub fn apply_time_readings(times: &[Duration]) -> Vec<Reading> {
    let summary = LatencySummary::new(times.iter().copied());
    let to_ms = |latency_us: u64| latency_us as f64 / 1_000.0;
    vec![
        Reading { measure: Measure::InForceP50Ms, value: to_ms(summary.p50_us) },
        Reading { measure: Measure::InForceP99Ms, value: to_ms(summary.p99_us) },
        Reading { measure: Measure::InForceMaxMs, value: to_ms(summary.max_us) },
    ]
}
