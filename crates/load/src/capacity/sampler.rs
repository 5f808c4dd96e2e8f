//! Watches a process for a while and turns its use into a sample.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use derive_more::{Display, Error, From};
use futures::{FutureExt, future::LocalBoxFuture};
use httpio::client::{Pool, PoolSettings};
use monoio::time;

use super::{Driver, HeldSize, Measure, Reading, Sample};
use crate::{
    counters::{CounterFault, read_sum},
    loopback::LoopbackAddr,
    proc_stat::{Pid, ProcFault, usage},
};

/// What is watched, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SamplerSettings {
    /// The process.
    pub pid: Pid,
    /// How long it is watched, in milliseconds.
    pub window_ms: u64,
}

/// What a sample is of.
#[derive(Debug, Clone, PartialEq)]
pub struct SampleLabel {
    /// The role of the process.
    pub role: String,
    /// The size that is varied.
    pub driver: Driver,
    /// The size.
    pub size: f64,
    /// The sizes of the role's other drivers meanwhile.
    pub held: Vec<HeldSize>,
}

/// Where the bytes that a process has sent and received are counted.
pub trait WireBytes {
    /// The bytes so far; nothing where they are not counted.
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>>;
}

/// Bytes that nobody counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoWireBytes;

impl WireBytes for NoWireBytes {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>> {
        futures::future::ready(Ok(None)).boxed_local()
    }
}

/// Bytes from the counters that the process serves itself.
pub struct ServedWireBytes {
    pool: Pool,
    addr: LoopbackAddr,
    names: Vec<String>,
}

impl ServedWireBytes {
    /// The sum of the counters called `names` at the admin listener `addr`.
    pub fn new(addr: LoopbackAddr, names: Vec<String>, clock: Rc<dyn Clock>) -> ServedWireBytes {
        ServedWireBytes { pool: Pool::new(PoolSettings::default(), clock), addr, names }
    }
}

impl WireBytes for ServedWireBytes {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>> {
        async { read_sum(&self.pool, self.addr, &self.names).await.map(Some) }.boxed_local()
    }
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

/// Watches the process and gives its use as a sample.
///
/// # Errors
///
/// [`SamplerFault`] where the process is gone or has no such counters.
pub async fn watch(
    settings: SamplerSettings,
    label: SampleLabel,
    wire: &dyn WireBytes,
    clock: &dyn Clock,
) -> Result<Sample, SamplerFault> {
    let bytes_before = wire.read().await?;
    let (start, before) = (clock.now(), usage(settings.pid)?);
    time::sleep(Duration::from_millis(settings.window_ms)).await;
    let (end, after) = (clock.now(), usage(settings.pid)?);
    let bytes_after = wire.read().await?;

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
    let SampleLabel { role, driver, size, held } = label;
    Ok(Sample { role, driver, size, held, readings })
}
