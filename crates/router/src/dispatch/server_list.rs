//! The backend servers of one pool as the table and the platform's list name them.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Instant};

use policy::{BackendEntry, BackendKey, Scheduler};
use tables::Pool;

use super::{Server, ServerStatus};
use directory::{ListedVm, VmState};

/// The servers that were named at any time.
#[derive(Debug, Default)]
pub(super) struct ServerList {
    known: BTreeMap<SocketAddr, Known>,
    /// The next incarnation of servers that were missing from whole lists: a list that was older
    /// than the one before may have left them out, so they may come back as they were.
    returns: BTreeMap<String, u64>,
}

#[derive(Debug, Clone)]
struct Known {
    key: BackendKey,
    incarnation: u64,
    listing: Listing,
    label: Rc<str>,
    /// Whole lists in a row from which it was missing.
    missed: u32,
}

impl Known {
    /// Whether the server gets new work.
    fn is_listed(&self) -> bool {
        matches!(self.listing, Listing::Table | Listing::Platform)
    }
}

/// Who names a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    Table,
    Platform,
    /// The table did, and does no longer.
    Removed,
    /// The platform says that it is leaving, whatever the table says.
    Leaving,
}

/// A server that is missing from this many whole lists in a row has left.
const MISSED_MAX: u32 = 2;

impl ServerList {
    pub(super) fn listed(&self) -> Vec<Server> {
        let listed = self.known.iter().filter(|(_, it)| it.is_listed());
        listed.map(|(addr, it)| Server { addr: *addr, key: it.key }).collect()
    }

    pub(super) fn find(&self, key: BackendKey) -> Option<Server> {
        let (addr, _) = self.known.iter().find(|(_, it)| it.key == key)?;
        Some(Server { addr: *addr, key })
    }

    /// The name under which a server answers; empty if it is known by its address alone.
    pub(super) fn label(&self, key: BackendKey) -> Rc<str> {
        let known = self.known.values().find(|it| it.key == key);
        known.map(|it| Rc::clone(&it.label)).unwrap_or_default()
    }

