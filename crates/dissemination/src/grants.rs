//! Grants of slots, which keep the routers together within the capacity of a backend server.
//!
//! A router may use its last grant until it receives a smaller one. Therefore the hub counts, for
//! each router, the larger of the slots that it holds and the slots that it was granted. Slots from
//! a reduced grant become free for others only after the router has received the reduction and the
//! requests that hold the slots have ended.

use std::collections::{BTreeMap, BTreeSet};

use policy::leases::{Capacity, Claim, divide};

use crate::{Demand, PoolHash, RouterIdx, ServerIdx, ServerRow, Slots};

/// The demand of one router, the slots that it holds and the slots granted to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allocation {
    /// The servers that the router has reported, which are those of its failure domain.
    servers: BTreeSet<ServerIdx>,
    demand: Vec<Demand>,
    held: BTreeMap<ServerIdx, u16>,
    granted: BTreeMap<ServerIdx, u16>,
}

impl Allocation {
    /// Records that the router may use a server.
    pub(crate) fn add_server(&mut self, server: ServerIdx) {
        self.servers.insert(server);
    }

    /// Replaces the demand and the held slots by those of a summary.
    pub(crate) fn update(&mut self, demand: Vec<Demand>, held: Vec<Slots>) {
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

    /// The slots that are not free for other routers.
    fn reserved(&self, server: ServerIdx) -> u32 {
        let granted = self.granted.get(&server).copied().unwrap_or(0).into();
        self.held(server).max(granted)
    }
}

/// Grants `router` its slots at those of `servers` that it has reported.
pub(crate) fn grant(
    router: RouterIdx,
    allocations: &mut BTreeMap<RouterIdx, Allocation>,
    servers: &[ServerRow],
) -> Vec<Slots> {
    let mut positions: BTreeMap<PoolHash, usize> = BTreeMap::new();
    let mut grants = Vec::new();
    let usable = allocations.get(&router).map(|it| it.servers.clone()).unwrap_or_default();
    for server in servers {
        let position = positions.entry(server.pool).or_default();
        let servers = servers.iter().filter(|it| it.pool == server.pool).count();
        let capacity = Capacity { slots: server.slots.into(), idx: *position, servers };
        *position += 1;
        if !usable.contains(&server.idx) {
            continue;
        }
        let count = grant_server(router, allocations, server, capacity);
        grants.push(Slots { server: server.idx, count });
    }
    if let Some(allocation) = allocations.get_mut(&router) {
        allocation.granted = grants.iter().map(|it| (it.server, it.count)).collect();
    }
    grants
}

/// The slots of one server for `router`: its share of the capacity, as far as the slots are free.
fn grant_server(
    router: RouterIdx,
    allocations: &BTreeMap<RouterIdx, Allocation>,
    server: &ServerRow,
    capacity: Capacity,
) -> u16 {
    let users = || allocations.iter().filter(|(_, it)| it.servers.contains(&server.idx));
    let Some(position) = users().position(|(idx, _)| *idx == router) else { return 0 };
    let claims: Vec<_> = users().map(|(_, it)| it.claim(server)).collect();
    let others = users().filter(|(idx, _)| **idx != router);
    let reserved: u32 = others.map(|(_, it)| it.reserved(server.idx)).sum();
    let target = divide(capacity, &claims)[position];
    target.min(capacity.slots.saturating_sub(reserved)) as u16
}
