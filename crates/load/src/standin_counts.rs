//! Reads the counts of the stand-ins, which the report compares with the outcomes that the callers
//! received.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use httpio::{
    Uri,
    client::{ClientError, Pool, Request},
};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    loopback::LoopbackAddr, plan::RequestKind, record::RequestRecord, report::StandinCounts,
};

/// The addresses of the stand-ins of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standins {
    /// Model engines.
    pub engines: Vec<LoopbackAddr>,
    /// Order services.
    pub order_services: Vec<LoopbackAddr>,
}

/// The reason why a stand-in's counts cannot be read.
#[derive(Debug, Display, Error)]
pub enum StandinFault {
    /// The HTTP exchange failed.
    #[display("cannot read the counts of {addr}: {source}; check that the stand-in runs")]
    Unreachable {
        /// The stand-in.
        addr: LoopbackAddr,
        /// The cause.
        source: ClientError,
    },
    /// The reply does not contain counts.
    #[display("{addr} returned no counts at {path}; give the address of a stand-in")]
    NotCounts {
        /// The address.
        addr: LoopbackAddr,
        /// The path.
        path: String,
    },
}

/// The fields of `/stats` that the report uses.
#[derive(Debug, Deserialize)]
struct Stats {
    tokens_generated: u64,
}

#[derive(Debug, Deserialize)]
struct Count {
    count: u64,
}

/// The number of tokens that the engines have generated so far. It is read before and after a run,
/// so that tokens of earlier runs are not counted.
///
/// # Errors
///
/// [`StandinFault`] if an engine does not answer.
pub async fn tokens_generated(pool: &Pool, standins: &Standins) -> Result<u64, StandinFault> {
    let mut sum = 0;
    for engine in &standins.engines {
        let stats: Stats = read(pool, *engine, "/stats".to_owned()).await?;
        sum += stats.tokens_generated;
    }
    Ok(sum)
}

/// Collects the counts that belong to `records`.
///
/// # Errors
///
/// [`StandinFault`] if a stand-in does not answer.
pub async fn collect(
    pool: &Pool,
    standins: &Standins,
    records: &[RequestRecord],
    tokens_before: u64,
) -> Result<StandinCounts, StandinFault> {
    let executions_by_key = match standins.order_services.is_empty() {
        true => None,
        false => Some(all_executions(pool, standins, records).await?),
    };
    let tokens_generated = match standins.engines.is_empty() {
        true => None,
        false => Some(tokens_generated(pool, standins).await?.saturating_sub(tokens_before)),
    };
    Ok(StandinCounts { executions_by_key, tokens_generated, ..StandinCounts::default() })
}

async fn all_executions(
    pool: &Pool,
    standins: &Standins,
    records: &[RequestRecord],
) -> Result<BTreeMap<String, u64>, StandinFault> {
    let orders = records.iter().filter(|it| it.kind == RequestKind::Order);
    let keys: BTreeSet<&String> = orders.filter_map(|it| it.idempotency_key.as_ref()).collect();
    let mut counts = BTreeMap::new();
    for key in keys {
        counts.insert(key.clone(), executions(pool, standins, key).await?);
    }
    Ok(counts)
}

async fn executions(pool: &Pool, standins: &Standins, key: &str) -> Result<u64, StandinFault> {
    let mut sum = 0;
    for service in &standins.order_services {
        let Count { count } = read(pool, *service, format!("/orders/count?key={key}")).await?;
        sum += count;
    }
    Ok(sum)
}

async fn read<T: DeserializeOwned>(
    pool: &Pool,
    addr: LoopbackAddr,
    path: String,
) -> Result<T, StandinFault> {
    let unreachable = |source| StandinFault::Unreachable { addr, source };
    let not_counts = || StandinFault::NotCounts { addr, path: path.clone() };
    let uri = Uri::try_from(path.clone()).map_err(|_| not_counts())?;
    let request = Request { uri, ..Request::default() };
    let response = pool.send(addr.addr(), request).await.map_err(unreachable)?;
    let body = response.body.collect().await.map_err(unreachable)?;
    serde_json::from_slice(&body).map_err(|_| not_counts())
}
