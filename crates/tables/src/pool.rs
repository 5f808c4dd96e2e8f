//! A row of the table of pools: the engines of a model version, or the servers of a service.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr};

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Pool {
    /// The name by which routes refer to the pool.
    pub name: String,
    /// The kind of the backend servers.
    pub kind: PoolKind,
    /// The engine software, for operators and for commands to engines.
    pub engine: String,
    /// The model that the engines serve; empty for a service.
    pub model: String,
    /// The version of the model or service.
    pub version: String,
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of connections to one backend server from all routers together.
    pub connections_max: Option<u32>,
    /// The number of tokens in one event of a streamed answer.
    pub tokens_per_event: u32,
    /// The maximum number of requests in flight at one backend server.
    pub in_flight_max: u32,
    /// Whether the engines reject commands with an old fencing token.
    pub fencing: Fencing,
    /// The source of further backend servers.
    pub discovery: Discovery,
    /// The backend servers listed in the table, which are always part of the pool.
    pub servers: Vec<ServerAddr>,
    /// How the number of servers may be changed; `None` if it is fixed.
    #[serde(default)]
    pub scaling: Option<Scaling>,
}

/// The limits and prices of a pool whose number of servers may be changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scaling {
    /// The minimum number of servers in each failure domain, of both kinds together.
    pub servers_min: u32,
    /// The maximum number of servers in each failure domain, of both kinds together.
    pub servers_max: u32,
    /// The time from an order until the new server serves.
    pub boot_ms: u64,
    /// The price of a spot server relative to a firm one; `None` if there are no spot servers.
    pub spot_price_permille: Option<u32>,
    /// The price of a server in each failure domain.
    pub domain_prices_permille: BTreeMap<String, u32>,
}

/// The kind of the backend servers of a pool.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that stream tokens.
    Engine,
    /// Services without token streams.
    #[default]
    Service,
}

/// Whether engines check the fencing token of a command.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// A command with an old token is rejected.
    Enforced,
    /// The token is not checked, so a new leader waits until the old lease has expired.
    #[default]
    Ignored,
}

/// The source of further backend servers of a pool.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Discovery {
    /// Only the servers in the table.
    #[default]
    Table,
    /// Also the servers that the platform's list names for this pool.
    Platform,
}

/// The address and failure domain of a backend server, written `ADDRESS:PORT@FAILURE_DOMAIN`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{addr}@{failure_domain}")]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerAddr {
    /// Its IP address and port.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
}

/// The text is not of the form `ADDRESS:PORT@FAILURE_DOMAIN`.
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
