//! Reads what the stand-ins counted, to hold it against what the callers were told.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use httpio::{
    Uri,
    client::{ClientError, Pool, Request},
};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{loopback::LoopbackAddr, plan::RequestKind, record::RequestRecord, report::Evidence};

/// The stand-ins of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standins {
    /// Model engines.
    pub engines: Vec<LoopbackAddr>,
    /// Order services.
    pub order_services: Vec<LoopbackAddr>,
}

/// A stand-in's counts cannot be read.
#[derive(Debug, Display, Error)]
pub enum EvidenceFault {
    /// The exchange failed.
    #[display("cannot read the counts of {addr}: {source}; check that the stand-in runs")]
    Unreachable {
        /// The stand-in.
        addr: LoopbackAddr,
        /// What failed.
        source: ClientError,
    },
    /// The reply is not what a stand-in gives.
    #[display("{addr} gives no counts at {path}; name a stand-in's address")]
    NotCounts {
        /// The address.
        addr: LoopbackAddr,
        /// The path.
        path: String,
    },
}

/// The part of a stand-in's counts that reports need.
#[derive(Debug, Deserialize)]
struct Stats {
    tokens_generated: u64,
}

#[derive(Debug, Deserialize)]
struct Count {
    count: u64,
}

/// Tokens that the engines have generated so far. It is read before and after a run, so that the
/// work of earlier runs is not counted.
///
/// # Errors
///
/// [`EvidenceFault`] where an engine does not answer.
pub async fn tokens_generated(pool: &Pool, standins: &Standins) -> Result<u64, EvidenceFault> {
    let mut sum = 0;
    for engine in &standins.engines {
        let stats: Stats = read(pool, *engine, "/stats".to_owned()).await?;
        sum += stats.tokens_generated;
    }
    Ok(sum)
}

/// Gathers the counts that bear on `records`.
///
/// # Errors
///
/// [`EvidenceFault`] where a stand-in does not answer.
pub async fn gather(
    pool: &Pool,
    standins: &Standins,
    records: &[RequestRecord],
    tokens_before: u64,
) -> Result<Evidence, EvidenceFault> {
    let executions_by_key = match standins.order_services.is_empty() {
        true => None,
        false => Some(all_executions(pool, standins, records).await?),
    };
    let tokens_generated = match standins.engines.is_empty() {
        true => None,
        false => Some(tokens_generated(pool, standins).await?.saturating_sub(tokens_before)),
    };
    Ok(Evidence { executions_by_key, tokens_generated, ..Evidence::default() })
}

async fn all_executions(
    pool: &Pool,
    standins: &Standins,
    records: &[RequestRecord],
) -> Result<BTreeMap<String, u64>, EvidenceFault> {
    let orders = records.iter().filter(|it| it.kind == RequestKind::Order);
    let keys: BTreeSet<&String> = orders.filter_map(|it| it.idempotency_key.as_ref()).collect();
    let mut counts = BTreeMap::new();
    for key in keys {
        counts.insert(key.clone(), executions(pool, standins, key).await?);
    }
    Ok(counts)
}

async fn executions(pool: &Pool, standins: &Standins, key: &str) -> Result<u64, EvidenceFault> {
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
) -> Result<T, EvidenceFault> {
    let unreachable = |source| EvidenceFault::Unreachable { addr, source };
    let not_counts = || EvidenceFault::NotCounts { addr, path: path.clone() };
    let uri = Uri::try_from(path.clone()).map_err(|_| not_counts())?;
    let request = Request { uri, ..Request::default() };
    let response = pool.send(addr.addr(), request).await.map_err(unreachable)?;
    let body = response.body.collect().await.map_err(unreachable)?;
    serde_json::from_slice(&body).map_err(|_| not_counts())
}
