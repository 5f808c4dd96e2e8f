//! Restricts a router to the backend servers of its own failure domain while one of them is usable.
//!
//! Each failure domain leases the slots of its servers to its own routers. A router of another
//! domain receives no leases there, so it uses those servers only when its own are down.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use policy::{Health, Scheduler};
use tables::Pool;

use super::{Server, server_list::ServerList};
use directory::ListedVm;

/// The interval at which the use of remote servers is decided anew.
const DECISION_PERIOD: Duration = Duration::from_millis(200);

/// The time after which a decision expires unless it is renewed.
const DECISION_TTL: Duration = Duration::from_secs(10);

/// Which servers of a pool are in other failure domains.
#[derive(Debug, Default)]
pub(super) struct Locality {
    own_domain: String,
    remote: BTreeSet<SocketAddr>,
    last_decision: Option<Instant>,
}

impl Locality {
    /// Servers outside `own_domain` are remote; with an empty name none is.
    pub(super) fn new(own_domain: &str) -> Locality {
        Locality { own_domain: own_domain.to_owned(), ..Locality::default() }
    }

    /// Applies the servers of the table.
    pub(super) fn apply_table(&mut self, pool: &Pool) {
        for server in &pool.servers {
            self.set_domain(server.addr, &server.failure_domain);
        }
    }

    /// Applies the platform's list.
    pub(super) fn apply_platform_list(&mut self, vms: &[&ListedVm]) {
        for vm in vms.iter().filter(|it| !it.failure_domain.is_empty()) {
            self.set_domain(vm.addr, &vm.failure_domain);
        }
    }

    /// Whether the server is in another failure domain.
    pub(super) fn is_remote(&self, addr: SocketAddr) -> bool {
        self.remote.contains(&addr)
    }

    /// Leases the slots of the remote servers if no local server is usable, and revokes these leases
    /// otherwise.
    pub(super) fn update_remote_leases(
        &mut self,
        scheduler: &mut Scheduler,
        servers: &ServerList,
        now: Instant,
        slots: u32,
    ) {
        let is_due = self
            .last_decision
            .is_none_or(|it| now.saturating_duration_since(it) >= DECISION_PERIOD);
        if self.remote.is_empty() || !is_due {
            return;
        }
        self.last_decision = Some(now);
        let (remote, local): (Vec<Server>, Vec<Server>) =
            servers.listed().into_iter().partition(|it| self.is_remote(it.addr));
        let is_usable =
            |it: &Server| matches!(scheduler.health(it.key), Some(Health::Up | Health::Suspect));
        let leased_slots = if local.iter().any(is_usable) { 0 } else { slots };
        for server in remote {
            scheduler.set_lease(server.key, leased_slots, now + DECISION_TTL);
        }
    }

    fn set_domain(&mut self, addr: SocketAddr, failure_domain: &str) {
        let is_remote = !self.own_domain.is_empty() && failure_domain != self.own_domain;
        if is_remote && self.remote.insert(addr) || !is_remote && self.remote.remove(&addr) {
            self.last_decision = None;
        }
    }
}
