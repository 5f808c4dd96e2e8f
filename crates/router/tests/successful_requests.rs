//! Successful requests: unstreamed and streamed answers, lookups, and the requests that backend
//! servers receive.

mod support;

use std::collections::BTreeSet;

use expect_test::expect;
use support::{FakeServer, Setup, lookup, run, streamed_chat, unstreamed_chat, with_header};

#[test]
fn unstreamed_answer() {
    run(async {
        let engine = FakeServer::engine(&[" hello", " there"]);
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        expect![[r#"
            200 OK
            x-outcome: ran
            x-request-id: q1
            content-type: application/json
            {"id":"q1","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":" hello there"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}"#]].assert_eq(&router.exchange(unstreamed_chat()).await);
    });
}

#[test]
fn streamed_answer() {
    run(async {
        let engine = FakeServer::engine(&[" hello", " there"]);
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        expect![[r#"
            200 OK
            x-outcome: ran
            x-request-id: q1
            content-type: text/event-stream
            data: {"id":"q1","model":"m","choices":[{"index":0,"delta":{"content":" hello"},"finish_reason":null}]}

            data: {"id":"q1","model":"m","choices":[{"index":0,"delta":{"content":" there"},"finish_reason":null}]}

            data: {"id":"q1","model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}

            data: [DONE]

        "#]].assert_eq(&router.exchange(streamed_chat()).await);
    });
}

#[test]
fn lookup_answer() {
    run(async {
        let service = FakeServer::service();
        let router = Setup { services: vec![service.addr], ..Setup::default() }.start();
        expect![[r#"
            200 OK
            x-outcome: ran
            x-request-id: q1
            content-type: text/plain
            /lookup/clip-7"#]]
        .assert_eq(&router.exchange(lookup()).await);
    });
}

#[test]
fn forwarded_request() {
    run(async {
        let engine = FakeServer::engine(&[" hello"]);
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        let parent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
        router.exchange(with_header(unstreamed_chat(), "traceparent", parent)).await;

        let requests = engine.requests.borrow();
        let body = String::from_utf8_lossy(&requests[0].body);
        expect![[r#"{"messages":[{"content":"hi","role":"user"}],"model":"m","priority":1,"stream":true}"#]].assert_eq(&body);
        let trace = requests[0].header("traceparent").expect("the router forwards the trace");
        assert!(trace.starts_with("00-0123456789abcdef0123456789abcdef-"));
        assert!(!trace.contains("-0123456789abcdef-"), "each hop has a span of its own");
        assert!(support::request_id(&requests[0]).starts_with("q1."));
        assert_eq!(requests[0].header("authorization"), None, "no token leaves the router");
    });
}

#[test]
fn metrics_and_health() {
    run(async {
        let engine = FakeServer::engine(&[" hello"]);
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        router.exchange(unstreamed_chat()).await;
        assert_eq!(router.admin("/healthz").await, "200 OK: ok\n");
        assert_eq!(router.admin("/readyz").await, "200 OK: ready\n");
        let metrics = router.admin("/metrics").await;
        let line = r#"router_requests_total{class="chat",outcome="ran",pool="llm",status="200"} 1"#;
        assert!(metrics.contains(line), "{metrics}");
    });
}

#[test]
fn connection_is_reused() {
    run(async {
        let engine = FakeServer::engine(&[" hello"]);
        let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
        // The end of a body may arrive after the next request is sent, so some requests find no idle
        // connection.
        for _ in 0..20 {
            router.exchange(streamed_chat()).await;
        }
        let peers: BTreeSet<_> = engine.requests.borrow().iter().map(|it| it.peer).collect();
        assert!(peers.len() < 20, "{peers:?}");
    });
}
