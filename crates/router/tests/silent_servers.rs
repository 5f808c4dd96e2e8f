//! Silence is probed on a new connection, which tells a lost path from a dead server.

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
    Fake, Setup, event_stream, id_of, last_events, lookup, run, streamed_chat, token_event,
};

const QUICK: Timeouts = Timeouts {
    first_silence_ms: 30,
    silence_ms: 30,
    resumes_max: 2,
    engine_call_timeout_ms: 10_000,
    ledger_timeout_ms: 10_000,
};

/// Sends the first token and then nothing until the router has gone.
fn falls_silent(req: Request) -> Reply {
    let (mut sender, reply) = event_stream(&id_of(&req));
    monoio::spawn(async move {
        let _ = sender.send(token_event(&id_of(&req), " first")).await;
        req.disconnected.raised().await;
    });
    reply
}

fn rest(req: &Request) -> Reply {
    let id = id_of(req);
    let (mut sender, reply) = event_stream(&id);
    monoio::spawn(async move {
        let _ = sender.send(token_event(&id, " second")).await;
        let _ = sender.send(last_events(&id, 2)).await;
        let _ = sender.finish().await;
    });
    reply
}

#[test]
fn lost_path_resumed() {
    run(async {
        let engine = Fake::start(async |req| match req.uri.path() {
            "/v1/chat/completions" => falls_silent(req),
            _ => rest(&req),
        });
        let router = Setup { engines: vec![engine.addr], waits: QUICK, ..Setup::default() }.start();
        let answer = router.exchange(streamed_chat()).await;
        assert_eq!(answer.matches(" first").count(), 1, "{answer}");
        assert!(answer.contains(" second") && answer.ends_with("data: [DONE]\n\n"), "{answer}");
        assert_eq!(engine.paths(), ["POST /v1/chat/completions", "POST /v1/streams/ID/resume"]);
    });
}

#[test]
fn straggler_ends_incomplete() {
    run(async {
        let engine = Fake::start(async |req| match req.uri.path() {
            "/v1/chat/completions" => falls_silent(req),
            _ => Reply::typed(StatusCode::NOT_FOUND, "text/plain", "".into()),
        });
        let router = Setup { engines: vec![engine.addr], waits: QUICK, ..Setup::default() }.start();
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
fn silent_lookup_elsewhere() {
    run(async {
        let silent = Fake::start(async |req| {
            req.disconnected.raised().await;
            Reply::abort()
        });
        let good = Fake::service();
        let services = vec![silent.addr, good.addr];
        let router = Setup { services, waits: QUICK, ..Setup::default() }.start();
        while silent.paths().is_empty() {
            let answer = router.exchange(lookup()).await;
            assert!(answer.ends_with("/lookup/clip-7"), "{answer}");
        }
    });
}

#[test]
fn dead_server_given_up() {
    run(async {
        let engine = Fake::start(async |req| {
            req.disconnected.raised().await;
            Reply::abort()
        });
        engine.is_healthy.set(false);
        let router = Setup { engines: vec![engine.addr], waits: QUICK, ..Setup::default() }.start();
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
fn slow_engine_waited_for() {
    run(async {
        let probes = Rc::new(RefCell::new(Rc::new(Cell::new(0))));
        let probed = Rc::clone(&probes);
        let engine = Fake::start(async move |req| match req.uri.path() {
            "/v1/chat/completions" => falls_silent(req),
            _ => rest_after(&req, Rc::clone(&probed.borrow())),
        });
        *probes.borrow_mut() = Rc::clone(&engine.probes);
        let router = Setup { engines: vec![engine.addr], waits: QUICK, ..Setup::default() }.start();
        let answer = router.exchange(streamed_chat()).await;
        assert!(answer.contains(" second") && answer.ends_with("data: [DONE]\n\n"), "{answer}");
        let resumes = engine.paths().iter().filter(|it| it.ends_with("/resume")).count();
        assert_eq!(resumes, QUICK.resumes_max as usize);
    });
}

/// A server that is alive and slow: once no attempt is left, the last one is waited for.
#[test]
fn slow_service_waited_for() {
    run(async {
        let probes = Rc::new(RefCell::new(Rc::new(Cell::new(0))));
        let probed = Rc::clone(&probes);
        let service = Fake::start(async move |req| {
            let probes = Rc::clone(&probed.borrow());
            // Three attempts are probed once each, and the last one again and again.
            while probes.get() < 6 {
                monoio::time::sleep(Duration::ZERO).await;
            }
            Reply::typed(StatusCode::OK, "text/plain", req.uri.path().to_owned().into())
        });
        *probes.borrow_mut() = Rc::clone(&service.probes);
        let services = vec![service.addr];
        let router = Setup { services, waits: QUICK, ..Setup::default() }.start();
        let answer = router.exchange(lookup()).await;
        assert!(answer.ends_with("/lookup/clip-7"), "{answer}");
    });
}

/// Goes on only after the router has probed more often than it resumes.
fn rest_after(req: &Request, probes: Rc<Cell<usize>>) -> Reply {
    let id = id_of(req);
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
