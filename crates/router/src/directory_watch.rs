//! Follows the platform's list for as long as the router runs: through a control VM that reads it
//! for all, or by itself while none does.

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

/// A control VM's list that is older than this is not used. The platform gives a leaving server at
/// least three seconds, of which its list lags by up to one.
const SHARED_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The pause after a question that no control VM answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Where and how the list is read.
pub(crate) struct DirectorySource {
    pub(crate) reader: Reader,
    pub(crate) period: Duration,
    /// To a control VM that reads the list, if there is one.
    pub(crate) link: Option<Link>,
}

/// Passes the list on to the schedulers.
pub(crate) struct DirectoryWatch {
    pub(crate) source: DirectorySource,
    pub(crate) services: Rc<Services>,
    pub(crate) tables: Rc<dyn TableSource>,
    pub(crate) held: Held,
}

/// The list as it was read last.
#[derive(Default)]
pub(crate) struct Held {
    vms: RefCell<Vec<ListedVm>>,
    /// The stamp of the control VM's list; zero for one that the router read itself.
    stamp: Cell<u64>,
    /// When the router last read the list itself.
    own_read: Cell<Option<Instant>>,
    is_unreadable: Cell<bool>,
}

impl DirectoryWatch {
    /// Starts following, for as long as the process lives.
    pub(crate) fn start(self) {
        let watch = Rc::new(self);
        monoio::spawn(Rc::clone(&watch).follow_tables());
        monoio::spawn(watch.follow_list());
    }

    /// New tables get the last list at once, since they may name pools whose servers are known.
    async fn follow_tables(self: Rc<Self>) {
        loop {
            let revision = self.tables.current().revision;
            self.tables.newer_than(revision).await;
            self.apply(Absence::Inconclusive);
        }
    }

    async fn follow_list(self: Rc<Self>) {
        loop {
            if self.read_shared().await {
                self.apply(self.source.reader.directory().absence());
                continue;
            }
            self.read_if_due().await;
            time::sleep(RETRY_PAUSE.min(self.source.period)).await;
        }
    }

    /// Takes the list of the control VM, which answers once it has another one or the period is
    /// over; gives whether that list is fresh.
    async fn read_shared(&self) -> bool {
        let Some(client) = self.source.link.as_ref().and_then(|it| it.client().ok()) else {
            return false;
        };
        let Ok(list) = client.fetch_servers(self.held.stamp.get(), self.source.period).await else {
            return false;
        };
        if list.stamp == 0 || list.age > SHARED_AGE_MAX {
            return false;
        }
        if list.stamp == self.held.stamp.get() {
            return true;
        }
        match decode_list(&list.servers) {
            Ok(vms) => {
                self.held.vms.replace(vms);
                self.held.stamp.set(list.stamp);
                true
            }
            Err(error) => {
                tracing::warn!(event = "shared_list_refused", addr = %client.addr(), %error);
                false
            }
        }
    }

    /// Reads the list itself, once a period.
    async fn read_if_due(&self) {
        let now = self.services.clock.now();
        let last = self.held.own_read.get();
        if last.is_some_and(|it| now.saturating_duration_since(it) < self.source.period) {
            return;
        }
        self.held.own_read.set(Some(now));
        let addr = self.source.reader.addr();
        let read = self.source.reader.read().await;
        if self.held.is_unreadable.replace(read.is_err()) != read.is_err() {
            tracing::info!(event = "platform_list", %addr, is_readable = read.is_ok());
        }
        match read {
            Ok(vms) => {
                self.held.vms.replace(vms);
                self.held.stamp.set(0);
                self.apply(self.source.reader.directory().absence());
            }
            Err(error) => tracing::debug!(event = "platform_list_failed", %addr, %error),
        }
    }

    fn apply(&self, absence: Absence) {
        let (tables, vms) = (self.tables.current(), self.held.vms.borrow());
        for pool in tables.pools.iter().filter(|it| it.discovery == Discovery::Platform) {
            let own: Vec<_> = vms.iter().filter(|it| it.pool == pool.name).collect();
            match absence {
                Absence::Inconclusive => self.services.dispatcher.update_servers(&pool.name, &own),
                Absence::Removed => self.services.dispatcher.replace_servers(&pool.name, &own),
            }
        }
    }
}
