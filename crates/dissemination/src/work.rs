//! The pending work of all routers at each backend server.
//!
//! With many routers, a single router knows little about a server: its own requests there and an
//! occasional load report in a response. Therefore each router reports its pending work to the
//! hub, the hubs exchange their sums, and each router gets the sum over all other routers.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use policy::PendingWork;
use serde::{Deserialize, Serialize};

use crate::{RouterIdx, ServerIdx, ServerRef};

/// The pending work at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerWork {
    /// The server.
    pub server: ServerRef,
    /// The work.
    pub work: PendingWork,
}

/// The latest work reports of the routers and of the other hubs.
#[derive(Debug, Default)]
pub(crate) struct WorkReports {
    routers: BTreeMap<RouterIdx, WorkReport<ServerIdx>>,
    hubs: BTreeMap<u64, WorkReport<SocketAddr>>,
}

#[derive(Debug)]
struct WorkReport<S> {
    received_at: Instant,
    rows: Vec<(S, PendingWork)>,
}

impl WorkReports {
    /// Replaces the report of a router.
    pub(crate) fn update_router(
        &mut self,
        now: Instant,
        from: RouterIdx,
        rows: Vec<(ServerIdx, PendingWork)>,
    ) {
        self.routers.insert(from, WorkReport { received_at: now, rows });
    }

    /// Replaces the sums of another hub.
    pub(crate) fn update_hub(
        &mut self,
        now: Instant,
        hub: u64,
        rows: Vec<(SocketAddr, PendingWork)>,
    ) {
        self.hubs.insert(hub, WorkReport { received_at: now, rows });
    }

    /// The sums over this hub's routers, without the router `excluded`.
    pub(crate) fn of_routers(
        &mut self,
        now: Instant,
        excluded: Option<RouterIdx>,
    ) -> BTreeMap<ServerIdx, PendingWork> {
        self.routers.retain(|_, it| now < it.received_at + PendingWork::TTL);
        let reports = self.routers.iter().filter(|(idx, _)| Some(**idx) != excluded);
        sum(reports.flat_map(|(_, it)| &it.rows))
    }

    /// The sums over all other hubs.
    pub(crate) fn of_hubs(&mut self, now: Instant) -> BTreeMap<SocketAddr, PendingWork> {
        self.hubs.retain(|_, it| now < it.received_at + PendingWork::TTL);
        sum(self.hubs.values().flat_map(|it| &it.rows))
    }
}

fn sum<'a, S: Copy + Ord + 'a>(
    rows: impl Iterator<Item = &'a (S, PendingWork)>,
) -> BTreeMap<S, PendingWork> {
    let mut all = BTreeMap::new();
    for (server, work) in rows.filter(|it| it.1 != PendingWork::default()) {
        *all.entry(*server).or_insert_with(PendingWork::default) += *work;
    }
    all
}
