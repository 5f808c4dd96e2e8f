//! Guards against engines that work on for a caller that has disconnected, or that generate without
//! backpressure for a slow one.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use futures::{StreamExt, channel::mpsc};
use httpio::{Limits, StatusCode, client::Connection, server::Reply};
use support::{FakeServer, Setup, event_stream, request_id, run, streamed_chat, token_event};

/// An engine whose streams never end, the ids of the streams it is asked to cancel, and the number
/// of events that it has sent.
fn endless_engine() -> (FakeServer, mpsc::UnboundedReceiver<String>, Rc<Cell<usize>>) {
    let (cancelled, cancels) = mpsc::unbounded();
    let sent = Rc::new(Cell::new(0));
    let count = Rc::clone(&sent);
    let engine = FakeServer::start(async move |req| {
        if req.method == httpio::Method::DELETE {
            let id = req.uri.path().rsplit('/').next().unwrap_or_default().to_owned();
            cancelled.unbounded_send(id).expect("the test receives");
            return Reply::typed(StatusCode::OK, "application/json", "{}".into());
        }
        let (mut sender, reply) = event_stream(&request_id(&req));
        let count = Rc::clone(&count);
        monoio::spawn(async move {
            let event = token_event(&request_id(&req), &" word".repeat(2_000));
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
        assert_eq!(cancelled, request_id(&engine.requests.borrow()[0]));
    });
}

#[test]
fn pending_request_cancelled() {
    run(async {
        let (cancelled, mut cancels) = mpsc::unbounded();
        let (arrived, mut arrivals) = mpsc::unbounded();
        let engine = FakeServer::start(async move |req| {
            if req.method == httpio::Method::DELETE {
                cancelled.unbounded_send(()).expect("the test receives");
                return Reply::typed(StatusCode::OK, "application/json", "{}".into());
            }
            arrived.unbounded_send(()).expect("the test receives");
            req.disconnected.raised().await;
            Reply::abort()
        });
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let limits = Limits { head_timeout_ms: 50, ..Limits::default() };
        let connection = Connection::open(router.addr, limits).await.expect("a router");
        assert!(connection.send(streamed_chat()).await.is_err(), "the caller times out");
        arrivals.next().await.expect("the engine received the request");
        cancels.next().await.expect("the engine receives the cancellation");
    });
}

#[test]
fn queued_caller_disconnects() {
    run(async {
        let (engine, mut cancels, _) = endless_engine();
        let pool = "in_flight_max = 1";
        let router = Setup { engines: vec![engine.addr], pool, ..Setup::default() }.start();
        let running = Connection::open(router.addr, Limits::default()).await.expect("a router");
        let mut running = running.send(streamed_chat()).await.expect("a head");
        running.body.next().await.expect("a token").expect("a whole chunk");

        let short_timeout = Limits { head_timeout_ms: 50, ..Limits::default() };
        let queued = Connection::open(router.addr, short_timeout).await.expect("a router");
        assert!(queued.send(streamed_chat()).await.is_err(), "the caller times out");
        while !router.admin("/metrics").await.contains(r#"pool="llm",status="408"} 1"#) {}
        drop(running);
        cancels.next().await.expect("the engine receives the first cancellation");
        let third = Connection::open(router.addr, Limits::default()).await.expect("a router");
        third.send(streamed_chat()).await.expect("a head");
        assert_eq!(
            engine.request_lines().iter().filter(|it| it.ends_with("completions")).count(),
            2
        );
    });
}

#[test]
fn slow_caller_backpressure() {
    run(async {
        let (engine, _cancels, sent) = endless_engine();
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let connection = Connection::open(router.addr, Limits::default()).await.expect("a router");
        let mut response = connection.send(streamed_chat()).await.expect("a head");
        // Without backpressure the engine never stalls and this call does not return.
        let stalled = wait_until_stalled(&sent).await;
        while sent.get() == stalled {
            response.body.next().await.expect("more").expect("a whole chunk");
        }
    });
}

/// Lets other tasks run until the count is unchanged for 300 turns, and returns it.
async fn wait_until_stalled(count: &Cell<usize>) -> usize {
    let (mut last, mut unchanged_turns) = (count.get(), 0);
    while last == 0 || unchanged_turns < 300 {
        monoio::time::sleep(Duration::ZERO).await;
        unchanged_turns = if count.get() == last { unchanged_turns + 1 } else { 0 };
        last = count.get();
    }
    last
}
