//! Streamed parts are sent immediately and with backpressure. Truncated streams and disconnected
//! callers are detected.

mod support;

use std::{cell::Cell, rc::Rc};

use expect_test::expect;
use futures::{StreamExt, channel::mpsc};
use httpio::{
    Bytes, HeaderMap, Limits, StatusCode,
    client::Connection,
    server::{Reply, StopSignals, StreamSender},
    signal::{self, Signal},
};

const PART_BYTES: usize = 64 << 10;
const CAPACITY_PARTS: usize = 1;

fn stream(produce: impl AsyncFnOnce(StreamSender) + 'static) -> Reply {
    let (sender, reply) = Reply::stream(StatusCode::OK, HeaderMap::new(), CAPACITY_PARTS);
    monoio::spawn(async move { produce(sender).await });
    reply
}

#[test]
fn sends_parts_immediately() {
    support::run(async {
        let (request_part, mut part_requests) = mpsc::unbounded::<()>();
        let part_requests =
            Rc::new(Cell::new(Some(std::mem::replace(&mut part_requests, mpsc::unbounded().1))));
        let addr = support::serve(Limits::default(), StopSignals::default(), move |_| {
            let mut part_requests = part_requests.take().expect("one request");
            async move {
                stream(async move |mut sender| {
                    while part_requests.next().await.is_some() {
                        sender
                            .send(Bytes::from_static(b"part"))
                            .await
                            .expect("the caller is connected");
                    }
                    sender.finish().await.expect("the caller is connected");
                })
            }
        });
        let connection =
            Connection::open(addr, Limits::default()).await.expect("the server accepts");
        let mut response = connection.send(support::get("/")).await.expect("a response head");
        for _ in 0..3 {
            request_part.unbounded_send(()).expect("the producer waits");
            let part = response.body.next().await.expect("a part").expect("a whole part");
            assert_eq!(part, "part");
        }
        drop(request_part);
        assert!(response.body.next().await.is_none());
    });
}

#[test]
fn slow_caller_backpressure() {
    support::run(async {
        let produced = Rc::new(Cell::new(0));
        let count = Rc::clone(&produced);
        let addr = support::serve(Limits::default(), StopSignals::default(), move |_| {
            let count = Rc::clone(&count);
            async move {
                stream(async move |mut sender| {
                    while sender.send(vec![b'x'; PART_BYTES].into()).await.is_ok() {
                        count.set(count.get() + 1);
                    }
                })
            }
        });
        let connection =
            Connection::open(addr, Limits::default()).await.expect("the server accepts");
        let mut response = connection.send(support::get("/")).await.expect("a response head");
        let stalled = wait_until_stable(&produced).await;
        let mut read_bytes = 0;
        while produced.get() == stalled {
            read_bytes += response.body.next().await.expect("more").expect("a part").len();
        }
        // The producer waited for capacity and continued only after the caller read.
        assert!(read_bytes > 0);
    });
}

/// Lets the other tasks run until the count stays the same for many polls.
async fn wait_until_stable(count: &Cell<usize>) -> usize {
    let (mut last, mut unchanged_polls) = (count.get(), 0);
    while unchanged_polls < 300 {
        monoio::time::sleep(std::time::Duration::ZERO).await;
        unchanged_polls = if count.get() == last { unchanged_polls + 1 } else { 0 };
        last = count.get();
    }
    last
}

#[test]
fn truncated_stream() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| {
            stream(async |mut sender| {
                sender.send("half".into()).await.expect("the caller is connected")
            })
        });
        let pool = support::pool(Limits::default());
        expect!["200 OK, then the connection ended before the answer did (head received)"]
            .assert_eq(&support::text(pool.send(addr, support::get("/")).await).await);
    });
}

#[test]
fn disconnect_during_stream() {
    support::run(async {
        let (trigger, detected) = signal::signal();
        let trigger = Rc::new(Cell::new(Some(trigger)));
        let addr = support::serve(Limits::default(), StopSignals::default(), move |req| {
            let trigger = trigger.take().expect("one request");
            async move {
                let disconnected: Signal = req.disconnected;
                stream(async move |sender| {
                    disconnected.raised().await;
                    assert!(sender.is_closed());
                    trigger.raise();
                })
            }
        });
        let connection =
            Connection::open(addr, Limits::default()).await.expect("the server accepts");
        drop(connection.send(support::get("/")).await.expect("a response head"));
        detected.raised().await;
    });
}

#[test]
fn disconnect_before_reply() {
    support::run(async {
        let (trigger, detected) = signal::signal();
        let trigger = Rc::new(Cell::new(Some(trigger)));
        let addr = support::serve(Limits::default(), StopSignals::default(), move |req| {
            let trigger = trigger.take().expect("one request");
            async move {
                req.disconnected.raised().await;
                trigger.raise();
                Reply::abort()
            }
        });
        let limits = Limits { head_timeout_ms: 50, ..Limits::default() };
        let pool = support::pool(limits);
        expect!["no head came in time (request sent)"]
            .assert_eq(&support::text(pool.send(addr, support::get("/")).await).await);
        detected.raised().await;
    });
}
