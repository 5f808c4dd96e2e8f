//! A caller distinguishes whole answers from truncated, foreign and duplicated ones, and explicit
//! failures from broken connections.

mod support;

use engine_model::answer;
use expect_test::{Expect, expect};
use httpio::{
    Bytes, HeaderMap, HeaderValue, StatusCode,
    server::{Reply, Request},
    sse,
};
use load::{
    caller::{Call, Caller, CallerSettings},
    plan::{AnswerMode, RequestKind},
};
use serde_json::json;
use support::{
    block_on, chat_request, ready, serve_handler, stream_reply, token_events, whole_reply,
};

fn chat() -> Call {
    Call { prompt: "when is dawn".to_owned(), max_tokens: 5, ..Call::default() }
}

fn done() -> Bytes {
    sse::data_event("[DONE]")
}

fn tokens_for(request: &Request) -> Vec<String> {
    let chat_request = chat_request(request);
    answer::tokens(&chat_request.model, &chat_request.prompt, chat_request.max_tokens)
}

/// Sends `call` to a server that answers with `reply` and checks how the caller classifies it.
fn check(call: &Call, reply: impl Fn(&Request) -> Reply + 'static, expect: Expect) {
    let reply = block_on(async {
        let addr = serve_handler(move |request| ready(reply(&request)));
        Caller::new(CallerSettings::default()).send(addr, call).await
    });
    let fault = reply.answer_fault.map_or("none".to_owned(), |it| it.to_string());
    let line = format!(
        "{:?}, {}, {} tokens, fault {fault}, retry after {:?}",
        reply.ending, reply.outcome, reply.tokens, reply.retry_after_s
    );
    expect.assert_eq(&line);
}

/// Checks how the caller classifies `events` as the answer to [`chat`].
fn check_stream(events: fn(&Request) -> Vec<Bytes>, expect: Expect) {
    check(&chat(), move |it| stream_reply(it, events(it)), expect);
}

#[test]
fn whole_stream() {
    check_stream(
        |it| [token_events(&tokens_for(it)), vec![done()]].concat(),
        expect!["Answered, ran, 5 tokens, fault none, retry after None"],
    );
}

#[test]
fn truncated_stream() {
    check_stream(
        |it| [token_events(&tokens_for(it)[..3]), vec![done()]].concat(),
        expect!["Answered, ran, 3 tokens, fault cut, retry after None"],
    );
}

#[test]
fn missing_done_event() {
    check_stream(
        |it| token_events(&tokens_for(it)),
        expect![[
            r#"Broken("the stream ended without [DONE] or an error"), ran, 5 tokens, fault none, retry after None"#
        ]],
    );
}

#[test]
fn duplicated_token() {
    let events = |it: &Request| {
        let mut tokens = tokens_for(it);
        tokens.insert(2, tokens[1].clone());
        [token_events(&tokens), vec![done()]].concat()
    };
    check_stream(events, expect!["Answered, ran, 6 tokens, fault duplicated, retry after None"]);
}

#[test]
fn foreign_stream() {
    let events = |_: &Request| {
        let tokens = answer::tokens("small", "another prompt", 5);
        [token_events(&tokens), vec![done()]].concat()
    };
    check_stream(events, expect!["Answered, ran, 5 tokens, fault foreign, retry after None"]);
}

#[test]
fn error_event() {
    let events = |it: &Request| {
        let error = json!({ "error": { "code": "lost", "outcome": "may-have-run" } });
        let failed = sse::named_event("error", &error.to_string());
        [token_events(&tokens_for(it)[..2]), vec![failed]].concat()
    };
    check_stream(
        events,
        expect!["Failed(200), may-have-run, 2 tokens, fault none, retry after None"],
    );
}

#[test]
fn foreign_tokens_before_error() {
    let events = |_: &Request| {
        let tokens = answer::tokens("small", "another prompt", 5);
        let failed = sse::named_event("error", "{}");
        [token_events(&tokens[..2]), vec![failed]].concat()
    };
    check_stream(events, expect!["Failed(200), ran, 2 tokens, fault foreign, retry after None"]);
}

