//! The backend servers of one pool, merged from the table and the platform's list.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use policy::{BackendEntry, BackendKey, Scheduler, VersionHash};
use tables::Pool;

use super::{Server, ServerStatus};
use directory::{ListedVm, VmState};

/// The known servers with their current listing.
#[derive(Debug, Default)]
pub(super) struct ServerList {
    servers: BTreeMap<SocketAddr, KnownServer>,
    /// The next incarnation of servers that were missing from complete lists or replaced at their
    /// addresses, by name and by address. A list that is older than its predecessor may omit live servers or show
    /// replaced ones, and a list that does not tell when a server started shows a restart only by its
    /// absence, so they can return without a newer incarnation in the list.
    return_incarnations: BTreeMap<String, u64>,
    /// The servers whose addresses others have taken over, while the list still has both.
    replaced: BTreeSet<String>,
    /// The only software version of the servers, and since when it has been that.
    sole_version: Option<(Rc<str>, Instant)>,
    /// When the last complete list was applied.
    listed_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct KnownServer {
    key: BackendKey,
    incarnation: u64,
    listing: Listing,
    label: Rc<str>,
    software_version: Rc<str>,
    /// Consecutive complete lists from which it was missing.
    missed_lists: u32,
}

impl KnownServer {
    /// Whether the server accepts new requests.
    fn is_listed(&self) -> bool {
        matches!(self.listing, Listing::Table | Listing::Platform)
    }
}

/// Where a server is listed at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    Table,
    Platform,
    /// It was removed from the table.
    Removed,
    /// The platform lists it as leaving, which overrides the table.
    Leaving,
}

/// The number of consecutive complete lists from which a server must be missing to count as gone.
const MISSED_LISTS_MAX: u32 = 2;

/// The age of the last complete list up to which its servers count as all there are.
const SOLE_VERSION_LIST_AGE_MAX: Duration = Duration::from_secs(3);

/// The number of names and addresses of a pool for which a return is prepared.
const RETURNS_MAX: usize = 4_096;

impl ServerList {
    /// The servers that accept new requests.
    pub(super) fn listed(&self) -> Vec<Server> {
        let listed = self.servers.iter().filter(|(_, it)| it.is_listed());
        listed.map(|(addr, it)| Server { addr: *addr, key: it.key }).collect()
    }

    pub(super) fn find_by_key(&self, key: BackendKey) -> Option<Server> {
        let (addr, _) = self.servers.iter().find(|(_, it)| it.key == key)?;
        Some(Server { addr: *addr, key })
    }

    /// The name that a server reports of itself; empty if it is known by its address alone.
    pub(super) fn label(&self, key: BackendKey) -> Rc<str> {
        let known = self.servers.values().find(|it| it.key == key);
        known.map(|it| Rc::clone(&it.label)).unwrap_or_default()
    }

    /// The version of a server's software; empty if the list does not specify it.
    pub(super) fn software_version(&self, key: BackendKey) -> Rc<str> {
        let known = self.servers.values().find(|it| it.key == key);
        known.map(|it| Rc::clone(&it.software_version)).unwrap_or_default()
    }

    /// The version of all servers, if they have had none else for `time`; `None` without a fresh list,
    /// as servers of another version may have joined since.
    pub(super) fn sole_version(&self, now: Instant, time: Duration) -> Option<Rc<str>> {
        let is_fresh = self.listed_at.is_some_and(|it| now < it + SOLE_VERSION_LIST_AGE_MAX);
        let (version, since) = self.sole_version.as_ref().filter(|_| is_fresh)?;
        (now >= *since + time).then(|| Rc::clone(version))
    }

    fn update_sole_version(&mut self, now: Instant) {
        let mut versions = self.servers.values().map(|it| &it.software_version);
        let first = versions.next().filter(|first| versions.all(|it| it == *first)).cloned();
        let known = self.sole_version.take();
        self.sole_version = first.map(|first| match known {
            Some((version, since)) if version == first => (first, since),
            _ => (first, now),
        });
    }

    /// Records the incarnation that a server reports of itself.
    pub(super) fn record_incarnation(&mut self, addr: SocketAddr, incarnation: u64) {
        if let Some(known) = self.servers.get_mut(&addr) {
            known.incarnation = known.incarnation.max(incarnation);
        }
    }

    /// The status of the servers, except those that were removed from the table.
    pub(super) fn server_statuses(&self, slots: u32) -> Vec<ServerStatus> {
        let servers = self.servers.iter().filter(|(_, it)| it.listing != Listing::Removed);
        servers
            .map(|(addr, it)| ServerStatus {
                addr: *addr,
                incarnation: it.incarnation,
                is_leaving: it.listing == Listing::Leaving,
                slots,
            })
            .collect()
    }

