//! The platform's list of live and leaving VMs, which lags behind changes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use clock::Clock;
use derive_more::FromStr;
use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method,
    server::{Reply, Request},
};
use serde::{Deserialize, Serialize};

use crate::{handler::Service, lagged::Lagged, reply, settings::PlatformSettings, stats::Stats};

/// One VM of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct VmEntry {
    /// The name of the VM.
    pub vm: String,
    /// The address at which its server listens.
    pub addr: SocketAddr,
    /// The failure domain that it belongs to.
    pub failure_domain: String,
    /// The pool that it serves.
    pub pool: String,
    /// Increases with each restart of the VM.
    pub incarnation: u64,
    /// Whether the VM is live or leaving.
    pub state: VmState,
}

/// The lifecycle state of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM accepts work.
    #[default]
    Live,
    /// The VM is about to stop and must not receive new work.
    Leaving,
}

pub(crate) struct Platform {
    clock: Rc<dyn Clock>,
    vms: RefCell<Lagged<Vec<VmEntry>>>,
    /// The list before the latest change.
    previous: RefCell<Vec<VmEntry>>,
    stale_read_every: u64,
    reads: Cell<u64>,
}

impl Platform {
    pub(crate) fn new(settings: PlatformSettings, clock: Rc<dyn Clock>) -> Platform {
        let lag = settings.list_lag();
        Platform {
            previous: RefCell::new(settings.vms.clone()),
            vms: RefCell::new(Lagged::new(lag, clock.now(), settings.vms)),
            stale_read_every: settings.stale_read_every,
            reads: Cell::new(0),
            clock,
        }
    }

    fn list(&self) -> Reply {
        self.reads.set(self.reads.get() + 1);
        if self.stale_read_every > 0 && self.reads.get().is_multiple_of(self.stale_read_every) {
            return reply::ok(&*self.previous.borrow());
        }
        reply::ok(self.vms.borrow().visible(self.clock.now()).0)
    }

    fn replace(&self, request: &Request) -> Reply {
        match reply::parse_body::<Vec<VmEntry>>(request) {
            Ok(vms) => {
                let reply = reply::ok(&vms);
                self.previous.replace(self.vms.borrow().latest().clone());
                self.vms.borrow_mut().set(self.clock.now(), vms);
                reply
            }
            Err(error) => error.into(),
        }
    }
}

impl Service for Platform {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        let reply = match (&request.method, request.uri.path()) {
            (&Method::GET, "/vms") => self.list(),
            (&Method::POST, "/vms") => self.replace(&request),
            _ => reply::not_found(),
        };
        futures::future::ready(reply).boxed_local()
    }

    fn stats(&self) -> Stats {
        let reads = self.reads.get();
        Stats { requests_started: reads, requests_finished: reads, ..Stats::default() }
    }
}
