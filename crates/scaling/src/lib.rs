//! How many backend servers a pool needs in each failure domain, and of which kind.
//!
//! A pure decision: the [`Planner`] of a pool gets what is known of its servers and its demand, and returns the
//! numbers to order. It does no I/O and reads no clock.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

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
    /// Firm servers.
    pub firm: u32,
    /// Spot servers.
    pub spot: u32,
}

/// Decides how many servers one pool needs.
#[derive(Debug, Clone)]
pub struct Planner {
    spec: ScalingSpec,
}

impl Planner {
    /// Creates the planner of a pool.
    #[must_use]
    pub fn new(spec: ScalingSpec) -> Planner {
        Planner { spec }
    }

    /// Replaces the limits and prices.
    pub fn set_spec(&mut self, spec: ScalingSpec) {
        self.spec = spec;
    }

    /// The numbers to order, for the failure domains with known servers.
    pub fn plan(&mut self, _now: Instant, observation: &Observation) -> Vec<Target> {
        let target = |(domain, it): (&String, &DomainServers)| Target {
            failure_domain: domain.clone(),
            firm: it.firm,
            spot: it.spot,
        };
        observation.servers.iter().map(target).collect()
    }

    /// Records that no spot servers are available in a failure domain.
    pub fn spot_refused(&mut self, _now: Instant, _failure_domain: &str) {}
}
