//! Keeps a router to the backend servers of its own failure domain while one of them is usable.
//!
//! Each failure domain divides the slots of its own servers among its own routers. A router of
//! another domain is not part of that division, so it comes only when its own servers are down.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use policy::{Health, Scheduler};
use tables::Pool;

use super::{Server, server_list::ServerList};
use directory::ListedVm;

/// How often the choice between the own and other failure domains is looked at.
const PERIOD: Duration = Duration::from_millis(200);

/// How long a decision holds without a new one.
const DECISION_LIFE: Duration = Duration::from_secs(10);

/// Which servers of a pool are in other failure domains.
#[derive(Debug, Default)]
pub(super) struct Locality {
    own_domain: String,
    remote: BTreeSet<SocketAddr>,
    decided: Option<Instant>,
}

impl Locality {
    /// Servers outside `own_domain` are remote; with an empty name none is.
    pub(super) fn new(own_domain: &str) -> Locality {
        Locality { own_domain: own_domain.to_owned(), ..Locality::default() }
    }

    /// Takes in the servers of the table.
    pub(super) fn follow_table(&mut self, pool: &Pool) {
        for server in &pool.servers {
            self.note(server.addr, &server.failure_domain);
        }
    }

    /// Takes in the platform's list.
    pub(super) fn follow_platform(&mut self, vms: &[&ListedVm]) {
        for vm in vms.iter().filter(|it| !it.failure_domain.is_empty()) {
            self.note(vm.addr, &vm.failure_domain);
        }
    }

    /// Whether the server is in another failure domain.
    pub(super) fn is_remote(&self, addr: SocketAddr) -> bool {
        self.remote.contains(&addr)
    }

    /// Opens the remote servers when no local one is usable, and closes them otherwise.
    pub(super) fn decide(
        &mut self,
        scheduler: &mut Scheduler,
        servers: &ServerList,
        now: Instant,
        slots: u32,
    ) {
        let is_due = self.decided.is_none_or(|it| now.saturating_duration_since(it) >= PERIOD);
        if self.remote.is_empty() || !is_due {
            return;
        }
        self.decided = Some(now);
        let (remote, local): (Vec<Server>, Vec<Server>) =
            servers.listed().into_iter().partition(|it| self.is_remote(it.addr));
        let is_usable =
            |it: &Server| matches!(scheduler.health(it.key), Some(Health::Up | Health::Suspect));
        let open = if local.iter().any(is_usable) { 0 } else { slots };
        for server in remote {
            scheduler.set_lease(server.key, open, now + DECISION_LIFE);
        }
    }

    fn note(&mut self, addr: SocketAddr, failure_domain: &str) {
        let is_remote = !self.own_domain.is_empty() && failure_domain != self.own_domain;
        if is_remote && self.remote.insert(addr) || !is_remote && self.remote.remove(&addr) {
            self.decided = None;
        }
    }
}
