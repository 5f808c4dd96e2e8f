//! Guards against requests that are routed by outdated tables. A change applies from the next
//! request on, while requests in flight finish.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures::{FutureExt, StreamExt, channel::mpsc, future::LocalBoxFuture};
use router::table_source::TableSource;
use support::{FakeServer, Setup, run, streamed_chat, unstreamed_chat};
use tables::{Revision, Tables, TablesText};

/// Tables that the test replaces.
#[derive(Clone)]
struct ChangingTables {
    current_tables: Rc<RefCell<Rc<Tables>>>,
    changes: Rc<RefCell<Option<mpsc::UnboundedReceiver<()>>>>,
    changed: mpsc::UnboundedSender<()>,
}

impl ChangingTables {
    fn new(text: &TablesText) -> ChangingTables {
        let (changed, changes) = mpsc::unbounded();
        let tables = tables::check(Revision(1), text).expect("the tables are valid");
        let current_tables = Rc::new(RefCell::new(Rc::new(tables)));
        ChangingTables { current_tables, changes: Rc::new(RefCell::new(Some(changes))), changed }
    }

    fn set(&self, text: &TablesText) {
        let next = Revision(self.current_tables.borrow().revision.0 + 1);
        let tables = tables::check(next, text).expect("the tables are valid");
        *self.current_tables.borrow_mut() = Rc::new(tables);
        self.changed.unbounded_send(()).expect("the router follows");
    }
}

impl TableSource for ChangingTables {
    fn current(&self) -> Rc<Tables> {
        Rc::clone(&self.current_tables.borrow())
    }

    fn newer_than(&self, _held: Revision) -> LocalBoxFuture<'static, ()> {
        let slot = Rc::clone(&self.changes);
        async move {
            let mut changes = slot.borrow_mut().take().expect("one follower");
            changes.next().await;
            *slot.borrow_mut() = Some(changes);
        }
        .boxed_local()
    }
}

#[test]
fn server_is_replaced() {
    run(async {
        let (old, new) = (FakeServer::engine(&[" old"]), FakeServer::engine(&[" new"]));
        let before = Setup { engines: vec![old.addr], ..Setup::default() };
        let after = Setup { engines: vec![new.addr], ..Setup::default() }.tables();
        let tables = ChangingTables::new(&before.tables());
        let router = before.start_with(Rc::new(tables.clone()));
        assert!(router.exchange(unstreamed_chat()).await.contains(" old"));

        tables.set(&after);
        // The router applies the change the next time its task runs.
        while !router.exchange(unstreamed_chat()).await.contains(" new") {}
        let old_requests = old.requests.borrow().len();
        for _ in 0..3 {
            assert!(router.exchange(unstreamed_chat()).await.contains(" new"));
        }
        assert_eq!(
            old.requests.borrow().len(),
            old_requests,
            "a removed server gets no new requests"
        );

        tables.set(&single_engine_tables(old.addr));
        while !router.exchange(unstreamed_chat()).await.contains(" old") {}
    });
}

fn single_engine_tables(addr: std::net::SocketAddr) -> TablesText {
    Setup { engines: vec![addr], ..Setup::default() }.tables()
}

#[test]
fn class_is_removed() {
    run(async {
        let engine = FakeServer::engine(&[" one"]);
        let setup = Setup { engines: vec![engine.addr], ..Setup::default() };
        let mut text = setup.tables();
        let tables = ChangingTables::new(&text);
        let router = setup.start_with(Rc::new(tables.clone()));
        assert!(router.exchange(unstreamed_chat()).await.starts_with("200 OK"));

        text.routes = text.routes.replace("[chat]", "[talk]");
        tables.set(&text);
        assert!(
            router
                .exchange(unstreamed_chat())
                .await
                .starts_with("404 Not Found\nx-outcome: not-run")
        );
    });
}

#[test]
fn workspace_limit() {
    run(async {
        let started = Rc::new(Cell::new(0));
        let count = Rc::clone(&started);
        let engine = FakeServer::start(async move |req| {
            count.set(count.get() + 1);
            req.disconnected.raised().await;
            httpio::server::Reply::abort()
        });
        let chat = "workspace_in_flight_max = 1";
        let router =
            Rc::new(Setup { engines: vec![engine.addr], chat, ..Setup::default() }.start());
        let first = Rc::clone(&router);
        drop(monoio::spawn(async move { first.exchange(streamed_chat()).await }));
        while started.get() == 0 {
            monoio::time::sleep(std::time::Duration::ZERO).await;
        }
        let second = router.exchange(streamed_chat()).await;
        assert!(second.starts_with("429 Too Many Requests\nx-outcome: not-run"), "{second}");
        assert!(second.contains("retry-after: 1"), "{second}");
    });
}
