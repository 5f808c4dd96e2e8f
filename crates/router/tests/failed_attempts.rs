//! Guards against failed attempts that are not retried where that is safe, and against incomplete
//! answers that look complete.

mod support;

use std::{cell::Cell, rc::Rc};

use expect_test::{Expect, expect};
use httpio::{
    StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use support::{
    Ending, FakeServer, Setup, closed_port, last_events, lookup, not_started, request_id, run,
    stream, stream_as, streamed_chat, token_event, unstreamed_chat,
};

const TOKENS: &[&str] = &[" one", " two", " three"];

/// Sends `request` to a router with a faulty and a good engine until the faulty one is tried, and
/// checks that each answer is complete.
fn check_retried(faulty: impl AsyncFn(Request) -> Reply + 'static, request: ClientRequest) {
    run(async {
        let (faulty, good) = (FakeServer::start(faulty), FakeServer::engine(TOKENS));
        let engines = vec![faulty.addr, good.addr];
        let router = Setup { engines, ..Setup::default() }.start();
        let mut answers = Vec::new();
        // The prompt decides which server is tried first, so it varies until the faulty one is.
        while faulty.request_lines().is_empty() {
            let body = String::from_utf8_lossy(&request.body);
            let body = body.replace("hi", &format!("hi {}", answers.len())).into();
            answers.push(router.exchange(ClientRequest { body, ..request.clone() }).await);
        }
        for answer in answers {
            assert!(answer.starts_with("200 OK\nx-outcome: ran\n"), "{answer}");
            assert!(answer.contains("\"finish_reason\":\"stop\""), "{answer}");
            assert_eq!(answer.matches(" one").count(), 1, "{answer}");
            assert_eq!(answer.matches(" three").count(), 1, "{answer}");
        }
    });
}

/// Sends `request` to a router whose only engine behaves as `engine`.
fn check_sole_engine(
    engine: impl AsyncFn(Request) -> Reply + 'static,
    request: ClientRequest,
    expected: Expect,
) {
    run(async {
        let engine = FakeServer::start(engine);
        let chat = "retries_max = 0";
        let router = Setup { engines: vec![engine.addr], chat, ..Setup::default() }.start();
        expected.assert_eq(&router.exchange(request).await);
    });
}

fn not_found() -> Reply {
    Reply::typed(StatusCode::NOT_FOUND, "text/plain", "unknown stream".into())
}

#[test]
fn refused_connection() {
    run(async {
        let good = FakeServer::engine(TOKENS);
        let router = Setup { engines: vec![closed_port(), good.addr], ..Setup::default() }.start();
        for _ in 0..4 {
            let answer = router.exchange(unstreamed_chat()).await;
            assert!(answer.starts_with("200 OK\nx-outcome: ran\n"), "{answer}");
        }
    });
}

#[test]
fn not_started_fails_over() {
    check_retried(async |req| not_started(&req), streamed_chat());
    check_retried(async |req| not_started(&req), unstreamed_chat());
}

#[test]
fn not_started_sole_engine() {
    check_sole_engine(
        async |req| not_started(&req),
        streamed_chat(),
        expect![[r#"
            503 Service Unavailable
            x-outcome: not-run
            x-request-id: q1
            retry-after: 1
            content-type: application/json
            {"error":{"code":"overloaded","message":"the backend server refused the request before starting it; it had its last attempt: come back later","outcome":"not-run","retry_after_ms":1000}}"#]],
    );
}

#[test]
fn disconnect_before_token() {
    check_retried(async |_| Reply::abort(), streamed_chat());
    check_retried(async |_| Reply::abort(), unstreamed_chat());
    check_sole_engine(
        async |_| Reply::abort(),
        streamed_chat(),
        expect![[r#"
        502 Bad Gateway
        x-outcome: may-have-run
        x-request-id: q1
        retry-after: 1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"the connection ended before the answer did (request sent); it had its last attempt: come back later","outcome":"may-have-run","retry_after_ms":1000}}"#]],
    );
}

#[test]
fn truncated_answer() {
    check_retried(async |req| first_token_only(&req, Ending::Disconnected), unstreamed_chat());
    check_retried(async |req| first_token_only(&req, Ending::Truncated), unstreamed_chat());
    check_sole_engine(
        async |req| first_token_only(&req, Ending::Truncated),
        unstreamed_chat(),
        expect![[r#"
        502 Bad Gateway
        x-outcome: may-have-run
        x-request-id: q1
        retry-after: 1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"the answer ended without its last event; it had its last attempt: come back later","outcome":"may-have-run","retry_after_ms":1000}}"#]],
    );
}

fn first_token_only(req: &Request, ending: Ending) -> Reply {
    match req.uri.path() {
        "/v1/chat/completions" => stream(req, &[" one"], ending),
        _ => not_found(),
    }
}

#[test]
fn truncated_stream_ends() {
    check_sole_engine(
        async |req| first_token_only(&req, Ending::Disconnected),
        streamed_chat(),
        expect![[r#"
        200 OK
        x-outcome: ran
        x-request-id: q1
        content-type: text/event-stream
        data: {"id":"q1","model":"m","choices":[{"index":0,"delta":{"content":" one"},"finish_reason":null}]}

        event: error
        data: {"error":{"code":"incomplete","message":"the connection ended before the answer did (head received); the answer is incomplete, ask again","outcome":"ran","retry_after_ms":null}}


        <the connection ended before the answer did>"#]],
    );
    check_sole_engine(
        async |req| first_token_only(&req, Ending::Truncated),
        streamed_chat(),
        expect![[r#"
        200 OK
        x-outcome: ran
        x-request-id: q1
        content-type: text/event-stream
        data: {"id":"q1","model":"m","choices":[{"index":0,"delta":{"content":" one"},"finish_reason":null}]}

        event: error
        data: {"error":{"code":"incomplete","message":"the answer ended without its last event; the answer is incomplete, ask again","outcome":"ran","retry_after_ms":null}}


        <the connection ended before the answer did>"#]],
    );
}

#[test]
fn truncated_stream_resumed() {
    for ending in [Ending::Disconnected, Ending::Truncated] {
        run(async move {
            let engine = FakeServer::start(async move |req| match req.uri.path() {
                "/v1/chat/completions" => stream(&req, &[" one", " two"], ending),
                _ => resume_stream(&req),
            });
            let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
            let answer = router.exchange(streamed_chat()).await;
            let tokens: Vec<_> = TOKENS.iter().filter_map(|it| answer.find(it)).collect();
            assert!(tokens.len() == 3 && tokens.is_sorted(), "{answer}");
            assert_eq!(answer.matches(" two").count(), 1, "{answer}");
            assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
            assert_eq!(
                engine.request_lines(),
                ["POST /v1/chat/completions", "POST /v1/streams/ID/resume"]
            );
        });
    }
}

/// Resumes [`TOKENS`] at the token that the router requests.
fn resume_stream(req: &Request) -> Reply {
    let id = request_id(req);
    let body: serde_json::Value = serde_json::from_slice(&req.body).expect("a resume request");
    let from = body["from_token"].as_u64().expect("a number") as usize;
    let (mut sender, reply) = support::event_stream(&id);
    monoio::spawn(async move {
        for token in &TOKENS[from..] {
            sender.send(token_event(&id, token)).await.expect("the router reads");
        }
        sender.send(last_events(&id, TOKENS.len())).await.expect("the router reads");
        sender.finish().await.expect("the router reads");
    });
    reply
}

#[test]
fn crossed_answers() {
    let crossed_head = async |req: Request| match req.uri.path() {
        "/v1/chat/completions" => stream_as("q2.0", "q2.0", &[" secret"], Ending::Complete),
        _ => not_found(),
    };
    let crossed_events = async |req: Request| match req.uri.path() {
        "/v1/chat/completions" => {
            stream_as(&request_id(&req), "q2.0", &[" secret"], Ending::Complete)
        }
        _ => not_found(),
    };
    check_retried(crossed_head, streamed_chat());
    check_retried(crossed_events, unstreamed_chat());
    check_sole_engine(
        crossed_head,
        streamed_chat(),
        expect![[r#"
        502 Bad Gateway
        x-outcome: may-have-run
        x-request-id: q1
        retry-after: 1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"the answer belongs to another request; it had its last attempt: come back later","outcome":"may-have-run","retry_after_ms":1000}}"#]],
    );
    check_sole_engine(
        crossed_events,
        unstreamed_chat(),
        expect![[r#"
        502 Bad Gateway
        x-outcome: may-have-run
        x-request-id: q1
        retry-after: 1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"an event of the engine belongs to another request; it had its last attempt: come back later","outcome":"may-have-run","retry_after_ms":1000}}"#]],
    );
}

#[test]
fn lookup_fails_over() {
    run(async {
        let (broken, good) = (FakeServer::start(async |_| Reply::abort()), FakeServer::service());
        let services = vec![broken.addr, good.addr];
        let router = Setup { services, ..Setup::default() }.start();
        while broken.request_lines().is_empty() {
            let answer = router.exchange(lookup()).await;
            assert!(answer.ends_with("/lookup/clip-7"), "{answer}");
        }
    });
}

#[test]
fn refused_by_engine() {
    let engine = async |_| Reply::typed(StatusCode::BAD_REQUEST, "text/plain", "too long".into());
    check_sole_engine(
        engine,
        streamed_chat(),
        expect![[r#"
        502 Bad Gateway
        x-outcome: ran
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"the engine refused the request by 400 Bad Request; it is not tried again: check what it did before sending it anew","outcome":"ran","retry_after_ms":null}}"#]],
    );
}

/// Checks a stream that disconnects after its first token and cannot be resumed, so that it is
/// replayed on an engine that answers with the tokens `second`.
fn check_failed_stream(second: &'static [&'static str], check_answer: impl Fn(&str)) {
    run(async {
        let starts = Rc::new(Cell::new(0));
        let engine = || {
            let starts = Rc::clone(&starts);
            FakeServer::start(async move |req| match req.uri.path() {
                "/v1/chat/completions" => {
                    starts.set(starts.get() + 1);
                    match starts.get() {
                        1 => stream(&req, &[" one"], Ending::Disconnected),
                        _ => stream(&req, second, Ending::Complete),
                    }
                }
                _ => not_found(),
            })
        };
        let engines = vec![engine().addr, engine().addr];
        let router = Setup { engines, ..Setup::default() }.start();
        check_answer(&router.exchange(streamed_chat()).await);
        assert_eq!(starts.get(), 2);
    });
}

#[test]
fn failed_stream_replayed() {
    check_failed_stream(TOKENS, |answer| {
        let tokens: Vec<_> = TOKENS.iter().filter_map(|it| answer.find(it)).collect();
        assert!(tokens.len() == 3 && tokens.is_sorted(), "{answer}");
        assert_eq!(answer.matches(" one").count(), 1, "{answer}");
        assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
    });
}

#[test]
fn differing_replay_rejected() {
    check_failed_stream(&[" uno", " dos"], |answer| {
        assert!(!answer.contains(" uno") && !answer.contains(" dos"), "{answer}");
        assert!(answer.contains("event: error") && answer.contains("incomplete"), "{answer}");
        assert!(!answer.contains("[DONE]"), "{answer}");
    });
}
