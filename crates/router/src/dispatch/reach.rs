//! Notices that this router is cut off from all backend servers.
//!
//! A server that crashes and a path that is cut look the same at one server. So before a crash is
//! recorded, servers of all pools are probed. If none answers, all count as unreachable until a probe
//! succeeds.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
};

use futures::{StreamExt, stream::FuturesUnordered};

use super::{ProbeTarget, Prober, pool_dispatcher::PoolDispatcher};

/// The number of servers that are probed first: one that answers is enough.
const FIRST_PROBES: usize = 2;
/// The number of servers that are probed if none of the first answers.
const FURTHER_PROBES: usize = 6;

/// What this router knows about its paths to the servers of all pools.
pub(super) struct Reach {
    prober: Rc<dyn Prober>,
    pools: RefCell<Vec<Weak<PoolDispatcher>>>,
    /// The number of the server with which the next choice of servers to probe begins.
    next_probed: Cell<usize>,
}

impl Reach {
    pub(super) fn new(prober: Rc<dyn Prober>) -> Rc<Reach> {
        Rc::new(Reach { prober, pools: RefCell::default(), next_probed: Cell::new(0) })
    }

    pub(super) fn add_pool(&self, pool: &Rc<PoolDispatcher>) {
        self.pools.borrow_mut().push(Rc::downgrade(pool));
    }

    /// Whether no server except the one at `dead` answers a probe; then all servers are marked as
    /// unreachable. `false` if there is no other server to ask.
    pub(super) async fn is_cut_off(&self, dead: Option<SocketAddr>) -> bool {
        let mut targets = self.probe_targets();
        targets.retain(|it| Some(it.addr) != dead);
        let further = targets.split_off(targets.len().min(FIRST_PROBES));
        if targets.is_empty() || self.any_answers(&targets).await {
            return false;
        }
        let further: Vec<_> = further.into_iter().take(FURTHER_PROBES).collect();
        if self.any_answers(&further).await {
            return false;
        }
        self.mark_cut_off(targets.len() + further.len());
        true
    }

    fn mark_cut_off(&self, probed: usize) {
        tracing::warn!(event = "cut_off", probed);
        for pool in self.live_pools() {
            pool.mark_unreachable();
        }
    }

    async fn any_answers(&self, targets: &[ProbeTarget]) -> bool {
        let probes: FuturesUnordered<_> =
            targets.iter().map(|it| self.prober.is_reachable(it)).collect();
        probes.any(|it| async move { it }).await
    }

    /// The servers that count as reachable, those of the pools by turns and another one first each time.
    fn probe_targets(&self) -> Vec<ProbeTarget> {
        let start = self.next_probed.get();
        self.next_probed.set(start.wrapping_add(1));
        let mut pools: Vec<_> = self.live_pools().iter().map(|it| it.probe_targets()).collect();
        for targets in &mut pools {
            let first = start.checked_rem(targets.len()).unwrap_or_default();
            targets.rotate_left(first);
        }
        let ranks = pools.iter().map(Vec::len).max().unwrap_or_default();
        let by_rank = (0..ranks).flat_map(|rank| pools.iter().filter_map(move |it| it.get(rank)));
        by_rank.cloned().collect()
    }

    fn live_pools(&self) -> Vec<Rc<PoolDispatcher>> {
        self.pools.borrow().iter().filter_map(Weak::upgrade).collect()
    }
}
