//! The lookup service: idempotent reads, which are safe to retry.

use std::{cell::Cell, rc::Rc};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method,
    server::{Reply, Request},
};
use monoio::time;
use serde::Serialize;

use crate::{
    faults::FaultInjector, handler::Service, reply, settings::LookupSettings, stats::Stats,
};

const PATH_PREFIX: &str = "/lookup/";

/// The result of a lookup; every name has one.
#[derive(Debug, Serialize)]
struct Entry<'a> {
    name: &'a str,
    value: String,
}

pub(crate) struct Lookup {
    settings: LookupSettings,
    injector: Rc<FaultInjector>,
    lookups: Cell<u64>,
}

impl Lookup {
    pub(crate) fn new(settings: LookupSettings, injector: Rc<FaultInjector>) -> Lookup {
        Lookup { settings, injector, lookups: Cell::new(0) }
    }

    async fn look_up(&self, request: Request) -> Reply {
        let name = request.uri.path().strip_prefix(PATH_PREFIX).unwrap_or_default();
        if request.method != Method::GET || name.is_empty() {
            return reply::not_found();
        }
        if self.injector.matches_crash_marker(name) {
            self.injector.crash();
        }
        let slowdown_permille = self.injector.faults().slowdown_permille;
        time::sleep(self.settings.work_time(slowdown_permille)).await;
        self.lookups.set(self.lookups.get() + 1);
        reply::ok(&Entry { name, value: format!("entry of {name}") })
    }
}

impl Service for Lookup {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        async move { self.look_up(request).await }.boxed_local()
    }

    fn stats(&self) -> Stats {
        let lookups = self.lookups.get();
        Stats { requests_started: lookups, requests_finished: lookups, ..Stats::default() }
    }
}
