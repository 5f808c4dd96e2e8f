//! A row of the table of pools: engines of one model and version, or servers of one service.

use std::{net::SocketAddr, str::FromStr};

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};

/// Backend servers that can stand in for one another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Pool {
    /// The name that routes join by.
    pub name: String,
    /// What the backend servers are.
    pub kind: PoolKind,
    /// The engine software, for operators and orders.
    pub engine: String,
    /// The model that the engines serve; empty for a service.
    pub model: String,
    /// The version of the model or service.
    pub version: String,
    /// The path at which a backend server tells its health.
    pub health_path: String,
    /// How many connections one backend server takes, from all routers together.
    pub connections_max: Option<u32>,
    /// How many tokens one event of an answer holds.
    pub tokens_per_event: u32,
    /// How many requests one backend server takes at a time.
    pub in_flight_max: u32,
    /// Whether the engines refuse an order with an old fencing number.
    pub fencing: Fencing,
    /// Where further backend servers come from.
    pub discovery: Discovery,
    /// The backend servers that are always part of the pool.
    pub servers: Vec<ServerAddr>,
}

/// What the backend servers of a pool are.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that stream tokens.
    Engine,
    /// Plain services.
    #[default]
    Service,
}

/// Whether engines check the fencing number of an order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// An old number is refused.
    Enforced,
    /// The number is not looked at, so a new leader waits out the old lease.
    #[default]
    Ignored,
}

/// Where further backend servers of a pool come from.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Discovery {
    /// Only the servers in the table.
    #[default]
    Table,
    /// Also those that the platform's list names for this pool.
    Platform,
}

/// The place of one backend server, written `ADDRESS:PORT@FAILURE_DOMAIN`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{addr}@{failure_domain}")]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerAddr {
    /// Its IP address and port.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
}

/// A text that is not a server's place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("write ADDRESS:PORT@FAILURE_DOMAIN, such as 10.0.0.7:8000@fd-1")]
pub struct ServerAddrError;

impl FromStr for ServerAddr {
    type Err = ServerAddrError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (addr, failure_domain) = text.split_once('@').ok_or(ServerAddrError)?;
        let addr = addr.parse().map_err(|_| ServerAddrError)?;
        if failure_domain.is_empty() {
            return Err(ServerAddrError);
        }
        Ok(ServerAddr { addr, failure_domain: failure_domain.to_owned() })
    }
}
