//! What the planner gets and returns.

use std::{collections::BTreeMap, time::Duration};

/// The limits and prices that the operator's configuration gives for a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingSpec {
    /// The minimum number of servers in each failure domain, of both kinds together.
    pub servers_min: u32,
    /// The maximum number of servers in each failure domain, of both kinds together.
    pub servers_max: u32,
    /// The time from an order until the new server serves.
    pub boot: Duration,
    /// The price of a spot server relative to a firm one; `None` if there are no spot servers.
    pub spot_price_permille: Option<u32>,
    /// The price of a server in each failure domain.
    pub domain_prices_permille: BTreeMap<String, u32>,
    /// The requests that one server runs at once.
    pub slots: u32,
}

impl ScalingSpec {
    /// The price of a server of a failure domain; 1,000 if the configuration has none.
    pub(crate) fn price_permille(&self, failure_domain: &str) -> u32 {
        self.domain_prices_permille.get(failure_domain).copied().unwrap_or(1_000)
    }

    /// Whether spot servers with a reserve for the loss of one of the failure domains cost less than firm ones.
    pub(crate) fn is_spot_cheaper(&self, domains: usize) -> bool {
        let domains = domains as u64;
        let price = self.spot_price_permille.map(u64::from);
        price.is_some_and(|it| domains >= 2 && it * domains < 1_000 * (domains - 1))
    }
}

/// The servers of a pool in one failure domain, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainServers {
    /// Firm servers that serve.
    pub firm: u32,
    /// Spot servers that serve.
    pub spot: u32,
    /// Spot servers that are about to leave.
    pub spot_leaving: u32,
}

impl DomainServers {
    /// The servers of both kinds that serve and stay.
    pub(crate) fn serving(&self) -> u32 {
        self.firm + self.spot
    }
}

/// The demand on a pool, over all routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests that run or wait at servers.
    pub at_servers: u32,
    /// Requests that wait at routers for a server.
    pub at_routers: u32,
    /// Prompt tokens that servers have still to read.
    pub unread_tokens: u64,
}

/// What is known of a pool at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observation {
    /// The servers in each failure domain.
    pub servers: BTreeMap<String, DomainServers>,
    /// The demand; `None` while it has not been measured.
    pub demand: Option<Demand>,
}

/// The number of servers that a pool is to have in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The failure domain.
    pub failure_domain: String,
    /// Firm servers; `None` until the list is known to name all of them.
    pub firm: Option<u32>,
    /// Spot servers.
    pub spot: u32,
}
