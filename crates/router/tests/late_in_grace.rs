//! Guards against a stop in which requests are cut off when the process is killed, instead of being answered
//! or refused before that.

mod support;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use expect_test::{Expect, expect};
use futures::{
    StreamExt,
    channel::mpsc,
    future::{join_all, pending},
};
use httpio::{
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
    time,
};
use router::{daemon::Stopped, stop_deadline::StopSchedule};
use support::{
    FakeServer, GrantingLedger, Setup, TestRouter, event_stream, lookup, order, request_id, run,
    streamed_chat, token_event, unstreamed_chat,
};

const GRACE: Duration = Duration::from_secs(8);
/// The pause between two tokens of a stream.
const TOKEN_PAUSE: Duration = Duration::from_millis(50);
const HEAD: &str = "POST /lookup/clip-7 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer token-of-north\r\n\
                    x-request-id: q1\r\ncontent-length: 2\r\n\r\n";

fn start(setup: Setup) -> TestRouter {
    Setup { stop_grace: GRACE, ledger: Rc::new(GrantingLedger::default()), ..setup }.start()
}

async fn open(router: &TestRouter, text: &'static str) -> TcpStream {
    let mut stream = TcpStream::connect_addr(router.addr).await.expect("the router listens");
    stream.write_all(text).await.0.expect("the text is written");
    stream
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = Vec::new();
    while let (Ok(length @ 1..), data) = stream.read(vec![0; 4096]).await {
        received.extend_from_slice(&data[..length]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn check_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    for field in ["x-outcome: not-run\r\n", "retry-after: ", "connection: close\r\n"] {
        assert!(answer.contains(field), "{answer}");
    }
}

/// A server that takes each request, reports it and never answers.
fn silent_server() -> (FakeServer, mpsc::UnboundedReceiver<()>) {
    let (taken, takes) = mpsc::unbounded();
    let server = FakeServer::start(async move |_: Request| -> Reply {
        taken.unbounded_send(()).expect("the test waits");
        pending().await
    });
    (server, takes)
}

/// Guards against a request that is passed on although its body came too late for an answer.
#[test]
fn late_body_refused() {
    run(async {
        let service = FakeServer::service();
        let router = start(Setup { services: vec![service.addr], ..Setup::default() });
        let mut stream = open(&router, HEAD).await;
        router.stop.unbounded_send(()).expect("the router runs");
        time::sleep(GRACE * 5 / 8).await;
        stream.write_all("{}").await.0.expect("the body is written");
        check_refused(&read_to_end(stream).await);
        assert!(service.request_lines().is_empty());
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::Gracefully);
    });
}

/// Guards against a stop that waits 30 s for the rest of a head or a body.
#[test]
fn partial_requests_refused() {
    run(async {
        let router = start(Setup::default());
        let parts = ["POST /lookup/clip-7 HTTP/1.1\r\nhost: a\r\n", HEAD];
        let streams = join_all(parts.map(|it| open(&router, it))).await;
        router.stop.unbounded_send(()).expect("the router runs");
        for answer in join_all(streams.into_iter().map(read_to_end)).await {
            check_refused(&answer);
        }
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::Gracefully);
    });
}

async fn check_unanswered(request: ClientRequest, expected: Expect) {
    let (server, mut taken) = silent_server();
    let router = start(Setup {
        engines: vec![server.addr],
        services: vec![server.addr],
        ..Setup::default()
    });
    let TestRouter { addr, stop, stopped, pool, .. } = router;
    let exchange = monoio::spawn(async move {
        let response = pool.send(addr, request).await.expect("an answer");
        let outcome = response.head.headers["x-outcome"].to_str().expect("text").to_owned();
        format!("{} {outcome}", response.head.status)
    });
    taken.next().await;
    stop.unbounded_send(()).expect("the router runs");
    expected.assert_eq(&exchange.await);
    assert_eq!(stopped.await.expect("no fault"), Stopped::Gracefully);
}

