//! A dispatcher of one pool whose servers come from complete lists alone.

use std::rc::Rc;

use clock::ManualClock;
use futures::future::{FutureExt, LocalBoxFuture};
use policy::ProbeResult;
use router::{
    dispatch::{Dispatcher, ProbeTarget, Prober},
    identity::Workspaces,
};
use tables::Revision;

use super::{Setup, closed_port};

/// The pool.
pub(crate) const POOL: &str = "svc";

/// A prober whose probes find every server alive.
pub(crate) struct NoProber;

impl Prober for NoProber {
    fn probe(&self, _: &ProbeTarget) -> LocalBoxFuture<'static, ProbeResult> {
        async { ProbeResult::Alive }.boxed_local()
    }
}

/// A dispatcher without servers.
pub(crate) fn dispatcher(clock: &ManualClock) -> Dispatcher {
    let setup = Setup { services: vec![closed_port()], ..Setup::default() };
    let mut tables = tables::check(Revision(1), &setup.tables()).expect("the tables are valid");
    for pool in &mut tables.pools {
        pool.servers.clear();
    }
    let settings = policy::Settings::default();
    let dispatcher = Dispatcher::new(Rc::new(clock.clone()), Rc::new(NoProber), settings, "");
    dispatcher.configure(&tables, &Workspaces::default());
    dispatcher
}
