//! Guards against requests that hang on a silent connection. The router probes the server on a new
//! connection to tell a lost connection from a dead server.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use expect_test::expect;
use httpio::{
    StatusCode,
    server::{Reply, Request},
};
use router::services::Timeouts;
use support::{
    FakeServer, Setup, event_stream, last_events, lookup, request_id, run, streamed_chat,
    token_event,
};

const SHORT_TIMEOUTS: Timeouts = Timeouts {
    first_silence_ms: 30,
    silence_ms: 30,
    resumes_max: 2,
    engine_call_timeout_ms: 10_000,
    ledger_timeout_ms: 10_000,
};

/// Sends the first token and then nothing until the router disconnects.
fn first_token_only(req: Request) -> Reply {
    let (mut sender, reply) = event_stream(&request_id(&req));
    monoio::spawn(async move {
        let _ = sender.send(token_event(&request_id(&req), " first")).await;
        req.disconnected.raised().await;
    });
    reply
}

fn remaining_stream(req: &Request) -> Reply {
    let id = request_id(req);
    let (mut sender, reply) = event_stream(&id);
    monoio::spawn(async move {
        let _ = sender.send(token_event(&id, " second")).await;
        let _ = sender.send(last_events(&id, 2)).await;
        let _ = sender.finish().await;
    });
    reply
}

#[test]
fn silent_stream_resumed() {
    run(async {
        let engine = FakeServer::start(async |req| match req.uri.path() {
            "/v1/chat/completions" => first_token_only(req),
            _ => remaining_stream(&req),
        });
        let router =
            Setup { engines: vec![engine.addr], timeouts: SHORT_TIMEOUTS, ..Setup::default() }
                .start();
        let answer = router.exchange(streamed_chat()).await;
        assert_eq!(answer.matches(" first").count(), 1, "{answer}");
        assert!(answer.contains(" second") && answer.ends_with("data: [DONE]\n\n"), "{answer}");
        assert_eq!(
            engine.request_lines(),
            ["POST /v1/chat/completions", "POST /v1/streams/ID/resume"]
        );
    });
}

#[test]
fn unresumable_stream_fails() {
    run(async {
        let engine = FakeServer::start(async |req| match req.uri.path() {
            "/v1/chat/completions" => first_token_only(req),
            _ => Reply::typed(StatusCode::NOT_FOUND, "text/plain", "".into()),
        });
        let router =
            Setup { engines: vec![engine.addr], timeouts: SHORT_TIMEOUTS, ..Setup::default() }
                .start();
        expect![[r#"
            200 OK
            x-outcome: ran
            x-request-id: q1
            content-type: text/event-stream
            data: {"id":"q1","model":"m","choices":[{"index":0,"delta":{"content":" first"},"finish_reason":null}]}

            event: error
            data: {"error":{"code":"incomplete","message":"the connection fell silent though the backend server answers a probe; the answer is incomplete, ask again","outcome":"ran","retry_after_ms":null}}


            <the connection ended before the answer did>"#]].assert_eq(&router.exchange(streamed_chat()).await);
    });
}

#[test]
fn silent_lookup_fails_over() {
    run(async {
        let silent = FakeServer::start(async |req| {
            req.disconnected.raised().await;
            Reply::abort()
        });
        let good = FakeServer::service();
        let services = vec![silent.addr, good.addr];
        let router = Setup { services, timeouts: SHORT_TIMEOUTS, ..Setup::default() }.start();
        while silent.request_lines().is_empty() {
            let answer = router.exchange(lookup()).await;
            assert!(answer.ends_with("/lookup/clip-7"), "{answer}");
        }
    });
}

#[test]
fn dead_server_abandoned() {
    run(async {
        let engine = FakeServer::start(async |req| {
            req.disconnected.raised().await;
            Reply::abort()
        });
        engine.is_healthy.set(false);
        let router =
            Setup { engines: vec![engine.addr], timeouts: SHORT_TIMEOUTS, ..Setup::default() }
                .start();
        expect![[r#"
            503 Service Unavailable
            x-outcome: may-have-run
            x-request-id: q1
            retry-after: 1
            content-type: application/json
            {"error":{"code":"no_backend_server","message":"the backend server fell silent and does not answer a probe; it is not tried again now: come back later","outcome":"may-have-run","retry_after_ms":1000}}"#]].assert_eq(&router.exchange(streamed_chat()).await);
    });
}

#[test]
fn slow_engine_awaited() {
    run(async {
        let probes = Rc::new(RefCell::new(Rc::new(Cell::new(0))));
        let shared_probes = Rc::clone(&probes);
        let engine = FakeServer::start(async move |req| match req.uri.path() {
            "/v1/chat/completions" => first_token_only(req),
            _ => remaining_after_probes(&req, Rc::clone(&shared_probes.borrow())),
        });
        *probes.borrow_mut() = Rc::clone(&engine.probes);
        let router =
            Setup { engines: vec![engine.addr], timeouts: SHORT_TIMEOUTS, ..Setup::default() }
                .start();
        let answer = router.exchange(streamed_chat()).await;
        assert!(answer.contains(" second") && answer.ends_with("data: [DONE]\n\n"), "{answer}");
        let resumes = engine.request_lines().iter().filter(|it| it.ends_with("/resume")).count();
        assert_eq!(resumes, SHORT_TIMEOUTS.resumes_max as usize);
    });
}

/// Guards against giving up on a server that is slow but alive: without attempts left, the router
/// waits for the last one.
#[test]
fn slow_service_awaited() {
    run(async {
        let probes = Rc::new(RefCell::new(Rc::new(Cell::new(0))));
        let shared_probes = Rc::clone(&probes);
        let service = FakeServer::start(async move |req| {
            let probes = Rc::clone(&shared_probes.borrow());
            // Each of the three attempts is probed once, and the last one repeatedly.
            while probes.get() < 6 {
                monoio::time::sleep(Duration::ZERO).await;
            }
            Reply::typed(StatusCode::OK, "text/plain", req.uri.path().to_owned().into())
        });
        *probes.borrow_mut() = Rc::clone(&service.probes);
        let services = vec![service.addr];
        let router = Setup { services, timeouts: SHORT_TIMEOUTS, ..Setup::default() }.start();
        let answer = router.exchange(lookup()).await;
        assert!(answer.ends_with("/lookup/clip-7"), "{answer}");
    });
}

/// Sends the remaining stream once the router has probed more often than it resumes.
fn remaining_after_probes(req: &Request, probes: Rc<Cell<usize>>) -> Reply {
    let id = request_id(req);
    let (mut sender, reply) = event_stream(&id);
    monoio::spawn(async move {
        while probes.get() < 6 {
            monoio::time::sleep(Duration::ZERO).await;
        }
        let _ = sender.send(token_event(&id, " second")).await;
        let _ = sender.send(last_events(&id, 2)).await;
        let _ = sender.finish().await;
    });
    reply
}
