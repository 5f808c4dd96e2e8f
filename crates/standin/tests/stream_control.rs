//! Streams are paused, resumed, moved and cancelled without a lost or repeated token.

mod support;

use serde_json::json;
use standin::{EngineSettings, StandIn};
use support::{Caller, Received, ask, call, check, engine, long_prompt, quick, set_faults, stat};

/// Real time for the start of a stream, so that a call can come before its end.
fn slow() -> StandIn {
    engine(EngineSettings { time_scale_permille: 1_000, ..quick() })
}

fn hurry(server: &StandIn) {
    set_faults(server.addr, json!({ "slowdown_permille": 1 }));
}

/// Starts a stream and reads its first chunk.
fn begin(server: &StandIn, prompt: &str) -> (Caller, Received) {
    let mut caller = Caller::connect(server.addr);
    ask(&mut caller, "r1", prompt, true);
    let head = caller.read_head().expect("the stream begins");
    let mut received = Received { status: 200, head, body: String::new(), is_whole: false };
    caller.read_chunk(&mut received);
    (caller, received)
}

fn resume(server: &StandIn, from_token: usize) -> Received {
    let body = json!({ "from_token": from_token }).to_string();
    call(server.addr, "POST", "/v1/streams/r1/resume", &body)
}

/// Pauses a begun stream and returns the tokens that came.
fn pause(server: &StandIn, prompt: &str) -> Vec<String> {
    let (mut caller, mut received) = begin(server, prompt);
    assert_eq!(call(server.addr, "POST", "/v1/streams/r1/pause", "").status, 200);
    while caller.read_chunk(&mut received) {}
    assert!(received.is_whole);
    assert!(!received.is_done());
    assert!(received.body.contains("event: paused"));
    received.tokens()
}

#[test]
fn pause_and_resume() {
    let server = slow();
    let prompt = long_prompt();
    let first = pause(&server, &prompt);
    hurry(&server);
    let rest = resume(&server, first.len());
    assert!(rest.is_done());
    check(&prompt, &(first.concat() + &rest.streamed()));
}

#[test]
fn resume_repeats_on_demand() {
    let server = slow();
    let prompt = long_prompt();
    let first = pause(&server, &prompt);
    assert_eq!(resume(&server, first.len() + 5).status, 409);
    hurry(&server);
    check(&prompt, &resume(&server, 0).streamed());
}

#[test]
fn lost_connection_resumes() {
    let server = slow();
    let prompt = long_prompt();
    let (caller, received) = begin(&server, &prompt);
    drop(caller);
    hurry(&server);
    let first = received.tokens();
    let rest = resume(&server, first.len());
    check(&prompt, &(first.concat() + &rest.streamed()));
}

#[test]
fn delivered_stream_resumes() {
    let server = engine(quick());
    let prompt = long_prompt();
    let mut caller = Caller::connect(server.addr);
    ask(&mut caller, "r1", &prompt, true);
    assert!(caller.receive().expect("a reply").is_done());
    for _ in 0..2 {
        check(&prompt, &resume(&server, 0).streamed());
    }
    assert_eq!(stat(server.addr, "tokens_wasted"), 0);
}

#[test]
fn silent_stream_resumes() {
    let server = slow();
    let prompt = long_prompt();
    let (_silent, received) = begin(&server, &prompt);
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 200);
    hurry(&server);
    while stat(server.addr, "requests_finished") == 0 {
        std::thread::yield_now();
    }
    let first = received.tokens();
    let rest = resume(&server, first.len());
    check(&prompt, &(first.concat() + &rest.streamed()));
}

#[test]
fn moves_to_other_engine() {
    let source = slow();
    let target = engine(quick());
    let prompt = long_prompt();
    let first = pause(&source, &prompt);
    let exported = call(source.addr, "GET", "/v1/kv/r1", "");
    assert_eq!(call(target.addr, "POST", "/v1/kv", &exported.body).status, 200);
    let rest = resume(&target, first.len());
    check(&prompt, &(first.concat() + &rest.streamed()));
    assert_eq!(stat(target.addr, "prefill_tokens"), 0);
    assert_eq!(call(source.addr, "DELETE", "/v1/streams/r1", "").status, 200);
}

#[test]
fn cancel_counts_waste() {
    let server = slow();
    let (mut caller, received) = begin(&server, &long_prompt());
    let cancelled = call(server.addr, "DELETE", "/v1/streams/r1", "");
    let produced = cancelled.json()["produced_tokens"].as_u64().expect("a count");
    assert!(produced >= received.tokens().len() as u64);
    assert!(!caller.rest().contains("[DONE]"));
    assert!(stat(server.addr, "tokens_wasted") >= produced);
    assert_eq!(stat(server.addr, "requests_cancelled"), 1);
    assert_eq!(call(server.addr, "DELETE", "/v1/streams/r1", "").status, 404);
}

#[test]
fn unread_stream_expires() {
    let server = engine(EngineSettings { detached_keep_ms: 0, ..quick() });
    let (caller, _) = begin(&server, &long_prompt());
    drop(caller);
    // The server notices the closed connection in its own time.
    while stat(server.addr, "requests_cancelled") == 0 {
        std::thread::yield_now();
    }
    assert_eq!(resume(&server, 0).status, 404);
}

#[test]
fn live_id_refused() {
    let server = slow();
    let prompt = long_prompt();
    let (_caller, _) = begin(&server, &prompt);
    let mut second = Caller::connect(server.addr);
    ask(&mut second, "r1", &prompt, true);
    let reply = second.receive().expect("a reply");
    assert_eq!((reply.status, reply.header("x-not-started")), (409, None));
}
