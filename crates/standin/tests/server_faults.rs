//! Each fault has its documented effect, and clearing the faults restores the server.

mod support;

use std::net::TcpStream;

use engine_model::answer::{self, AnswerFault};
use serde_json::{Value, json};
use standin::{FrontKind, ServerSettings, ServiceSettings, StandIn, start};
use support::{
    Caller, MODEL, Reply, assert_answer, call, engine, fast_settings, long_prompt, read_stat,
    send_chat, set_faults,
};

const PROMPT: &str = "when is dawn";

fn engine_with_faults(faults: Value) -> StandIn {
    let server = engine(fast_settings());
    set_faults(server.addr, faults);
    server
}

fn exchange_chat(server: &StandIn, stream: bool) -> Option<Reply> {
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", PROMPT, stream);
    caller.receive()
}

#[test]
fn crash_closes_connections() {
    let server = engine_with_faults(json!({ "crash_marker": "poison" }));
    let mut bystander = Caller::connect(server.addr);
    send_chat(&mut bystander, "r1", &long_prompt(), true);
    bystander.read_head().expect("the head of the stream");
    let mut crashing = Caller::connect(server.addr);
    send_chat(&mut crashing, "r2", "a poison pill", false);
    assert!(crashing.receive().is_none());
    assert!(!bystander.read_to_end().contains("[DONE]"));
    let addr = server.addr;
    server.wait();
    assert!(TcpStream::connect(addr).is_err());
}

#[test]
fn stall_sends_nothing() {
    let server = engine_with_faults(json!({ "stall": true }));
    let mut caller = Caller::connect(server.addr);
    caller.send("GET", "/healthz", "", "");
    assert!(caller.receives_nothing());
    assert_eq!(call(server.addr, "DELETE", "/faults", "").status, 200);
    assert_eq!(call(server.addr, "GET", "/healthz", "").status, 200);
}

#[test]
fn refuse_starts_nothing() {
    let server = engine_with_faults(json!({ "refuse": true }));
    let reply = exchange_chat(&server, true).expect("a reply");
    assert_eq!((reply.status, reply.header("x-not-started")), (503, Some("1")));
    assert_eq!(reply.header("x-request-id"), Some("r1"));
    assert_eq!(read_stat(server.addr, "requests_started"), 0);
}

#[test]
fn cut_connection() {
    let server = engine_with_faults(json!({ "cut_after_tokens": 3 }));
    let reply = exchange_chat(&server, true).expect("a reply");
    assert!(!reply.is_complete);
    assert!(reply.tokens().len() <= 3);
    assert!(exchange_chat(&server, false).is_none());
    assert_eq!(read_stat(server.addr, "answers_cut"), 2);
    assert!(read_stat(server.addr, "tokens_wasted") >= 6);
}

#[test]
fn cut_body() {
    let server = engine_with_faults(json!({ "cut_after_tokens": 3, "cut_style": "body" }));
    let reply = exchange_chat(&server, true).expect("a reply");
    assert!(reply.is_complete);
    assert!(!reply.is_done());
    let fault = answer::check(MODEL, PROMPT, u32::MAX, &reply.streamed_text());
    assert!(matches!(fault, Err(AnswerFault::Truncated { received_tokens: 3, .. })));
}

#[test]
fn crossed_answer() {
    let server = engine_with_faults(json!({ "cross_answers": 1 }));
    let crossed = exchange_chat(&server, true).expect("a reply");
    assert_ne!(crossed.header("x-request-id"), Some("r1"));
    let fault = answer::check(MODEL, PROMPT, u32::MAX, &crossed.streamed_text());
    assert!(matches!(fault, Err(AnswerFault::OtherRequest { .. })));
    assert_answer(PROMPT, &exchange_chat(&server, false).expect("a reply").content());
    let length = answer::full_length(MODEL, PROMPT);
    assert_eq!(read_stat(server.addr, "tokens_wasted"), u64::from(length));
}

#[test]
fn invalid_framing() {
    for stream in [true, false] {
        let server = engine_with_faults(json!({ "framing": "no-length" }));
        let mut caller = Caller::connect(server.addr);
        send_chat(&mut caller, "r1", PROMPT, stream);
        let raw = caller.read_to_end();
        assert!(!raw.contains("content-length") && !raw.contains("transfer-encoding"), "{raw}");
        let tag = answer::tokens(MODEL, PROMPT, 1).concat();
        assert!(raw.starts_with("HTTP/1.1 200") && raw.contains(&tag), "{raw}");

        for (framing, second) in [
            ("length-and-chunked", "transfer-encoding: chunked"),
            ("two-lengths", "content-length: 1\r"),
        ] {
            set_faults(server.addr, json!({ "framing": framing }));
            let mut caller = Caller::connect(server.addr);
            send_chat(&mut caller, framing, PROMPT, stream);
            let raw = caller.read_to_end();
            assert!(raw.contains(second), "{raw}");
            assert!(raw.matches("content-length").count() >= 1, "{raw}");
        }
    }
}

#[test]
fn silence_spares_new_connections() {
    let server = engine(fast_settings());
    let mut silenced = Caller::connect(server.addr);
    silenced.send("GET", "/healthz", "", "");
    assert_eq!(silenced.receive().expect("a reply").status, 200);
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 200);
    silenced.send("GET", "/healthz", "", "");
    assert!(silenced.receives_nothing());
    assert_answer(PROMPT, &exchange_chat(&server, false).expect("a reply").content());
}

#[test]
fn silence_stops_stream() {
    let server = engine(standin::EngineSettings { time_scale_permille: 1_000, ..fast_settings() });
    let mut silenced = Caller::connect(server.addr);
    send_chat(&mut silenced, "r1", &long_prompt(), true);
    silenced.read_head().expect("the head of the stream");
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 200);
    set_faults(server.addr, json!({ "slowdown_permille": 1 }));
    while read_stat(server.addr, "requests_finished") == 0 {
        std::thread::yield_now();
    }
    server.stop();
    assert!(!silenced.read_to_end().contains("[DONE]"));
}

#[test]
fn wire_faults_need_relay() {
    let settings = ServerSettings { front: FrontKind::Direct, ..ServerSettings::default() };
    let server = start(settings, ServiceSettings::Engine(fast_settings())).expect("a free port");
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 409);
    assert_eq!(call(server.addr, "POST", "/faults", r#"{"framing":"no-length"}"#).status, 409);
    assert_answer(PROMPT, &exchange_chat(&server, true).expect("a reply").streamed_text());
}
