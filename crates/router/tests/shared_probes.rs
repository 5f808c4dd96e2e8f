//! Requests that a server cuts off at once wait for one probe of it.

mod support;

use std::{cell::Cell, rc::Rc};

use clock::SystemClock;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};
use policy::{Execution, Failure, ProbeResult, Repeat};
use router::{
    dispatch::{DispatchRequest, Dispatcher, Lease, ProbeTarget, Prober, RetryResult},
    identity::Workspaces,
};
use support::{Setup, closed_port, run};
use tables::Revision;

const REQUESTS: usize = 4;

/// A prober whose probes last until the test releases them.
#[derive(Clone, Default)]
struct HeldProber {
    probes: Rc<Cell<usize>>,
    is_released: Rc<Cell<bool>>,
}

impl Prober for HeldProber {
    fn probe(&self, _: &ProbeTarget) -> LocalBoxFuture<'static, ProbeResult> {
        self.probes.set(self.probes.get() + 1);
        let is_released = Rc::clone(&self.is_released);
        async move {
            while !is_released.get() {
                monoio::time::sleep(std::time::Duration::from_millis(1)).await;
            }
            ProbeResult::Alive
        }
        .boxed_local()
    }
}

async fn lease(dispatcher: &Dispatcher, request_hash: u64) -> Lease {
    let request = DispatchRequest {
        pool: "svc",
        class: "lookup",
        request_hash,
        repeat: Repeat::Idempotent,
        ..DispatchRequest::default()
    };
    dispatcher.dispatch(request).await.expect("a server is up")
}

/// Guards against a probe for each request that a crashed server cuts off: connections to servers
/// are dear, and one result serves all.
#[test]
fn cut_off_together() {
    run(async {
        let setup = Setup { services: vec![closed_port()], ..Setup::default() };
        let tables = tables::check(Revision(1), &setup.tables()).expect("the tables are valid");
        let prober = HeldProber::default();
        let settings = policy::Settings::default();
        let shared_prober = Rc::new(prober.clone());
        let dispatcher = Dispatcher::new(Rc::new(SystemClock), shared_prober, settings, "fd-1");
        dispatcher.configure(&tables, &Workspaces::default());
        let leases = join_all((0..REQUESTS as u64).map(|it| lease(&dispatcher, it + 1))).await;
        let retry = async |mut lease: Lease| {
            let report = lease.report_failure(Failure::Reset, Execution::MayHaveRun).await;
            let result = lease.wait_for_retry(report).await;
            (lease, result)
        };
        let retries = join_all(leases.into_iter().map(retry));
        futures::pin_mut!(retries);
        assert!(retries.as_mut().now_or_never().is_none(), "all wait for the probe");
        prober.is_released.set(true);
        for (_, result) in retries.await {
            assert!(matches!(result, RetryResult::Placed), "{result:?}");
        }
        assert_eq!(prober.probes.get(), 1);
    });
}
