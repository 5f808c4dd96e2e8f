//! Provides the platform's server list to the routers.
//!
//! The platform limits how often its list is read. So the leader reads it for all control VMs, and the
//! others fetch it from the leader; one that gets no fresh list there reads it itself.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use ::daemon::Watch;
use clock::Clock;
use consensus::NodeId;
use directory::{ListedVm, OnRefusal, Reader, decode_list, encode_list};
use monoio::time;
use rpc::ServerList;

use crate::{replica::Replica, version_history::VersionKeeper};

/// The time that a read of the list may take before the leader's list counts as late.
const READ_TIME: Duration = Duration::from_millis(100);
/// The time that an answer of the leader may take beside the wait that it was asked for.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Where a control VM gets the list from.
pub(crate) struct ListSource {
    pub(crate) reader: Reader,
    /// The interval between two reads of the platform's list.
    pub(crate) period: Duration,
    pub(crate) replica: Rc<Replica>,
}

/// The newest server list and when it was read from the platform.
pub(crate) struct ServerFeed {
    state: RefCell<State>,
    changed: Watch,
    clock: Rc<dyn Clock>,
    versions: VersionKeeper,
}

/// The newest list.
pub(crate) struct CurrentList {
    /// Differs from that of any other list of this process.
    pub(crate) stamp: u64,
    pub(crate) servers: Rc<[ListedVm]>,
    /// The time since it was read from the platform.
    pub(crate) age: Duration,
}

struct State {
    stamp: u64,
    servers: Vec<u8>,
    /// The newest list that could be decoded.
    decoded: Rc<[ListedVm]>,
    /// When the list was read from the platform, by this or by another control VM.
    read_at: Option<Instant>,
    /// The control VM from which a list was last fetched, and the stamp of that list.
    fetched: Option<(NodeId, u64)>,
}

impl ServerFeed {
    /// Creates a feed without a list; `epoch` distinguishes its stamps from those of earlier runs.
    pub(crate) fn new(epoch: u64, clock: Rc<dyn Clock>, versions: VersionKeeper) -> ServerFeed {
        let state = State {
            stamp: epoch,
            servers: Vec::new(),
            decoded: Rc::default(),
            read_at: None,
            fetched: None,
        };
        ServerFeed { state: RefCell::new(state), changed: Watch::default(), clock, versions }
    }

    /// Keeps the list fresh for the lifetime of the process.
    pub(crate) async fn keep_fresh(self: Rc<Self>, source: ListSource) {
        let mut was_read = true;
        loop {
            if self.fetch_from_leader(&source).await.is_some() {
                continue;
            }
            let read = source.reader.read(OnRefusal::Continue).await;
            if read.is_ok() != was_read {
                was_read = read.is_ok();
                let addr = source.reader.addr();
                tracing::info!(event = "platform_list", %addr, is_readable = was_read);
            }
            match read {
                Ok(vms) => {
                    // The leader's next list replaces this one even if it has not changed since.
                    self.state.borrow_mut().fetched = None;
                    self.update(encode_list(&vms), Duration::ZERO);
                }
                Err(error) => tracing::debug!(event = "platform_list_failed", %error),
            }
            time::sleep(source.period).await;
        }
    }

    /// Fetches the list from the leader when it has changed or should have been read again; `None` if
    /// there is no other leader or its list is late.
    async fn fetch_from_leader(&self, source: &ListSource) -> Option<()> {
        let (leader, client) = source.replica.other_leader()?;
        let held = self.state.borrow().fetched.filter(|it| it.0 == leader).map_or(0, |it| it.1);
        let wait = source.period.saturating_sub(self.age().unwrap_or(source.period)) + READ_TIME;
        let list = time::timeout(wait + ANSWER_TIME, client.fetch_servers(held, wait)).await;
        let list = list.ok()?.ok()?;
        if list.stamp == 0 || list.age > source.period + 2 * READ_TIME {
            return None;
        }
        self.state.borrow_mut().fetched = Some((leader, list.stamp));
        let servers = match list.stamp == held {
            true => self.state.borrow().servers.clone(),
            false => list.servers,
        };
        self.update(servers, list.age);
        Some(())
    }

    fn age(&self) -> Option<Duration> {
        let read_at = self.state.borrow().read_at?;
        Some(self.clock.now().saturating_duration_since(read_at))
    }

    /// The list with its stamp and its age; `None` before the first one.
    pub(crate) fn current(&self) -> Option<CurrentList> {
        let age = self.age()?;
        let state = self.state.borrow();
        Some(CurrentList { stamp: state.stamp, servers: Rc::clone(&state.decoded), age })
    }

    /// Waits up to `wait` for a list with another stamp than `held`.
    ///
    /// The servers are left out of the answer if the stamp still equals `held`.
    pub(crate) async fn newer(&self, held: u64, wait: Duration) -> ServerList {
        let deadline = self.clock.now() + wait;
        while self.state.borrow().stamp == held || self.state.borrow().read_at.is_none() {
            let left = deadline.saturating_duration_since(self.clock.now());
            let change = self.changed.changed();
            if left.is_zero() || monoio::time::timeout(left, change).await.is_err() {
                break;
            }
        }
        let state = self.state.borrow();
        let Some(read_at) = state.read_at else { return ServerList::default() };
        let age = self.clock.now().saturating_duration_since(read_at);
        let servers = if state.stamp == held { Vec::new() } else { state.servers.clone() };
        ServerList { stamp: state.stamp, age, servers }
    }

    /// Replaces the list by one that was read from the platform `age` ago.
    fn update(&self, servers: Vec<u8>, age: Duration) {
        let mut state = self.state.borrow_mut();
        let is_changed = state.read_at.is_none() || state.servers != servers;
        state.read_at = self.clock.now().checked_sub(age);
        if !is_changed {
            drop(state);
            self.versions.list_read(None);
            return;
        }
        match decode_list(&servers) {
            Ok(vms) => {
                self.versions.list_read(Some(&vms));
                state.decoded = vms.into();
            }
            Err(error) => tracing::warn!(event = "shared_list_refused", %error),
        }
        state.stamp = state.stamp.wrapping_add(1).max(1);
        state.servers = servers;
        drop(state);
        self.changed.notify();
    }
}
