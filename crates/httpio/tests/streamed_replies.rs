//! Streams reach the caller part by part, at the caller's pace, and a cut one is seen as cut.

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

const BIG_PART_BYTES: usize = 64 << 10;
const CAPACITY: usize = 1;

fn stream(produce: impl AsyncFnOnce(StreamSender) + 'static) -> Reply {
    let (sender, reply) = Reply::stream(StatusCode::OK, HeaderMap::new(), CAPACITY);
    monoio::spawn(async move { produce(sender).await });
    reply
}

#[test]
fn parts_leave_at_once() {
    support::run(async {
        let (go, mut goes) = mpsc::unbounded::<()>();
        let goes = Rc::new(Cell::new(Some(std::mem::replace(&mut goes, mpsc::unbounded().1))));
        let addr = support::serve(Limits::default(), StopSignals::default(), move |_| {
            let mut goes = goes.take().expect("one request");
            async move {
                stream(async move |mut sender| {
                    while goes.next().await.is_some() {
                        sender.send(Bytes::from_static(b"part")).await.expect("a caller");
                    }
                    sender.finish().await.expect("a caller");
                })
            }
        });
        let connection = Connection::open(addr, Limits::default()).await.expect("a server");
        let mut response = connection.send(support::get("/")).await.expect("a head");
        for _ in 0..3 {
            go.unbounded_send(()).expect("a producer");
            let part = response.body.next().await.expect("a part").expect("a whole part");
            assert_eq!(part, "part");
        }
        drop(go);
        assert!(response.body.next().await.is_none());
    });
}

#[test]
fn slow_caller_waits() {
    support::run(async {
        let produced = Rc::new(Cell::new(0));
        let count = Rc::clone(&produced);
        let addr = support::serve(Limits::default(), StopSignals::default(), move |_| {
            let count = Rc::clone(&count);
            async move {
                stream(async move |mut sender| {
                    while sender.send(vec![b'x'; BIG_PART_BYTES].into()).await.is_ok() {
                        count.set(count.get() + 1);
                    }
                })
            }
        });
        let connection = Connection::open(addr, Limits::default()).await.expect("a server");
        let mut response = connection.send(support::get("/")).await.expect("a head");
        let stalled = settled(&produced).await;
        let mut read_bytes = 0;
        while produced.get() == stalled {
            read_bytes += response.body.next().await.expect("more").expect("a part").len();
        }
        // The producer was held back and went on only because the caller read.
        assert!(read_bytes > 0);
    });
}

/// Lets the other tasks run until the count has stood still for many turns.
async fn settled(count: &Cell<usize>) -> usize {
    let (mut last, mut still) = (count.get(), 0);
    while still < 300 {
        monoio::time::sleep(std::time::Duration::ZERO).await;
        still = if count.get() == last { still + 1 } else { 0 };
        last = count.get();
    }
    last
}

#[test]
fn abort_is_seen() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| {
            stream(async |mut sender| sender.send("half".into()).await.expect("a caller"))
        });
        let pool = support::pool(Limits::default());
        expect!["200 OK, then the connection ended before the answer did (head received)"]
            .assert_eq(&support::text(pool.send(addr, support::get("/")).await).await);
    });
}

#[test]
fn gone_caller_is_seen() {
    support::run(async {
        let (noticed, seen) = signal::signal();
        let noticed = Rc::new(Cell::new(Some(noticed)));
        let addr = support::serve(Limits::default(), StopSignals::default(), move |req| {
            let noticed = noticed.take().expect("one request");
            async move {
                let gone: Signal = req.disconnected;
                stream(async move |sender| {
                    gone.raised().await;
                    assert!(sender.is_closed());
                    noticed.raise();
                })
            }
        });
        let connection = Connection::open(addr, Limits::default()).await.expect("a server");
        drop(connection.send(support::get("/")).await.expect("a head"));
        seen.raised().await;
    });
}

#[test]
fn gone_before_reply() {
    support::run(async {
        let (noticed, seen) = signal::signal();
        let noticed = Rc::new(Cell::new(Some(noticed)));
        let addr = support::serve(Limits::default(), StopSignals::default(), move |req| {
            let noticed = noticed.take().expect("one request");
            async move {
                req.disconnected.raised().await;
                noticed.raise();
                Reply::abort()
            }
        });
        let limits = Limits { head_timeout_ms: 50, ..Limits::default() };
        let pool = support::pool(limits);
        expect!["no head came in time (request sent)"]
            .assert_eq(&support::text(pool.send(addr, support::get("/")).await).await);
        seen.raised().await;
    });
}