    /// The server at an address, if it accepts new requests.
    pub(super) fn find_by_addr(&self, addr: SocketAddr) -> Option<Server> {
        let known = self.servers.get(&addr).filter(|it| it.is_listed())?;
        Some(Server { addr, key: known.key })
    }

    /// Applies the servers of the table.
    pub(super) fn apply_table(&mut self, scheduler: &mut Scheduler, now: Instant, pool: &Pool) {
        for server in &pool.servers {
            self.add_from_table(scheduler, now, &pool.name, server.addr);
        }
        let is_named = |addr: &SocketAddr| pool.servers.iter().any(|it| it.addr == *addr);
        for (addr, known) in &mut self.servers {
            if known.listing != Listing::Table || is_named(addr) {
                continue;
            }
            known.listing = Listing::Removed;
            pass_entry(
                scheduler,
                &pool.name,
                &addr.to_string(),
                known.incarnation,
                |scheduler, entry| scheduler.backend_leaving(now, entry),
            );
        }
    }

    /// Applies the platform's list. For a server that the table lists too, the platform's state
    /// takes precedence.
    pub(super) fn apply_platform_list(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        vms: &[&ListedVm],
    ) {
        for vm in self.newest_entries(vms) {
            self.remove_replaced(scheduler, now, pool, vm);
            let name = name(vm);
            let incarnation = self.incarnation(vm);
            let key = pass_entry(scheduler, pool, &name, incarnation, |scheduler, entry| match vm
                .state
            {
                VmState::Live => scheduler.backend_live(now, entry),
                VmState::Leaving => scheduler.backend_leaving(now, entry),
            });
            let Some(key) = key else { continue };
            if vm.slots > 0 {
                scheduler.set_slots(key, vm.slots);
            }
            self.forget_earlier_addresses(vm, key, incarnation);
            let known = self.servers.entry(vm.addr).or_insert(KnownServer {
                key,
                incarnation,
                listing: Listing::Platform,
                label: vm.label.as_str().into(),
                software_version: Rc::default(),
                missed_lists: 0,
            });
            known.missed_lists = 0;
            // An entry older than the last known restart of the server is stale.
            if incarnation >= known.incarnation {
                known.incarnation = incarnation;
                if *known.software_version != *vm.software_version {
                    known.software_version = vm.software_version.as_str().into();
                }
                scheduler.set_version(key, VersionHash::of(pool, &vm.software_version));
                known.listing = match (vm.state, known.listing) {
                    (VmState::Leaving, _) => Listing::Leaving,
                    (VmState::Live, Listing::Table) => Listing::Table,
                    (VmState::Live, _) => Listing::Platform,
                };
            }
        }
        self.update_sole_version(now);
    }

    /// Drops the other addresses of a server that has started again at a new one.
    fn forget_earlier_addresses(&mut self, vm: &ListedVm, key: BackendKey, incarnation: u64) {
        if !self.servers.contains_key(&vm.addr) {
            self.servers.retain(|_, it| it.key != key || it.incarnation > incarnation);
        }
    }

