//! A failed exchange reports the stage that it had reached, and a pool reuses only connections
//! whose last exchange is complete.

mod support;

use std::time::Duration;

use clock::ManualClock;
use expect_test::expect;
use httpio::{
    Limits, StatusCode,
    client::{Pool, PoolSettings, Stage},
    server::{Reply, StopSignals},
};

fn ok() -> Reply {
    Reply::typed(StatusCode::OK, "text/plain", "ok".into())
}

#[test]
fn refused_connection() {
    support::run(async {
        let (listener, addr) = support::listen();
        drop(listener);
        let error = support::pool(Limits::default()).send(addr, support::get("/")).await;
        assert_eq!(error.expect_err("the listener is closed").stage, Stage::NotConnected);
    });
}

#[test]
fn unresponsive_server() {
    support::run(async {
        let limits = Limits { head_timeout_ms: 30, ..Limits::default() };
        let (_listener, addr) = support::listen();
        let answer = support::pool(limits).send(addr, support::get("/")).await;
        expect!["no head came in time (request sent)"].assert_eq(&support::text(answer).await);
    });
}

#[test]
fn stalled_body() {
    support::run(async {
        let limits = Limits { idle_timeout_ms: 30, ..Limits::default() };
        let addr = support::serve(Limits::default(), StopSignals::default(), async |req| {
            let (mut sender, reply) = Reply::stream(StatusCode::OK, Default::default(), 1);
            monoio::spawn(async move {
                sender.send("first".into()).await.expect("the caller is connected");
                req.disconnected.raised().await;
            });
            reply
        });
        let answer = support::pool(limits).send(addr, support::get("/")).await;
        expect!["200 OK, then the body paused for too long (head received)"]
            .assert_eq(&support::text(answer).await);
    });
}

#[test]
fn expired_connection() {
    support::run(async {
        let clock = ManualClock::default();
        let settings = PoolSettings { idle_age_ms: 100, ..PoolSettings::default() };
        let pool = Pool::new(settings, std::rc::Rc::new(clock.clone()));
        let addr = support::serve(Limits::default(), StopSignals::default(), async |req| {
            Reply::typed(StatusCode::OK, "text/plain", req.peer.port().to_string().into())
        });

        let first = support::text(pool.send(addr, support::get("/")).await).await;
        assert_eq!(support::text(pool.send(addr, support::get("/")).await).await, first);
        clock.advance(Duration::from_millis(100));
        assert_ne!(support::text(pool.send(addr, support::get("/")).await).await, first);
    });
}

#[test]
fn unread_body_closes() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| ok());
        let pool = support::pool(Limits::default());
        drop(pool.send(addr, support::get("/")).await.expect("a response head"));
        assert_eq!(pool.idle_count(addr), 0);
    });
}

#[test]
fn closed_idle_connection() {
    support::run(async {
        let (addr, accepted) =
            support::raw_server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        let pool = support::pool(Limits::default());
        for _ in 0..2 {
            let answer = support::text(pool.send(addr, support::get("/")).await).await;
            assert_eq!(answer, "200 OK: ok");
            // The server accepts this connection only after it has closed the previous one.
            drop(pool.send_on_new_connection(addr, support::get("/")).await);
        }
        assert_eq!(accepted.get(), 4);
    });
}
