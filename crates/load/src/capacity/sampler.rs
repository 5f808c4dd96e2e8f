//! Watches a process for a while and turns its use into a sample.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use derive_more::{Display, Error, From};
use httpio::client::{Pool, PoolSettings};
use monoio::time;

use super::{Driver, Measure, Reading, Sample};
use crate::{
    counters::{CounterFault, read_sum},
    loopback::LoopbackAddr,
    proc_stat::{Pid, ProcFault, usage},
};

/// What is watched, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SamplerSettings {
    /// The process.
    pub pid: Pid,
    /// The admin listener with its counters.
    pub metrics: Option<LoopbackAddr>,
    /// The counters whose sum is the bytes on the wire.
    pub byte_counters: Vec<String>,
    /// How long it is watched, in milliseconds.
    pub window_ms: u64,
}

/// A process cannot be watched.
#[derive(Debug, Display, Error, From)]
pub enum SamplerFault {
    /// Its accounting cannot be read.
    #[display("{_0}")]
    Proc(ProcFault),
    /// Its counters cannot be read.
    #[display("{_0}")]
    Counter(CounterFault),
}

/// Watches the process and gives its use as a sample of `role` at `size`.
///
/// # Errors
///
/// [`SamplerFault`] where the process is gone or has no such counters.
pub async fn watch(
    settings: &SamplerSettings,
    clock: Rc<dyn Clock>,
    role: &str,
    driver: Driver,
    size: f64,
) -> Result<Sample, SamplerFault> {
    let pool = Pool::new(PoolSettings::default(), Rc::clone(&clock));
    let bytes_before = wire_bytes(&pool, settings).await?;
    let (start, before) = (clock.now(), usage(settings.pid)?);
    time::sleep(Duration::from_millis(settings.window_ms)).await;
    let (end, after) = (clock.now(), usage(settings.pid)?);
    let bytes_after = wire_bytes(&pool, settings).await?;

    let seconds = end.saturating_duration_since(start).as_secs_f64();
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    let mut readings = vec![
        Reading { measure: Measure::CpuPermille, value: cpu / seconds * 1_000.0 },
        Reading { measure: Measure::RssKib, value: after.rss_kib as f64 },
    ];
    if let Some((before, after)) = bytes_before.zip(bytes_after) {
        let value = (after - before) / seconds;
        readings.push(Reading { measure: Measure::WireBytesPerS, value });
    }
    Ok(Sample { role: role.to_owned(), driver, size, readings })
}

async fn wire_bytes(pool: &Pool, settings: &SamplerSettings) -> Result<Option<f64>, CounterFault> {
    let Some(addr) = settings.metrics.filter(|_| !settings.byte_counters.is_empty()) else {
        return Ok(None);
    };
    read_sum(pool, addr, &settings.byte_counters).await.map(Some)
}
