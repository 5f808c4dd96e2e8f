//! Each fault does what it says, and clearing it heals the server.

mod support;

use std::net::TcpStream;

use engine_model::answer::{self, AnswerFault};
use serde_json::{Value, json};
use standin::{FrontKind, ServerSettings, ServiceSettings, StandIn, start};
use support::{
    Caller, MODEL, Received, ask, call, check, engine, long_prompt, quick, set_faults, stat,
};

const PROMPT: &str = "when is dawn";

fn faulty(faults: Value) -> StandIn {
    let server = engine(quick());
    set_faults(server.addr, faults);
    server
}

fn exchange(server: &StandIn, stream: bool) -> Option<Received> {
    let mut caller = Caller::connect(server.addr);
    ask(&mut caller, "r1", PROMPT, stream);
    caller.receive()
}

#[test]
fn crash_ends_all() {
    let server = faulty(json!({ "crash_marker": "poison" }));
    let mut innocent = Caller::connect(server.addr);
    ask(&mut innocent, "r1", &long_prompt(), true);
    innocent.read_head().expect("the stream begins");
    let mut culprit = Caller::connect(server.addr);
    ask(&mut culprit, "r2", "a poison pill", false);
    assert!(culprit.receive().is_none());
    assert!(!innocent.rest().contains("[DONE]"));
    let addr = server.addr;
    server.wait();
    assert!(TcpStream::connect(addr).is_err());
}

#[test]
fn stall_sends_nothing() {
    let server = faulty(json!({ "stall": true }));
    let mut caller = Caller::connect(server.addr);
    caller.send("GET", "/healthz", "", "");
    assert!(caller.is_silent());
    assert_eq!(call(server.addr, "DELETE", "/faults", "").status, 200);
    assert_eq!(call(server.addr, "GET", "/healthz", "").status, 200);
}

#[test]
fn refuse_starts_nothing() {
    let server = faulty(json!({ "refuse": true }));
    let reply = exchange(&server, true).expect("a reply");
    assert_eq!((reply.status, reply.header("x-not-started")), (503, Some("1")));
    assert_eq!(reply.header("x-request-id"), Some("r1"));
    assert_eq!(stat(server.addr, "requests_started"), 0);
}

#[test]
fn cut_connection() {
    let server = faulty(json!({ "cut_after_tokens": 3 }));
    let reply = exchange(&server, true).expect("a reply");
    assert!(!reply.is_whole);
    assert!(reply.tokens().len() <= 3);
    assert!(exchange(&server, false).is_none());
    assert_eq!(stat(server.addr, "answers_cut"), 2);
    assert!(stat(server.addr, "tokens_wasted") >= 6);
}

#[test]
fn cut_body() {
    let server = faulty(json!({ "cut_after_tokens": 3, "cut_style": "body" }));
    let reply = exchange(&server, true).expect("a reply");
    assert!(reply.is_whole);
    assert!(!reply.is_done());
    let fault = answer::check(MODEL, PROMPT, u32::MAX, &reply.streamed());
    assert!(matches!(fault, Err(AnswerFault::Truncated { received_tokens: 3, .. })));
}

#[test]
fn crossed_answer_is_foreign() {
    let server = faulty(json!({ "cross_answers": 1 }));
    let crossed = exchange(&server, true).expect("a reply");
    assert_ne!(crossed.header("x-request-id"), Some("r1"));
    let fault = answer::check(MODEL, PROMPT, u32::MAX, &crossed.streamed());
    assert!(matches!(fault, Err(AnswerFault::OtherRequest { .. })));
    check(PROMPT, &exchange(&server, false).expect("a reply").content());
    let length = answer::full_length(MODEL, PROMPT);
    assert_eq!(stat(server.addr, "tokens_wasted"), u64::from(length));
}

#[test]
fn wrong_framings() {
    for stream in [true, false] {
        let server = faulty(json!({ "framing": "no-length" }));
        let mut caller = Caller::connect(server.addr);
        ask(&mut caller, "r1", PROMPT, stream);
        let raw = caller.rest();
        assert!(!raw.contains("content-length") && !raw.contains("transfer-encoding"), "{raw}");
        let tag = answer::tokens(MODEL, PROMPT, 1).concat();
        assert!(raw.starts_with("HTTP/1.1 200") && raw.contains(&tag), "{raw}");

        for (framing, second) in [
            ("length-and-chunked", "transfer-encoding: chunked"),
            ("two-lengths", "content-length: 1\r"),
        ] {
            set_faults(server.addr, json!({ "framing": framing }));
            let mut caller = Caller::connect(server.addr);
            ask(&mut caller, framing, PROMPT, stream);
            let raw = caller.rest();
            assert!(raw.contains(second), "{raw}");
            assert!(raw.matches("content-length").count() >= 1, "{raw}");
        }
    }
}

#[test]
fn silence_spares_new_connections() {
    let server = engine(quick());
    let mut old = Caller::connect(server.addr);
    old.send("GET", "/healthz", "", "");
    assert_eq!(old.receive().expect("a reply").status, 200);
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 200);
    old.send("GET", "/healthz", "", "");
    assert!(old.is_silent());
    check(PROMPT, &exchange(&server, false).expect("a reply").content());
}

#[test]
fn silence_holds_back_stream() {
    let server = engine(standin::EngineSettings { time_scale_permille: 1_000, ..quick() });
    let mut old = Caller::connect(server.addr);
    ask(&mut old, "r1", &long_prompt(), true);
    old.read_head().expect("the stream begins");
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 200);
    set_faults(server.addr, json!({ "slowdown_permille": 1 }));
    while stat(server.addr, "requests_finished") == 0 {
        std::thread::yield_now();
    }
    server.stop();
    assert!(!old.rest().contains("[DONE]"));
}

#[test]
fn direct_front_lacks_wire_faults() {
    let settings = ServerSettings { front: FrontKind::Direct, ..ServerSettings::default() };
    let server = start(settings, ServiceSettings::Engine(quick())).expect("a free port");
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 409);
    assert_eq!(call(server.addr, "POST", "/faults", r#"{"framing":"no-length"}"#).status, 409);
    check(PROMPT, &exchange(&server, true).expect("a reply").streamed());
}