    /// One entry for each address: that of the newest server. A server that has crashed stays on the
    /// list for a while beside the one that has started at its address.
    fn newest_entries<'a>(&self, vms: &[&'a ListedVm]) -> Vec<&'a ListedVm> {
        let mut newest: BTreeMap<SocketAddr, &ListedVm> = BTreeMap::new();
        for vm in vms {
            let kept = newest.entry(vm.addr).or_insert(vm);
            if self.is_newer(vm, kept) {
                *kept = vm;
            }
        }
        newest.into_values().collect()
    }

    /// Whether one of two servers at the same address has started after the other, as far as the list
    /// and the lists before it tell.
    fn is_newer(&self, vm: &ListedVm, other: &ListedVm) -> bool {
        let known = self.servers.get(&vm.addr).map(|it| &it.label);
        let rank = |it: &ListedVm| {
            let is_known = known.is_some_and(|label| **label == *it.label);
            (it.incarnation, !self.replaced.contains(&it.label), !is_known)
        };
        rank(vm) > rank(other)
    }

    /// The incarnation of an entry, above those of the servers that have left under its name or from its
    /// address: what other routers report of those holds no longer.
    fn incarnation(&self, vm: &ListedVm) -> u64 {
        let of = |name: &String| self.return_incarnations.get(name).copied().unwrap_or_default();
        match vm.label.is_empty() {
            // Reports of other routers name the address alone and say which incarnation they mean.
            true => vm.incarnation,
            false => vm.incarnation.max(of(&vm.label)).max(of(&vm.addr.to_string())),
        }
    }

    fn prepare_return(&mut self, name: String, incarnation: u64) {
        if self.return_incarnations.len() >= RETURNS_MAX {
            self.return_incarnations.pop_first();
        }
        self.return_incarnations.insert(name, incarnation + 1);
    }

    /// Removes the servers that are missing from the last [`MISSED_LISTS_MAX`] complete lists, of
    /// which `vms` is the latest.
    pub(super) fn remove_missing(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        vms: &[&ListedVm],
    ) {
        self.listed_at = Some(now);
        self.replaced.retain(|label| vms.iter().any(|it| it.label == *label));
        let is_listed = |addr: SocketAddr, known: &KnownServer| {
            let is_same = |it: &&&ListedVm| it.addr == addr && *it.label == *known.label;
            // A server with an earlier start is another one.
            vms.iter().filter(is_same).any(|it| self.incarnation(it) >= known.incarnation)
        };
        let may_miss = self.servers.iter().filter(|(_, it)| it.listing != Listing::Table);
        let missing: Vec<_> =
            may_miss.filter(|(addr, it)| !is_listed(**addr, it)).map(|(addr, _)| *addr).collect();
        for addr in missing {
            if let Some(known) = self.servers.get_mut(&addr) {
                known.missed_lists += 1;
            }
        }
        let is_gone = |_: &SocketAddr, it: &mut KnownServer| it.missed_lists >= MISSED_LISTS_MAX;
        let gone: Vec<_> = self.servers.extract_if(.., is_gone).collect();
        for (addr, known) in gone {
            self.remove_gone(scheduler, now, pool, addr, &known);
        }
    }

    /// Removes a server that has left its address from the scheduler, unless it serves at another
    /// address by now.
    fn remove_gone(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        addr: SocketAddr,
        known: &KnownServer,
    ) {
        if self.servers.values().any(|it| it.key == known.key) {
            return;
        }
        let name = remove_from_scheduler(scheduler, now, pool, addr, known);
        self.prepare_return(name, known.incarnation);
        self.prepare_return(addr.to_string(), known.incarnation);
    }

    /// Removes a server whose address was taken over by another one.
    fn remove_replaced(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        vm: &ListedVm,
    ) {
        let is_replaced = |it: &KnownServer| !vm.label.is_empty() && *it.label != *vm.label;
        if self.servers.get(&vm.addr).is_some_and(is_replaced)
            && let Some(known) = self.servers.remove(&vm.addr)
        {
            if known.label.is_empty() {
                // Another router has reported the server that the list names now.
                remove_from_scheduler(scheduler, now, pool, vm.addr, &known);
                return;
            }
            self.replaced.insert(known.label.to_string());
            self.remove_gone(scheduler, now, pool, vm.addr, &known);
        }
    }

    fn add_from_table(
        &mut self,
        scheduler: &mut Scheduler,
        now: Instant,
        pool: &str,
        addr: SocketAddr,
    ) {
        // A server that returns to the table counts as restarted, because the scheduler accepts a
        // server that has left only under a newer incarnation.
        let incarnation = match self.servers.get(&addr) {
            Some(known) if known.listing != Listing::Removed => return,
            Some(known) => known.incarnation + 1,
            None => 0,
        };
        let key =
            pass_entry(scheduler, pool, &addr.to_string(), incarnation, |scheduler, entry| {
                scheduler.backend_live(now, entry)
            });
        if let Some(key) = key {
            let known = KnownServer {
                key,
                incarnation,
                listing: Listing::Table,
                label: Rc::default(),
                software_version: Rc::default(),
                missed_lists: 0,
            };
            self.servers.insert(addr, known);
        }
    }
}

/// Passes the entry of a server to the scheduler; `None` if the scheduler does not know the pool.
fn pass_entry(
    scheduler: &mut Scheduler,
    pool: &str,
    name: &str,
    incarnation: u64,
    report: impl FnOnce(&mut Scheduler, &BackendEntry<'_>) -> Option<BackendKey>,
) -> Option<BackendKey> {
    let pool = scheduler.pool(pool)?;
    report(scheduler, &BackendEntry { name, pool, incarnation })
}

/// The name by which the scheduler knows a server: its label, or its address if it has none.
fn name(vm: &ListedVm) -> String {
    match vm.label.is_empty() {
        true => vm.addr.to_string(),
        false => vm.label.clone(),
    }
}

/// Removes a server that has left from the scheduler; returns the name by which it was known there.
fn remove_from_scheduler(
    scheduler: &mut Scheduler,
    now: Instant,
    pool: &str,
    addr: SocketAddr,
    known: &KnownServer,
) -> String {
    let name = match known.label.is_empty() {
        true => addr.to_string(),
        false => known.label.to_string(),
    };
    tracing::info!(event = "server_left", pool, %addr, server = name);
    pass_entry(scheduler, pool, &name, known.incarnation, |scheduler, entry| {
        scheduler.backend_gone(now, entry)
    });
    name
}
