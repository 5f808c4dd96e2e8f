//! Reads counters of a daemon in the Prometheus text format.

use derive_more::{Display, Error};
use httpio::{
    Uri,
    client::{ClientError, Pool, Request},
};

use crate::loopback::LoopbackAddr;

const METRICS_PATH: &str = "/metrics";

/// The reason why a daemon's counters cannot be read.
#[derive(Debug, Display, Error)]
pub enum CounterFault {
    /// The HTTP exchange failed.
    #[display("cannot read the metrics of {addr}: {source}; check its admin listener")]
    Unreachable {
        /// The daemon's admin listener.
        addr: LoopbackAddr,
        /// The cause.
        source: ClientError,
    },
    /// The daemon has no such counter.
    #[display("{addr} has no counter {name}; see its /metrics for the names")]
    Absent {
        /// The daemon's admin listener.
        addr: LoopbackAddr,
        /// The counter.
        name: String,
    },
}

/// Reads the sum of the counters called `names`, over all their labels.
///
/// # Errors
///
/// [`CounterFault`] if the daemon does not answer or lacks one of the counters.
pub async fn read_sum(
    pool: &Pool,
    addr: LoopbackAddr,
    names: &[String],
) -> Result<f64, CounterFault> {
    let unreachable = |source| CounterFault::Unreachable { addr, source };
    let request = Request { uri: Uri::from_static(METRICS_PATH), ..Request::default() };
    let response = pool.send(addr.addr(), request).await.map_err(unreachable)?;
    let body = response.body.collect().await.map_err(unreachable)?;
    let text = String::from_utf8_lossy(&body);
    let mut total = 0.0;
    for name in names {
        let absent = || CounterFault::Absent { addr, name: name.clone() };
        total += sum(&text, name).ok_or_else(absent)?;
    }
    Ok(total)
}

/// The sum of the metric `name` in `text` over all labels, if it has any sample.
pub fn sum(text: &str, name: &str) -> Option<f64> {
    let values: Vec<f64> = text.lines().filter_map(|line| value(line, name)).collect();
    (!values.is_empty()).then(|| values.iter().sum())
}

fn value(line: &str, name: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    if !rest.starts_with(['{', ' ']) {
        return None;
    }
    rest.rsplit(' ').next()?.parse().ok()
}
