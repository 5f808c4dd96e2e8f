//! Keeps the servers of pools up to date with the platform's list of VMs.
//!
//! The router fetches the list from a control VM, which reads it for all routers. While no control
//! VM has a fresh list and its own is old, the router reads the platform's list itself.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use directory::{
    Absence, LIST_AGE_MAX, ListedVm, OnRefusal, OwnRead, OwnReads, Reader, decode_list,
};
use monoio::time;
use rpc::Link;
use tables::Discovery;

use crate::{services::Services, table_source::TableSource};

/// The pause after a fetch from the control VMs failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The source of the list.
pub(crate) struct DirectorySource {
    pub(crate) reader: Reader,
    pub(crate) period: Duration,
    /// The link to a control VM that reads the list, if there is one.
    pub(crate) link: Option<Link>,
}

/// Passes each new list to the schedulers.
pub(crate) struct DirectoryWatch {
    pub(crate) source: DirectorySource,
    pub(crate) services: Rc<Services>,
    pub(crate) tables: Rc<dyn TableSource>,
    pub(crate) cached: CachedList,
    pub(crate) own_reads: RefCell<OwnReads>,
}

/// The last list that was read.
#[derive(Default)]
pub(crate) struct CachedList {
    vms: RefCell<Vec<ListedVm>>,
    /// The stamp of the control VM's list; zero for a list that the router read itself.
    stamp: Cell<u64>,
}

impl DirectoryWatch {
    /// Starts the tasks that keep the servers up to date, for as long as the process runs.
    pub(crate) fn start(self) {
        let watch = Rc::new(self);
        monoio::spawn(Rc::clone(&watch).apply_to_new_tables());
        monoio::spawn(watch.update_list());
    }

    /// Applies the last list to new tables at once, since they may add pools whose servers are
    /// already known.
    async fn apply_to_new_tables(self: Rc<Self>) {
        loop {
            let revision = self.tables.current().revision;
            self.tables.newer_than(revision).await;
            self.apply(Absence::Inconclusive);
        }
    }

    async fn update_list(self: Rc<Self>) {
        self.await_use().await;
        loop {
            if self.fetch_shared_list().await {
                self.apply(self.source.reader.directory().absence());
                continue;
            }
            self.read_own_list_if_due().await;
            time::sleep(RETRY_PAUSE.min(self.source.period)).await;
        }
    }

    /// Waits for tables that use the list. Those that come from a control VM are followed by its list.
    async fn await_use(&self) {
        loop {
            let tables = self.tables.current();
            if tables.pools.iter().any(|it| it.discovery == Discovery::Platform) {
                break;
            }
            self.tables.newer_than(tables.revision).await;
        }
        if self.source.link.is_some() {
            let now = self.services.clock.now();
            self.own_reads.borrow_mut().await_control(now, self.random_share());
        }
    }

    /// A random number from 0 to 1.
    fn random_share(&self) -> f64 {
        f64::from(self.services.ids.nonce() as u32) / f64::from(u32::MAX)
    }

    /// Fetches the list of the control VM, which answers when its list changes or the period ends.
    /// Returns whether that list is fresh.
    async fn fetch_shared_list(&self) -> bool {
        let Some(client) = self.source.link.as_ref().and_then(|it| it.client().ok()) else {
            return false;
        };
        let wait = self.own_reads.borrow().time_for_control(self.services.clock.now());
        let Ok(list) = client.fetch_servers(self.cached.stamp.get(), wait).await else {
            return false;
        };
        if list.stamp == 0 || list.age > LIST_AGE_MAX {
            return false;
        }
        let read_at = self.services.clock.now().checked_sub(list.age);
        if list.stamp == self.cached.stamp.get() {
            self.own_reads.borrow_mut().shared_list(read_at);
            return true;
        }
        match decode_list(&list.servers) {
            Ok(vms) => {
                self.own_reads.borrow_mut().shared_list(read_at);
                if self.cached.stamp.get() == 0 {
                    tracing::info!(event = "list_source", addr = %client.addr(), is_shared = true);
                }
                self.cached.vms.replace(vms);
                self.cached.stamp.set(list.stamp);
                true
            }
            Err(error) => {
                tracing::warn!(event = "shared_list_refused", addr = %client.addr(), %error);
                false
            }
        }
    }

    /// Reads the platform's list directly, if the known one is old and the last read is long enough ago.
    async fn read_own_list_if_due(&self) {
        let started = self.services.clock.now();
        if let Some(domain) = self.services.domain.get() {
            self.own_reads.borrow_mut().set_routers(domain.router_count());
        }
        if !self.own_reads.borrow().is_due(started) {
            return;
        }
        let addr = self.source.reader.addr();
        let read = self.source.reader.read(OnRefusal::Fail).await;
        let result = if read.is_ok() { OwnRead::Succeeded } else { OwnRead::Failed };
        if self.own_reads.borrow_mut().ended(started, result, self.random_share()) {
            tracing::info!(event = "platform_list", %addr, is_readable = read.is_ok());
        }
        match read {
            Ok(vms) => {
                if self.cached.stamp.replace(0) != 0 {
                    tracing::info!(event = "list_source", %addr, is_shared = false);
                }
                self.cached.vms.replace(vms);
                self.apply(self.source.reader.directory().absence());
            }
            Err(error) => tracing::debug!(event = "platform_list_failed", %addr, %error),
        }
    }

    fn apply(&self, absence: Absence) {
        let (tables, vms) = (self.tables.current(), self.cached.vms.borrow());
        for pool in tables.pools.iter().filter(|it| it.discovery == Discovery::Platform) {
            let pool_vms: Vec<_> = vms.iter().filter(|it| it.pool == pool.name).collect();
            match absence {
                Absence::Inconclusive => {
                    self.services.dispatcher.update_servers(&pool.name, &pool_vms)
                }
                Absence::Removed => self.services.dispatcher.replace_servers(&pool.name, &pool_vms),
            }
        }
    }
}
