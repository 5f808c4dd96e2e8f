//! Reads the platform's server list on behalf of the routers, so that few clients count against the
//! platform's rate limit.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use ::daemon::Watch;
use clock::Clock;
use directory::{Reader, encode_list};
use rpc::ServerList;

/// The newest server list and when it was read from the platform.
pub(crate) struct ServerFeed {
    state: RefCell<State>,
    changed: Watch,
    clock: Rc<dyn Clock>,
}

struct State {
    stamp: u64,
    servers: Vec<u8>,
    read_at: Option<Instant>,
}

impl ServerFeed {
    /// Creates a feed without a list; `epoch` distinguishes its stamps from those of earlier runs.
    pub(crate) fn new(epoch: u64, clock: Rc<dyn Clock>) -> ServerFeed {
        let state = State { stamp: epoch, servers: Vec::new(), read_at: None };
        ServerFeed { state: RefCell::new(state), changed: Watch::default(), clock }
    }

    /// Reads the list at a fixed interval.
    pub(crate) async fn poll(self: Rc<Self>, reader: Reader, period: Duration) {
        let mut was_read = true;
        loop {
            let read = reader.read().await;
            if read.is_ok() != was_read {
                was_read = read.is_ok();
                tracing::info!(event = "platform_list", addr = %reader.addr(), is_readable = was_read);
            }
            match read {
                Ok(vms) => self.update(encode_list(&vms)),
                Err(error) => tracing::debug!(event = "platform_list_failed", %error),
            }
            monoio::time::sleep(period).await;
        }
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

    fn update(&self, servers: Vec<u8>) {
        let mut state = self.state.borrow_mut();
        let is_changed = state.read_at.is_none() || state.servers != servers;
        state.read_at = Some(self.clock.now());
        if is_changed {
            state.stamp = state.stamp.wrapping_add(1).max(1);
            state.servers = servers;
            drop(state);
            self.changed.notify();
        }
    }
}