/// Streams `events` and closes the connection without the last chunk.
fn disconnected_stream(events: Vec<Bytes>) -> Reply {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static(sse::CONTENT_TYPE));
    headers.insert("x-outcome", HeaderValue::from_static("ran"));
    let (mut sender, reply) = Reply::stream(StatusCode::OK, headers, 1);
    monoio::spawn(async move {
        for event in events {
            let _ = sender.send(event).await;
        }
    });
    reply
}

#[test]
fn disconnect_in_stream() {
    check(
        &chat(),
        |it| disconnected_stream(token_events(&tokens_for(it)[..2])),
        expect![[
            r#"Broken("the connection ended before the answer did (head received)"), ran, 2 tokens, fault none, retry after None"#
        ]],
    );
}

#[test]
fn disconnect_after_error_event() {
    let reply = |request: &Request| {
        let error = json!({ "error": { "code": "lost", "outcome": "may-have-run" } });
        let failed = sse::named_event("error", &error.to_string());
        disconnected_stream([token_events(&tokens_for(request)[..2]), vec![failed]].concat())
    };
    check(
        &chat(),
        reply,
        expect!["Failed(200), may-have-run, 2 tokens, fault none, retry after None"],
    );
}

#[test]
fn foreign_request_id() {
    let reply = |request: &Request| {
        let events = [token_events(&tokens_for(request)), vec![done()]].concat();
        let mut reply = stream_reply(request, events);
        reply.headers.insert("x-request-id", "another".parse().expect("a header value"));
        reply
    };
    check(&chat(), reply, expect!["Answered, ran, 5 tokens, fault foreign, retry after None"]);
}

#[test]
fn whole_document() {
    let reply = |request: &Request| {
        let content = tokens_for(request).concat();
        let message = json!({ "role": "assistant", "content": content });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let usage = json!({ "prompt_tokens": 3, "completion_tokens": 5 });
        let body = json!({ "choices": [choice], "usage": usage });
        whole_reply(request, StatusCode::OK, "ran", body)
    };
    check(
        &Call { answer: AnswerMode::Whole, ..chat() },
        reply,
        expect!["Answered, ran, 5 tokens, fault none, retry after None"],
    );
}

#[test]
fn explicit_refusal() {
    let reply = |request: &Request| {
        let error = json!({ "code": "full", "outcome": "not-run", "retry_after_ms": 1_500 });
        let body = json!({ "error": error });
        whole_reply(request, StatusCode::SERVICE_UNAVAILABLE, "not-run", body)
    };
    check(
        &chat(),
        reply,
        expect!["Failed(503), not-run, 0 tokens, fault none, retry after Some(2)"],
    );
}

#[test]
fn disconnect_before_reply() {
    check(
        &chat(),
        |_| Reply::abort(),
        expect![[
            r#"Broken("the connection ended before the answer did (request sent)"), unstated, 0 tokens, fault none, retry after None"#
        ]],
    );
}

#[test]
fn receipt_key_checked() {
    let matching = |request: &Request| {
        let key = request.header("idempotency-key");
        whole_reply(request, StatusCode::OK, "ran", json!({ "order": 1, "key": key, "count": 1 }))
    };
    let foreign = |request: &Request| {
        whole_reply(
            request,
            StatusCode::OK,
            "ran",
            json!({ "order": 1, "key": "other", "count": 1 }),
        )
    };
    let order =
        Call { kind: RequestKind::Order, idempotency_key: Some("own".to_owned()), ..chat() };
    check(&order, matching, expect!["Answered, ran, 0 tokens, fault none, retry after None"]);
    check(&order, foreign, expect!["Answered, ran, 0 tokens, fault foreign, retry after None"]);
}

#[test]
fn lookup_name_checked() {
    let matching = |request: &Request| {
        let name = request.uri.path().trim_start_matches("/lookup/");
        whole_reply(request, StatusCode::OK, "ran", json!({ "name": name, "value": "v" }))
    };
    let foreign = |request: &Request| {
        whole_reply(request, StatusCode::OK, "ran", json!({ "name": "clip-2", "value": "v" }))
    };
    let lookup = Call { kind: RequestKind::Lookup, prompt: "clip-1".to_owned(), ..Call::default() };
    check(&lookup, matching, expect!["Answered, ran, 0 tokens, fault none, retry after None"]);
    check(&lookup, foreign, expect!["Answered, ran, 0 tokens, fault foreign, retry after None"]);
}
