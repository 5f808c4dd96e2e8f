//! The demand on each pool, from the work that all routers report by server.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use directory::{ListedVm, VmState};
use policy::PendingWork;
use scaling::{Demand, DomainServers};

/// Which pool each server belongs to, and how many servers a pool has.
#[derive(Debug, Default)]
pub(crate) struct ListedServers {
    /// The stamp of the list.
    stamp: Option<u64>,
    servers: Rc<[ListedVm]>,
    /// The pools of the listed servers, and of others as long as they have work.
    pools: BTreeMap<SocketAddr, String>,
}

impl ListedServers {
    /// Replaces the list if it has changed; `work` is the work at each server.
    pub(crate) fn update(
        &mut self,
        stamp: u64,
        servers: &Rc<[ListedVm]>,
        work: Option<&BTreeMap<SocketAddr, PendingWork>>,
    ) {
        if self.stamp.replace(stamp) == Some(stamp) {
            return;
        }
        self.servers = Rc::clone(servers);
        self.pools.retain(|addr, _| work.is_some_and(|it| it.contains_key(addr)));
        self.pools.extend(servers.iter().map(|it| (it.addr, it.pool.clone())));
    }

    /// The servers of a pool by failure domain.
    pub(crate) fn by_domain(&self, pool: &str) -> BTreeMap<String, DomainServers> {
        let mut domains: BTreeMap<String, DomainServers> = BTreeMap::new();
        // A server without a failure domain cannot be ordered.
        let servers = self.of_pool(pool).filter(|it| !it.failure_domain.is_empty());
        for vm in servers {
            let domain = domains.entry(vm.failure_domain.clone()).or_default();
            match (vm.is_spot, vm.state) {
                (true, VmState::Live) => domain.spot += 1,
                (true, VmState::Leaving) => domain.spot_leaving += 1,
                (false, VmState::Live) => domain.firm += 1,
                (false, VmState::Leaving) => {}
            }
        }
        domains
    }

    /// The requests that a server of a pool runs at once, if the list tells it.
    pub(crate) fn slots(&self, pool: &str) -> Option<u32> {
        self.of_pool(pool).map(|it| it.slots).max().filter(|it| *it > 0)
    }

    /// The demand on a pool.
    pub(crate) fn demand(&self, pool: &str, work: &BTreeMap<SocketAddr, PendingWork>) -> Demand {
        let mut sum = PendingWork::default();
        for (addr, work) in work {
            if self.pools.get(addr).is_some_and(|it| it == pool) {
                sum += *work;
            }
        }
        Demand { at_servers: sum.requests, at_routers: 0, unread_tokens: sum.unread_tokens }
    }

    fn of_pool(&self, pool: &str) -> impl Iterator<Item = &ListedVm> {
        self.servers.iter().filter(move |it| it.pool == pool)
    }
}