/// Guards against requests that get no answer because a server's answer does not come before the kill.
#[test]
fn in_flight_answered() {
    let timed_out = || expect!["504 Gateway Timeout may-have-run"];
    run(async {
        futures::join!(
            check_unanswered(lookup(), timed_out()),
            check_unanswered(unstreamed_chat(), timed_out()),
            check_unanswered(streamed_chat(), timed_out()),
        );
    });
}

/// Guards against an order whose caller is not told that it may have run.
#[test]
fn order_answered() {
    run(async {
        let expected = expect!["502 Bad Gateway may-have-run"];
        check_unanswered(order("k1"), expected).await;
    });
}

/// Guards against a stream that ends with the process, without the event that names the reason.
#[test]
fn stream_broken() {
    run(async {
        let engine = FakeServer::start(async |req| {
            let (mut sender, reply) = event_stream(&request_id(&req));
            monoio::spawn(async move {
                while sender.send(token_event(&request_id(&req), " more")).await.is_ok() {
                    time::sleep(TOKEN_PAUSE).await;
                }
            });
            reply
        });
        let router = start(Setup { engines: vec![engine.addr], ..Setup::default() });
        let mut response = router.send(streamed_chat()).await;
        response.body.next().await.expect("a token").expect("a whole chunk");
        router.stop.unbounded_send(()).expect("the router runs");
        let is_token = |event: &[u8]| event.starts_with(b"data: {");
        let mut last = response.body.next().await.expect("an event").expect("a whole chunk");
        while is_token(&last) {
            last = response.body.next().await.expect("an event").expect("a whole chunk");
        }
        assert!(String::from_utf8_lossy(&last).starts_with("event: error\n"), "{last:?}");
        assert!(matches!(response.body.next().await, Some(Err(_))));
        assert_eq!(router.stopped.await.expect("no fault"), Stopped::Gracefully);
    });
}

/// Guards against a stop that waits for a caller who does not read its answer.
#[test]
fn unread_answer_cut() {
    run(async {
        let engine = FakeServer::start(async |req| {
            let (mut sender, reply) = event_stream(&request_id(&req));
            monoio::spawn(async move {
                let event = token_event(&request_id(&req), " again");
                while sender.send(event.clone()).await.is_ok() {}
            });
            reply
        });
        let router = start(Setup { engines: vec![engine.addr], ..Setup::default() });
        let mut response = router.send(streamed_chat()).await;
        response.body.next().await.expect("a token").expect("a whole chunk");
        let stopped_at = Instant::now();
        router.stop.unbounded_send(()).expect("the router runs");
        let stopped = router.stopped.await.expect("no fault");
        assert_eq!(stopped, Stopped::AtDeadline { requests_cut: 1 });
        assert!(stopped_at.elapsed() >= GRACE / 2, "the stop did not wait");
    });
}

fn check_schedule(drain_delay_ms: u64, grace: Duration, expected: Expect) {
    let schedule = StopSchedule::new(Duration::from_millis(drain_delay_ms), grace);
    let StopSchedule { close_after, receive_until, answer_until, end_after, .. } = schedule;
    let steps = [close_after, receive_until, answer_until, end_after];
    assert!(steps.is_sorted() && end_after <= grace, "{schedule:?}");
    expected.assert_eq(&steps.map(|it| it.as_millis().to_string()).join(" "));
}

/// Guards against steps that pass the kill, and times that overflow.
#[test]
fn schedule_within_grace() {
    check_schedule(2_400, Duration::from_secs(8), expect!["2400 7000 7500 7750"]);
    check_schedule(300, Duration::from_secs(2), expect!["300 1500 1750 1875"]);
    check_schedule(5_000, Duration::from_secs(4), expect!["3000 3000 3500 3750"]);
    check_schedule(u64::MAX, Duration::MAX, expect!["86399000 86399000 86399500 86399750"]);
    check_schedule(0, Duration::ZERO, expect!["0 0 0 0"]);
}
