//! Measures the resource usage of a process over a time window.

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

/// The process to sample and the length of the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SamplerSettings {
    /// The process id.
    pub pid: Pid,
    /// The length of the window in milliseconds.
    pub window_ms: u64,
}

/// The role and the sizes that a sample belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct SampleLabel {
    /// The role of the process.
    pub role: String,
    /// The dimension that is varied.
    pub driver: Driver,
    /// The size.
    pub size: f64,
    /// The sizes at which the role's other drivers are held.
    pub held: Vec<HeldSize>,
}

/// A source for the number of bytes that a process has sent and received.
pub trait WireBytes {
    /// The bytes so far, or `None` if they are not counted.
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>>;
}

/// The source for processes whose bytes are not counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoWireBytes;

impl WireBytes for NoWireBytes {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>> {
        futures::future::ready(Ok(None)).boxed_local()
    }
}

/// Reads the bytes from the metrics endpoint of the process.
pub struct MetricsWireBytes {
    pool: Pool,
    addr: LoopbackAddr,
    names: Vec<String>,
}

impl MetricsWireBytes {
    /// Uses the sum of the counters `names` at the admin listener `addr`.
    pub fn new(addr: LoopbackAddr, names: Vec<String>, clock: Rc<dyn Clock>) -> MetricsWireBytes {
        MetricsWireBytes { pool: Pool::new(PoolSettings::default(), clock), addr, names }
    }
}

impl WireBytes for MetricsWireBytes {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<f64>, CounterFault>> {
        async { read_sum(&self.pool, self.addr, &self.names).await.map(Some) }.boxed_local()
    }
}

/// The reason why a process cannot be sampled.
#[derive(Debug, Display, Error, From)]
pub enum SamplerFault {
    /// Its resource usage cannot be read.
    #[display("{_0}")]
    Proc(ProcFault),
    /// Its counters cannot be read.
    #[display("{_0}")]
    Counter(CounterFault),
}

/// Measures CPU time, memory and bytes on the wire of the process over the window.
///
/// # Errors
///
/// [`SamplerFault`] if the process does not exist or lacks the counters.
pub async fn sample_process(
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
