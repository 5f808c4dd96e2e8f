//! What the requests of all routers still take at each backend server.
//!
//! Among many routers one alone learns little of a server: its own requests there, and a load
//! report with an answer now and then. So each tells the hub what it has there, the hubs tell one
//! another their sums, and a router gets the sum of all but itself.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use policy::PendingWork;
use serde::{Deserialize, Serialize};

use crate::{RouterIdx, ServerIdx, ServerRef};

/// The work at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerWork {
    /// The server.
    pub server: ServerRef,
    /// The work.
    pub work: PendingWork,
}

/// The work that a hub knows of.
#[derive(Debug, Default)]
pub(crate) struct WorkBook {
    routers: BTreeMap<RouterIdx, Told<ServerIdx>>,
    hubs: BTreeMap<u64, Told<SocketAddr>>,
}

#[derive(Debug)]
struct Told<S> {
    at: Instant,
    rows: Vec<(S, PendingWork)>,
}

impl WorkBook {
    /// Takes all the work of a router in, in place of what it told before.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        from: RouterIdx,
        rows: Vec<(ServerIdx, PendingWork)>,
    ) {
        self.routers.insert(from, Told { at: now, rows });
    }

    /// Takes the sums of another hub in, in place of what it told before.
    pub(crate) fn take_hub(
        &mut self,
        now: Instant,
        hub: u64,
        rows: Vec<(SocketAddr, PendingWork)>,
    ) {
        self.hubs.insert(hub, Told { at: now, rows });
    }

    /// The sums of this hub's routers but for one.
    pub(crate) fn of_routers(
        &mut self,
        now: Instant,
        beside: Option<RouterIdx>,
    ) -> BTreeMap<ServerIdx, PendingWork> {
        self.routers.retain(|_, it| now < it.at + PendingWork::TTL);
        let told = self.routers.iter().filter(|(idx, _)| Some(**idx) != beside);
        sum(told.flat_map(|(_, it)| &it.rows))
    }

    /// The sums of all other hubs.
    pub(crate) fn of_hubs(&mut self, now: Instant) -> BTreeMap<SocketAddr, PendingWork> {
        self.hubs.retain(|_, it| now < it.at + PendingWork::TTL);
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