    /// Notes the incarnation that a server reports of itself.
    pub(super) fn note_incarnation(&mut self, addr: SocketAddr, incarnation: u64) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.incarnation = known.incarnation.max(incarnation);
        }
    }

    /// What is known of the servers, without those that the table no longer names.
    pub(super) fn server_statuses(&self, slots: u32) -> Vec<ServerStatus> {
        let seen = self.known.iter().filter(|(_, it)| it.listing != Listing::Removed);
        seen.map(|(addr, it)| ServerStatus {
            addr: *addr,
            incarnation: it.incarnation,
            is_leaving: it.listing == Listing::Leaving,
            slots,
        })
        .collect()
    }

    /// The server at an address, if it gets new work.
    pub(super) fn at(&self, addr: SocketAddr) -> Option<Server> {
        let known = self.known.get(&addr).filter(|it| it.is_listed())?;
        Some(Server { addr, key: known.key })
    }

    /// Takes in the servers of the table.
    pub(super) fn follow_table(&mut self, scheduler: &mut Scheduler, now: Instant, pool: &Pool) {
        for server in &pool.servers {
            self.list(scheduler, now, &pool.name, server.addr);
        }
        let named = |addr: &SocketAddr| pool.servers.iter().any(|it| it.addr == *addr);
        for (addr, known) in &mut self.known {
            if known.listing != Listing::Table || named(addr) {
                continue;
            }
            known.listing = Listing::Removed;
            sight(
                scheduler,
                &pool.name,
                &addr.to_string(),
                known.incarnation,
                |scheduler, seen| scheduler.backend_leaving(now, seen),
            );
        }
    }

    /// Takes in the platform's list. A server that the table names too goes by what the platform
    /// says of it.
    pub(super) fn follow_platform(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        vms: &[&ListedVm],
    ) {
        for vm in vms {
            self.drop_renamed(scheduler, now, pool, vm);
            let name = name(vm);
            let returned = self.returns.get(&name).copied().unwrap_or_default();
            let incarnation = vm.incarnation.max(returned);
            let key =
                sight(scheduler, pool, &name, incarnation, |scheduler, seen| match vm.state {
                    VmState::Live => scheduler.backend_live(now, seen),
                    VmState::Leaving => scheduler.backend_leaving(now, seen),
                });
            let Some(key) = key else { continue };
            if vm.slots > 0 {
                scheduler.set_slots(key, vm.slots);
            }
            let known = self.known.entry(vm.addr).or_insert(Known {
                key,
                incarnation,
                listing: Listing::Platform,
                label: vm.label.as_str().into(),
                missed: 0,
            });
            known.missed = 0;
            // Old news of a server that has restarted since says nothing.
            if incarnation >= known.incarnation {
                known.incarnation = incarnation;
                known.listing = match (vm.state, known.listing) {
                    (VmState::Leaving, _) => Listing::Leaving,
                    (VmState::Live, Listing::Table) => Listing::Table,
                    (VmState::Live, _) => Listing::Platform,
                };
            }
        }
    }

    /// Takes leave of the servers that are missing from whole lists.
    pub(super) fn drop_missing(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        vms: &[&ListedVm],
    ) {
        let is_missing = |addr: &SocketAddr, known: &Known| {
            known.listing != Listing::Table
                && !vms.iter().any(|it| it.addr == *addr && *it.label == *known.label)
        };
        for (addr, known) in &mut self.known {
            if is_missing(addr, known) {
                known.missed += 1;
            }
        }
        let gone = self.known.extract_if(.., |_, it| it.missed >= MISSED_MAX);
        for (addr, known) in gone {
            let name = leave(scheduler, now, pool, addr, &known);
            // One that was leaving has really left.
            if known.listing != Listing::Leaving {
                self.returns.insert(name, known.incarnation + 1);
            }
        }
    }

    /// Takes leave of a server whose address another one has now.
    fn drop_renamed(&mut self, scheduler: &mut Scheduler, now: Instant, pool: &str, vm: &ListedVm) {
        let renamed = |it: &Known| !vm.label.is_empty() && *it.label != *vm.label;
        if self.known.get(&vm.addr).is_some_and(renamed)
            && let Some(known) = self.known.remove(&vm.addr)
        {
            leave(scheduler, now, pool, vm.addr, &known);
        }
    }

    fn list(&mut self, scheduler: &mut Scheduler, now: Instant, pool: &str, addr: SocketAddr) {
        // A server that comes back into the table counts as restarted, because the scheduler
        // lets one that has left return only under a newer incarnation.
        let incarnation = match self.known.get(&addr) {
            Some(known) if known.listing != Listing::Removed => return,
            Some(known) => known.incarnation + 1,
            None => 0,
        };
        let key = sight(scheduler, pool, &addr.to_string(), incarnation, |scheduler, seen| {
            scheduler.backend_live(now, seen)
        });
        if let Some(key) = key {
            let (listing, label) = (Listing::Table, Rc::default());
            self.known.insert(addr, Known { key, incarnation, listing, label, missed: 0 });
        }
    }
}

fn sight(
    scheduler: &mut Scheduler,
    pool: &str,
    name: &str,
    incarnation: u64,
    tell: impl FnOnce(&mut Scheduler, &BackendEntry<'_>) -> Option<BackendKey>,
) -> Option<BackendKey> {
    let pool = scheduler.pool(pool)?;
    tell(scheduler, &BackendEntry { name, pool, incarnation })
}

/// The scheduler's name of a server: its own, or its address.
fn name(vm: &ListedVm) -> String {
    match vm.label.is_empty() {
        true => vm.addr.to_string(),
        false => vm.label.clone(),
    }
}

/// Tells the scheduler that a server has left; gives the name by which it knows the server.
fn leave(
    scheduler: &mut Scheduler,
    now: Instant,
    pool: &str,
    addr: SocketAddr,
    known: &Known,
) -> String {
    let name = match known.label.is_empty() {
        true => addr.to_string(),
        false => known.label.to_string(),
    };
    tracing::info!(event = "server_left", pool, %addr, server = name);
    sight(scheduler, pool, &name, known.incarnation, |scheduler, seen| {
        scheduler.backend_gone(now, seen)
    });
    name
}
