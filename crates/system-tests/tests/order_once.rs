//! Guards against an order that runs twice when its router is killed or suspended, or when the
//! control VMs lose their quorum.

use std::thread;

use system_tests::{Reply, Setup, Site, chat, order, wait_for};

const BODY: &str = r#"{"charge":1}"#;

/// More failed commands than a short outage causes.
const FAILED_COMMANDS: usize = 6;

/// Orders that run long enough for a test to inject a fault meanwhile.
const SLOW_ORDERS: Setup = Setup { engines: 1, order_work_ms: 3_000 };

/// Sends an order on its own thread and waits until it has started.
fn start_order(site: &Site, router: &str, key: &'static str) -> thread::JoinHandle<Option<Reply>> {
    let addr = site.addr(router);
    let sent = thread::spawn(move || order(addr, key, BODY));
    site.await_orders_started(1);
    sent
}

fn resend(site: &Site, router: &str, key: &str) -> Reply {
    site.order(router, key, BODY).expect("the router answers")
}

#[test]
fn resend_gets_stored_answer() {
    let site = Site::start(Setup::default());
    let first = resend(&site, "router-1", "k");
    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"), "{first:?}");
    assert_eq!(resend(&site, "router-2", "k"), first);
    let other = site.order("router-2", "k", r#"{"charge":2}"#).expect("the router answers");
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"), "{other:?}");
    assert_eq!(site.order_count("k"), 1);
}

#[test]
fn killed_router() {
    let mut site = Site::start(SLOW_ORDERS);
    let sent = start_order(&site, "router-1", "k");
    site.kill("router-1");
    assert_eq!(sent.join().expect("the caller ends"), None);
    let again = resend(&site, "router-2", "k");
    assert_eq!((again.status, again.outcome.as_str()), (409, "may-have-run"), "{again:?}");
    wait_for("the execution", || (site.order_count("k") > 0).then_some(()));
    let again = resend(&site, "router-2", "k");
    assert_eq!((again.status, again.outcome.as_str()), (409, "may-have-run"), "{again:?}");
    assert_eq!(site.order_count("k"), 1);
}

#[test]
fn suspended_router() {
    let site = Site::start(SLOW_ORDERS);
    let sent = start_order(&site, "router-1", "k");
    site.suspend("router-1");
    let again = resend(&site, "router-2", "k");
    assert_eq!((again.status, again.outcome.as_str()), (409, "may-have-run"), "{again:?}");
    wait_for("the execution", || (site.order_count("k") > 0).then_some(()));
    site.resume("router-1");
    let first = sent.join().expect("the caller ends").expect("the router answers");
    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"), "{first:?}");
    let stored = resend(&site, "router-2", "k");
    assert_eq!(stored, first);
    assert_eq!(site.order_count("k"), 1);
}

#[test]
fn no_quorum() {
    let mut site = Site::start(Setup::default());
    site.kill("control-2");
    site.kill("control-3");
    for router in ["router-1", "router-2"] {
        let refused = resend(&site, router, "k");
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{refused:?}");
        let answer = chat(site.addr(router), "still there?", 4).expect("the router answers");
        assert!(answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n"), "{answer:?}");
    }
    assert_eq!(site.order_count("k"), 0);
}

#[test]
fn restored_quorum() {
    let mut site = Site::start(Setup::default());
    site.kill("control-2");
    site.kill("control-3");
    let refused = resend(&site, "router-1", "k");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{refused:?}");
    // The claim and several attempts to release it fail before the quorum is restored.
    wait_for("failed attempts to release the claim", || {
        let log = site.log("router-1");
        let failed =
            log.matches("command_refused").count() + log.matches("command_in_doubt").count();
        (failed > FAILED_COMMANDS).then_some(())
    });
    site.restart("control-2");
    // The order that was answered with `not-run` can run now.
    wait_for("the order to run", || (resend(&site, "router-1", "k").status == 200).then_some(()));
    assert_eq!(site.order_count("k"), 1);
}
