//! Reads the platform's list for the routers, so that its rate is spent by few.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use ::daemon::Watch;
use clock::Clock;
use directory::{Reader, encode_list};
use rpc::ServerList;

/// The newest list, and when the platform gave it.
pub(crate) struct ServerFeed {
    state: RefCell<State>,
    changed: Watch,
    clock: Rc<dyn Clock>,
}

struct State {
    stamp: u64,
    servers: Vec<u8>,
    read: Option<Instant>,
}

impl ServerFeed {
    /// A feed without a list; `epoch` keeps its stamps apart from those of other lives.
    pub(crate) fn new(epoch: u64, clock: Rc<dyn Clock>) -> ServerFeed {
        let state = State { stamp: epoch, servers: Vec::new(), read: None };
        ServerFeed { state: RefCell::new(state), changed: Watch::default(), clock }
    }

    /// Reads the list at a steady pace.
    pub(crate) async fn follow(self: Rc<Self>, reader: Reader, period: Duration) {
        let mut was_read = true;
        loop {
            let read = reader.read().await;
            if read.is_ok() != was_read {
                was_read = read.is_ok();
                tracing::info!(event = "platform_list", addr = %reader.addr(), is_readable = was_read);
            }
            match read {
                Ok(vms) => self.take(encode_list(&vms)),
                Err(error) => tracing::debug!(event = "platform_list_failed", %error),
            }
            monoio::time::sleep(period).await;
        }
    }

    /// Waits up to `wait` for another list than the one stamped `held`.
    pub(crate) async fn newer(&self, held: u64, wait: Duration) -> ServerList {
        let deadline = self.clock.now() + wait;
        while self.state.borrow().stamp == held || self.state.borrow().read.is_none() {
            let left = deadline.saturating_duration_since(self.clock.now());
            let change = self.changed.changed();
            if left.is_zero() || monoio::time::timeout(left, change).await.is_err() {
                break;
            }
        }
        let state = self.state.borrow();
        let Some(read) = state.read else { return ServerList::default() };
        let age = self.clock.now().saturating_duration_since(read);
        let servers = if state.stamp == held { Vec::new() } else { state.servers.clone() };
        ServerList { stamp: state.stamp, age, servers }
    }

    fn take(&self, servers: Vec<u8>) {
        let mut state = self.state.borrow_mut();
        let is_news = state.read.is_none() || state.servers != servers;
        state.read = Some(self.clock.now());
        if is_news {
            state.stamp = state.stamp.wrapping_add(1).max(1);
            state.servers = servers;
            drop(state);
            self.changed.notify();
        }
    }
}
