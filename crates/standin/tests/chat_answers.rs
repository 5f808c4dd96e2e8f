//! Answers are correct, streamed or not, and requests that cannot run are refused as not started.

mod support;

use engine_model::answer;
use standin::EngineSettings;
use support::{Caller, MODEL, assert_answer, call, engine, fast_settings, send_chat};

const CHAT: &str = "/v1/chat/completions";

#[test]
fn unstreamed_answer() {
    let server = engine(fast_settings());
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", "when is dawn", false);
    let reply = caller.receive().expect("a reply");
    assert_eq!(reply.header("x-request-id"), Some("r1"));
    assert_answer("when is dawn", &reply.content());
    assert_eq!(reply.json()["choices"][0]["finish_reason"], "stop");
}

#[test]
fn streams_share_connection() {
    let server = engine(fast_settings());
    let mut caller = Caller::connect(server.addr);
    for prompt in ["when is dawn", "when is noon"] {
        send_chat(&mut caller, prompt, prompt, true);
        let reply = caller.receive().expect("a reply");
        assert!(reply.is_done());
        assert_eq!(reply.header("x-request-id"), Some(prompt));
        assert_answer(prompt, &reply.streamed_text());
    }
}

#[test]
fn max_tokens_limit() {
    let server = engine(fast_settings());
    let body = r#"{"model":"small","messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}],"max_tokens":3}"#;
    let reply = call(server.addr, "POST", CHAT, body);
    assert_eq!(reply.content(), answer::tokens(MODEL, "a\nb", 3).concat());
    assert_eq!(reply.json()["choices"][0]["finish_reason"], "length");
    assert_eq!(reply.json()["usage"]["completion_tokens"], 3);
}

#[test]
fn unknown_model_refused() {
    let server = engine(EngineSettings { models: vec!["large".to_owned()], ..fast_settings() });
    let reply = call(server.addr, "POST", CHAT, r#"{"model":"small","messages":[]}"#);
    assert_eq!((reply.status, reply.header("x-not-started")), (404, Some("1")));
}

#[test]
fn full_queue_refused() {
    let mut settings = fast_settings();
    settings.model.waiting_max = 0;
    let server = engine(settings);
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", "when is dawn", true);
    let reply = caller.receive().expect("a reply");
    assert_eq!((reply.status, reply.header("x-not-started")), (503, Some("1")));
    assert_eq!(support::read_stat(server.addr, "requests_started"), 0);
}

#[test]
fn invalid_body_refused() {
    let server = engine(fast_settings());
    let reply = call(server.addr, "POST", CHAT, "{");
    assert_eq!((reply.status, reply.header("x-not-started")), (400, Some("1")));
}

#[test]
fn stop_finishes_stream() {
    let server = engine(EngineSettings { time_scale_permille: 100, ..fast_settings() });
    let prompt = support::long_prompt();
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", &prompt, true);
    let head = caller.read_head().expect("the head of the stream");
    server.stop();
    let mut reply = support::Reply { status: 200, head, body: String::new(), is_complete: false };
    while caller.read_chunk(&mut reply) {}
    assert!(reply.is_done());
    assert_answer(&prompt, &reply.streamed_text());
}
