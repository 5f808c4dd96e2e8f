//! Attempts that fail are repeated where that is safe, and what is not whole never looks whole.

mod support;

use std::{cell::Cell, rc::Rc};

use expect_test::{Expect, expect};
use httpio::{
    StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request},
};
use support::{
    Ending, Fake, Setup, closed_port, id_of, last_events, lookup, not_started, run, stream,
    stream_as, streamed_chat, token_event, whole_chat,
};

const TOKENS: &[&str] = &[" one", " two", " three"];

/// Sends `request` to a router whose first attempt meets `faulty` and the next a good engine.
fn check_retried(faulty: impl AsyncFn(Request) -> Reply + 'static, request: ClientRequest) {
    run(async {
        let (faulty, good) = (Fake::start(faulty), Fake::engine(TOKENS));
        let engines = vec![faulty.addr, good.addr];
        let router = Setup { engines, ..Setup::default() }.start();
        let mut answers = Vec::new();
        // The prompt decides which server is asked first, so it changes until the faulty one was.
        while faulty.paths().is_empty() {
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
fn check_alone(
    engine: impl AsyncFn(Request) -> Reply + 'static,
    request: ClientRequest,
    expected: Expect,
) {
    run(async {
        let engine = Fake::start(engine);
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
        let good = Fake::engine(TOKENS);
        let router = Setup { engines: vec![closed_port(), good.addr], ..Setup::default() }.start();
        for _ in 0..4 {
            let answer = router.exchange(whole_chat()).await;
            assert!(answer.starts_with("200 OK\nx-outcome: ran\n"), "{answer}");
        }
    });
}

#[test]
fn not_started_elsewhere() {
    check_retried(async |_| not_started(), streamed_chat());
    check_retried(async |_| not_started(), whole_chat());
}

#[test]
fn not_started_alone() {
    check_alone(
        async |_| not_started(),
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
fn cut_before_token() {
    check_retried(async |_| Reply::abort(), streamed_chat());
    check_retried(async |_| Reply::abort(), whole_chat());
    check_alone(
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
fn cut_whole_answer() {
    check_retried(async |req| first_only(&req, Ending::Cut), whole_chat());
    check_retried(async |req| first_only(&req, Ending::Short), whole_chat());
    check_alone(
        async |req| first_only(&req, Ending::Short),
        whole_chat(),
        expect![[r#"
        502 Bad Gateway
        x-outcome: may-have-run
        x-request-id: q1
        retry-after: 1
        content-type: application/json
        {"error":{"code":"backend_failed","message":"the answer ended without its last event; it had its last attempt: come back later","outcome":"may-have-run","retry_after_ms":1000}}"#]],
    );
}

fn first_only(req: &Request, ending: Ending) -> Reply {
    match req.uri.path() {
        "/v1/chat/completions" => stream(req, &[" one"], ending),
        _ => not_found(),
    }
}

#[test]
fn cut_stream_alone() {
    check_alone(
        async |req| first_only(&req, Ending::Cut),
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
    check_alone(
        async |req| first_only(&req, Ending::Short),
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
fn cut_stream_resumed() {
    for ending in [Ending::Cut, Ending::Short] {
        run(async move {
            let engine = Fake::start(async move |req| match req.uri.path() {
                "/v1/chat/completions" => stream(&req, &[" one", " two"], ending),
                _ => resumed(&req),
            });
            let router = Setup { engines: vec![engine.addr], ..Setup::default() }.start();
            let answer = router.exchange(streamed_chat()).await;
            let tokens: Vec<_> = TOKENS.iter().filter_map(|it| answer.find(it)).collect();
            assert!(tokens.len() == 3 && tokens.is_sorted(), "{answer}");
            assert_eq!(answer.matches(" two").count(), 1, "{answer}");
            assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
            assert_eq!(engine.paths(), ["POST /v1/chat/completions", "POST /v1/streams/ID/resume"]);
        });
    }
}

/// Goes on with [`TOKENS`] from the token that the router asks for.
fn resumed(req: &Request) -> Reply {
    let id = id_of(req);
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
        "/v1/chat/completions" => stream_as("q2.0", "q2.0", &[" secret"], Ending::Whole),
        _ => not_found(),
    };
    let crossed_events = async |req: Request| match req.uri.path() {
        "/v1/chat/completions" => stream_as(&id_of(&req), "q2.0", &[" secret"], Ending::Whole),
        _ => not_found(),
    };
    check_retried(crossed_head, streamed_chat());
    check_retried(crossed_events, whole_chat());
    check_alone(
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
    check_alone(
        crossed_events,
        whole_chat(),
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
fn lookup_elsewhere() {
    run(async {
        let (broken, good) = (Fake::start(async |_| Reply::abort()), Fake::service());
        let services = vec![broken.addr, good.addr];
        let router = Setup { services, ..Setup::default() }.start();
        while broken.paths().is_empty() {
            let answer = router.exchange(lookup()).await;
            assert!(answer.ends_with("/lookup/clip-7"), "{answer}");
        }
    });
}

#[test]
fn refused_by_engine() {
    let engine = async |_| Reply::typed(StatusCode::BAD_REQUEST, "text/plain", "too long".into());
    check_alone(
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

/// A stream that breaks for good after its first token, with two engines to run it.
fn check_broken(second: &'static [&'static str], expect_whole: impl Fn(&str)) {
    run(async {
        let starts = Rc::new(Cell::new(0));
        let engine = || {
            let starts = Rc::clone(&starts);
            Fake::start(async move |req| match req.uri.path() {
                "/v1/chat/completions" => {
                    starts.set(starts.get() + 1);
                    match starts.get() {
                        1 => stream(&req, &[" one"], Ending::Cut),
                        _ => stream(&req, second, Ending::Whole),
                    }
                }
                _ => not_found(),
            })
        };
        let engines = vec![engine().addr, engine().addr];
        let router = Setup { engines, ..Setup::default() }.start();
        expect_whole(&router.exchange(streamed_chat()).await);
        assert_eq!(starts.get(), 2);
    });
}

#[test]
fn broken_stream_replayed() {
    check_broken(TOKENS, |answer| {
        let tokens: Vec<_> = TOKENS.iter().filter_map(|it| answer.find(it)).collect();
        assert!(tokens.len() == 3 && tokens.is_sorted(), "{answer}");
        assert_eq!(answer.matches(" one").count(), 1, "{answer}");
        assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
    });
}

#[test]
fn other_answer_not_mixed() {
    check_broken(&[" uno", " dos"], |answer| {
        assert!(!answer.contains(" uno") && !answer.contains(" dos"), "{answer}");
        assert!(answer.contains("event: error") && answer.contains("incomplete"), "{answer}");
        assert!(!answer.contains("[DONE]"), "{answer}");
    });
}
