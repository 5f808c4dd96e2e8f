//! Grants of backend servers' slots, so that routers together do not overfill a server.
//!
//! A router may hold what it was granted last until it is told less, so the hub counts for each
//! router the larger of what it holds and what it was granted. A part that shrinks is free for
//! others only when its router has been told and its requests have ended.

use std::collections::{BTreeMap, BTreeSet};

use policy::leases::{Capacity, Claim, divide};

use crate::{Demand, PoolHash, RouterIdx, ServerIdx, ServerRow, Slots};

/// What one router has asked for and been granted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Account {
    /// The servers that the router announced, which are those of its failure domain.
    near: BTreeSet<ServerIdx>,
    demand: Vec<Demand>,
    held: BTreeMap<ServerIdx, u16>,
    granted: BTreeMap<ServerIdx, u16>,
}

impl Account {
    /// Notes that the router may use a server.
    pub(crate) fn announce(&mut self, server: ServerIdx) {
        self.near.insert(server);
    }

    /// Takes what a summary says.
    pub(crate) fn take(&mut self, demand: Vec<Demand>, held: Vec<Slots>) {
        self.demand = demand;
        self.held = held.into_iter().map(|it| (it.server, it.count)).collect();
    }

    fn claim(&self, server: &ServerRow) -> Claim {
        let demand = self.demand.iter().find(|it| it.pool == server.pool);
        Claim {
            demand: demand.map_or(0, |it| it.requests),
            urgent: demand.map_or(0, |it| it.urgent),
            held: self.held(server.idx),
        }
    }

    fn held(&self, server: ServerIdx) -> u32 {
        self.held.get(&server).copied().unwrap_or(0).into()
    }

    fn outstanding(&self, server: ServerIdx) -> u32 {
        let granted = self.granted.get(&server).copied().unwrap_or(0).into();
        self.held(server).max(granted)
    }
}

/// Grants `router` its slots of all `servers` that may get work.
pub(crate) fn grant(
    router: RouterIdx,
    accounts: &mut BTreeMap<RouterIdx, Account>,
    servers: &[ServerRow],
) -> Vec<Slots> {
    let mut places: BTreeMap<PoolHash, usize> = BTreeMap::new();
    let mut grants = Vec::new();
    let near = accounts.get(&router).map(|it| it.near.clone()).unwrap_or_default();
    for server in servers {
        let place = places.entry(server.pool).or_default();
        let servers = servers.iter().filter(|it| it.pool == server.pool).count();
        let capacity = Capacity { slots: server.slots.into(), idx: *place, servers };
        *place += 1;
        if !near.contains(&server.idx) {
            continue;
        }
        let count = grant_one(router, accounts, server, capacity);
        grants.push(Slots { server: server.idx, count });
    }
    if let Some(account) = accounts.get_mut(&router) {
        account.granted = grants.iter().map(|it| (it.server, it.count)).collect();
    }
    grants
}

fn grant_one(
    router: RouterIdx,
    accounts: &BTreeMap<RouterIdx, Account>,
    server: &ServerRow,
    capacity: Capacity,
) -> u16 {
    let users = || accounts.iter().filter(|(_, it)| it.near.contains(&server.idx));
    let Some(place) = users().position(|(idx, _)| *idx == router) else { return 0 };
    let claims: Vec<_> = users().map(|(_, it)| it.claim(server)).collect();
    let others = users().filter(|(idx, _)| **idx != router);
    let taken: u32 = others.map(|(_, it)| it.outstanding(server.idx)).sum();
    let target = divide(capacity, &claims)[place];
    target.min(capacity.slots.saturating_sub(taken)) as u16
}
