//! Pausing, resuming, moving and cancelling a stream neither loses nor repeats a token.

mod support;

use serde_json::json;
use standin::{EngineSettings, StandIn};
use support::{
    Caller, Reply, assert_answer, call, engine, fast_settings, long_prompt, read_stat, send_chat,
    set_faults,
};

/// Starts an engine in real time, so that a call can arrive before a stream has ended.
fn real_time_engine() -> StandIn {
    engine(EngineSettings { time_scale_permille: 1_000, ..fast_settings() })
}

/// Lets the engine finish its streams quickly.
fn speed_up(server: &StandIn) {
    set_faults(server.addr, json!({ "slowdown_permille": 1 }));
}

/// Starts a stream and reads its first chunk.
fn start_stream(server: &StandIn, prompt: &str) -> (Caller, Reply) {
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", prompt, true);
    let head = caller.read_head().expect("the head of the stream");
    let mut received = Reply { status: 200, head, body: String::new(), is_complete: false };
    caller.read_chunk(&mut received);
    (caller, received)
}

fn resume(server: &StandIn, from_token: usize) -> Reply {
    let body = json!({ "from_token": from_token }).to_string();
    call(server.addr, "POST", "/v1/streams/r1/resume", &body)
}

/// Starts a stream, pauses it and returns the tokens that arrived.
fn start_and_pause(server: &StandIn, prompt: &str) -> Vec<String> {
    let (mut caller, mut received) = start_stream(server, prompt);
    assert_eq!(call(server.addr, "POST", "/v1/streams/r1/pause", "").status, 200);
    while caller.read_chunk(&mut received) {}
    assert!(received.is_complete);
    assert!(!received.is_done());
    assert!(received.body.contains("event: paused"));
    received.tokens()
}

#[test]
fn pause_and_resume() {
    let server = real_time_engine();
    let prompt = long_prompt();
    let first = start_and_pause(&server, &prompt);
    speed_up(&server);
    let rest = resume(&server, first.len());
    assert!(rest.is_done());
    assert_answer(&prompt, &(first.concat() + &rest.streamed_text()));
}

#[test]
fn resume_from_earlier_token() {
    let server = real_time_engine();
    let prompt = long_prompt();
    let first = start_and_pause(&server, &prompt);
    assert_eq!(resume(&server, first.len() + 5).status, 409);
    speed_up(&server);
    assert_answer(&prompt, &resume(&server, 0).streamed_text());
}

#[test]
fn resume_after_disconnect() {
    let server = real_time_engine();
    let prompt = long_prompt();
    let (caller, received) = start_stream(&server, &prompt);
    drop(caller);
    speed_up(&server);
    let first = received.tokens();
    let rest = resume(&server, first.len());
    assert_answer(&prompt, &(first.concat() + &rest.streamed_text()));
}

#[test]
fn resume_delivered_stream() {
    let server = engine(fast_settings());
    let prompt = long_prompt();
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", &prompt, true);
    assert!(caller.receive().expect("a reply").is_done());
    for _ in 0..2 {
        assert_answer(&prompt, &resume(&server, 0).streamed_text());
    }
    assert_eq!(read_stat(server.addr, "tokens_wasted"), 0);
}

#[test]
fn resume_silenced_stream() {
    let server = real_time_engine();
    let prompt = long_prompt();
    let (_silenced, received) = start_stream(&server, &prompt);
    assert_eq!(call(server.addr, "POST", "/faults/silence", "").status, 200);
    speed_up(&server);
    while read_stat(server.addr, "requests_finished") == 0 {
        std::thread::yield_now();
    }
    let first = received.tokens();
    let rest = resume(&server, first.len());
    assert_answer(&prompt, &(first.concat() + &rest.streamed_text()));
}

#[test]
fn move_to_other_engine() {
    let source = real_time_engine();
    let target = engine(fast_settings());
    let prompt = long_prompt();
    let first = start_and_pause(&source, &prompt);
    let exported = call(source.addr, "GET", "/v1/kv/r1", "");
    assert_eq!(call(target.addr, "POST", "/v1/kv", &exported.body).status, 200);
    let rest = resume(&target, first.len());
    assert_answer(&prompt, &(first.concat() + &rest.streamed_text()));
    assert_eq!(read_stat(target.addr, "prefill_tokens"), 0);
    assert_eq!(call(source.addr, "DELETE", "/v1/streams/r1", "").status, 200);
}

#[test]
fn cancel_counts_wasted_tokens() {
    let server = real_time_engine();
    let (mut caller, received) = start_stream(&server, &long_prompt());
    let cancelled = call(server.addr, "DELETE", "/v1/streams/r1", "");
    let produced = cancelled.json()["produced_tokens"].as_u64().expect("a count");
    assert!(produced >= received.tokens().len() as u64);
    assert!(!caller.read_to_end().contains("[DONE]"));
    assert!(read_stat(server.addr, "tokens_wasted") >= produced);
    assert_eq!(read_stat(server.addr, "requests_cancelled"), 1);
    assert_eq!(call(server.addr, "DELETE", "/v1/streams/r1", "").status, 404);
}

#[test]
fn unread_stream_expires() {
    let server = engine(EngineSettings { detached_keep_ms: 0, ..fast_settings() });
    let (caller, _) = start_stream(&server, &long_prompt());
    drop(caller);
    // The server detects the closed connection asynchronously.
    while read_stat(server.addr, "requests_cancelled") == 0 {
        std::thread::yield_now();
    }
    assert_eq!(resume(&server, 0).status, 404);
}

#[test]
fn active_id_refused() {
    let server = real_time_engine();
    let prompt = long_prompt();
    let (_caller, _) = start_stream(&server, &prompt);
    let mut second = Caller::connect(server.addr);
    send_chat(&mut second, "r1", &prompt, true);
    let reply = second.receive().expect("a reply");
    assert_eq!((reply.status, reply.header("x-not-started")), (409, None));
}
