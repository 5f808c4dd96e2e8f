//! A caller that has gone costs the engine no more work, and a slow one holds the engine back.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use futures::{StreamExt, channel::mpsc};
use httpio::{Limits, StatusCode, client::Connection, server::Reply};
use support::{Fake, Setup, event_stream, id_of, run, streamed_chat, token_event};

/// An engine whose streams never end, and the ids that it is told to cancel.
fn endless_engine() -> (Fake, mpsc::UnboundedReceiver<String>, Rc<Cell<usize>>) {
    let (cancelled, cancels) = mpsc::unbounded();
    let sent = Rc::new(Cell::new(0));
    let count = Rc::clone(&sent);
    let engine = Fake::start(async move |req| {
        if req.method == httpio::Method::DELETE {
            let id = req.uri.path().rsplit('/').next().unwrap_or_default().to_owned();
            cancelled.unbounded_send(id).expect("the test waits");
            return Reply::typed(StatusCode::OK, "application/json", "{}".into());
        }
        let (mut sender, reply) = event_stream(&id_of(&req));
        let count = Rc::clone(&count);
        monoio::spawn(async move {
            let event = token_event(&id_of(&req), &" word".repeat(2_000));
            while sender.send(event.clone()).await.is_ok() {
                count.set(count.get() + 1);
            }
        });
        reply
    });
    (engine, cancels, sent)
}

#[test]
fn stream_is_cancelled() {
    run(async {
        let (engine, mut cancels, _) = endless_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let connection = Connection::open(router.addr, Limits::default()).await.expect("a router");
        let mut response = connection.send(streamed_chat()).await.expect("a head");
        response.body.next().await.expect("a token").expect("a whole chunk");
        drop(response);
        let cancelled = cancels.next().await.expect("the engine runs");
        assert_eq!(cancelled, id_of(&engine.seen.borrow()[0]));
    });
}

#[test]
fn silent_wait_is_cancelled() {
    run(async {
        let (cancelled, mut cancels) = mpsc::unbounded();
        let (asked, mut asks) = mpsc::unbounded();
        let engine = Fake::start(async move |req| {
            if req.method == httpio::Method::DELETE {
                cancelled.unbounded_send(()).expect("the test waits");
                return Reply::typed(StatusCode::OK, "application/json", "{}".into());
            }
            asked.unbounded_send(()).expect("the test waits");
            req.disconnected.raised().await;
            Reply::abort()
        });
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let limits = Limits { head_timeout_ms: 50, ..Limits::default() };
        let connection = Connection::open(router.addr, limits).await.expect("a router");
        assert!(connection.send(streamed_chat()).await.is_err(), "the caller gives up");
        asks.next().await.expect("the engine was asked");
        cancels.next().await.expect("the engine is told");
    });
}

#[test]
fn queued_caller_leaves() {
    run(async {
        let (engine, mut cancels, _) = endless_engine();
        let pool = "in_flight_max = 1";
        let router = Setup { engines: vec![engine.addr], pool, ..Setup::default() }.start();
        let running = Connection::open(router.addr, Limits::default()).await.expect("a router");
        let mut running = running.send(streamed_chat()).await.expect("a head");
        running.body.next().await.expect("a token").expect("a whole chunk");

        let impatient = Limits { head_timeout_ms: 50, ..Limits::default() };
        let queued = Connection::open(router.addr, impatient).await.expect("a router");
        assert!(queued.send(streamed_chat()).await.is_err(), "the caller gives up");
        while !router.admin("/metrics").await.contains(r#"pool="llm",status="408"} 1"#) {}
        drop(running);
        cancels.next().await.expect("the engine is told of the first");
        let third = Connection::open(router.addr, Limits::default()).await.expect("a router");
        third.send(streamed_chat()).await.expect("a head");
        assert_eq!(engine.paths().iter().filter(|it| it.ends_with("completions")).count(), 2);
    });
}

#[test]
fn slow_caller_holds_back() {
    run(async {
        let (engine, _cancels, sent) = endless_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let connection = Connection::open(router.addr, Limits::default()).await.expect("a router");
        let mut response = connection.send(streamed_chat()).await.expect("a head");
        // Without backpressure the engine would go on for ever and this would not return.
        let stalled = settled(&sent).await;
        while sent.get() == stalled {
            response.body.next().await.expect("more").expect("a whole chunk");
        }
    });
}

/// Lets the other tasks run until the count has stood still for many turns.
async fn settled(count: &Cell<usize>) -> usize {
    let (mut last, mut still) = (count.get(), 0);
    while last == 0 || still < 300 {
        monoio::time::sleep(Duration::ZERO).await;
        still = if count.get() == last { still + 1 } else { 0 };
        last = count.get();
    }
    last
}
