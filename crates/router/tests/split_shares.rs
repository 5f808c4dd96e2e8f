//! Guards against accepted tables of which a pool never takes the classes over, because several routes that are
//! split among pools guarantee more than the whole of one.

mod support;

use std::rc::Rc;

use clock::SystemClock;
use futures::FutureExt;
use policy::Repeat;
use router::{
    dispatch::{DispatchRequest, Dispatcher},
    identity::Workspaces,
};
use support::{listed::NoProber, run};
use tables::{Revision, TablesText};

const POOLS: &str = "[a]\nkind = service\nservers = 127.0.0.1:9@fd-1\n\
                     [b]\nkind = service\nservers = 127.0.0.1:9@fd-1\n";
const ROUTES: &str = "[lookup]\npath = /lookup\npriority = 1\npool = a\nsplit = a:1, b:1\n\
                      deadline_ms = 2000\nidempotent = yes\nshare_permille = 700\n\
                      [report]\npath = /report\npriority = 2\npool = b\n\
                      deadline_ms = 2000\nidempotent = yes\nshare_permille = 700\n";

#[test]
fn over_whole() {
    run(async {
        let text = TablesText { routes: ROUTES.to_owned(), pools: POOLS.to_owned() };
        let tables =
            tables::check(Revision(1), &text).expect("each pool is the own one of a route");
        let settings = policy::Settings::default();
        let prober = Rc::new(NoProber);
        let dispatcher = Dispatcher::new(Rc::new(SystemClock), prober, settings, "fd-1");
        dispatcher.configure(&tables, &Workspaces::default());
        for (pool, class) in [("a", "lookup"), ("b", "lookup"), ("b", "report")] {
            let request = DispatchRequest {
                pool,
                class,
                request_hash: 1,
                repeat: Repeat::Idempotent,
                ..DispatchRequest::default()
            };
            let lease = dispatcher.dispatch(request).now_or_never();
            assert!(matches!(lease, Some(Ok(_))), "{class} in {pool}");
        }
    });
}
