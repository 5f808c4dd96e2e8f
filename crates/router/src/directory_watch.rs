//! Keeps the servers of pools up to date with the platform's list of VMs.
//!
//! The router fetches the list from a control VM, which reads it for all routers. While no control
//! VM has a fresh list, the router reads the platform's list itself.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use directory::{Absence, ListedVm, Reader, decode_list};
use monoio::time;
use rpc::Link;
use tables::Discovery;

use crate::{services::Services, table_source::TableSource};

/// The maximum age of a control VM's list. The platform stops a leaving server after three seconds
/// at the earliest, and its list lags by up to one second.
const SHARED_AGE_MAX: Duration = Duration::from_millis(1_500);

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
}

/// The last list that was read.
#[derive(Default)]
pub(crate) struct CachedList {
    vms: RefCell<Vec<ListedVm>>,
    /// The stamp of the control VM's list; zero for a list that the router read itself.
    stamp: Cell<u64>,
    /// The time at which the router last read the list itself.
    last_own_read: Cell<Option<Instant>>,
    /// Whether the router's last own read failed; only a change of it is logged at info level.
    is_unreadable: Cell<bool>,
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
        loop {
            if self.fetch_shared_list().await {
                self.apply(self.source.reader.directory().absence());
                continue;
            }
            self.read_own_list_if_due().await;
            time::sleep(RETRY_PAUSE.min(self.source.period)).await;
        }
    }

    /// Fetches the list of the control VM, which answers when its list changes or the period ends.
    /// Returns whether that list is fresh.
    async fn fetch_shared_list(&self) -> bool {
        let Some(client) = self.source.link.as_ref().and_then(|it| it.client().ok()) else {
            return false;
        };
        let Ok(list) = client.fetch_servers(self.cached.stamp.get(), self.source.period).await
        else {
            return false;
        };
        if list.stamp == 0 || list.age > SHARED_AGE_MAX {
            return false;
        }
        if list.stamp == self.cached.stamp.get() {
            return true;
        }
        match decode_list(&list.servers) {
            Ok(vms) => {
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

    /// Reads the platform's list directly, at most once a period.
    async fn read_own_list_if_due(&self) {
        let now = self.services.clock.now();
        let last = self.cached.last_own_read.get();
        if last.is_some_and(|it| now.saturating_duration_since(it) < self.source.period) {
            return;
        }
        self.cached.last_own_read.set(Some(now));
        let addr = self.source.reader.addr();
        let read = self.source.reader.read().await;
        if self.cached.is_unreadable.replace(read.is_err()) != read.is_err() {
            tracing::info!(event = "platform_list", %addr, is_readable = read.is_ok());
        }
        match read {
            Ok(vms) => {
                self.cached.vms.replace(vms);
                self.cached.stamp.set(0);
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
