//! Two routers and three stand-in engines with faults: each answer is whole and the caller's own,
//! or it is clearly none.

mod support;

use std::net::SocketAddr;

use engine_model::answer;
use futures::future::join_all;
use httpio::{Method, client::Request as ClientRequest};
use router::services::Timeouts;
use serde_json::Value;
use standin::{
    CutStyle, EngineSettings, Faults, FrontKind, OnCrash, ServerSettings, ServiceSettings, StandIn,
};
use support::{Setup, TestRouter, run, streamed_chat};

const MODEL: &str = "m";
const MAX_TOKENS: u32 = 20;
const REQUESTS: usize = 60;
const WAVE: usize = 10;
const SILENCE: &str =
    "POST /faults/silence HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const QUICK: Timeouts = Timeouts {
    first_silence_ms: 300,
    silence_ms: 300,
    resumes_max: 3,
    engine_call_timeout_ms: 2_000,
    ledger_timeout_ms: 2_000,
};
/// The engines run a hundred times as fast as real ones.
const TIME_SCALE_PERMILLE: u64 = 10;

fn engine(faults: Faults) -> StandIn {
    let server = ServerSettings {
        front: FrontKind::Relay,
        on_crash: OnCrash::CloseAll,
        faults,
        ..ServerSettings::default()
    };
    let settings =
        EngineSettings { time_scale_permille: TIME_SCALE_PERMILLE, ..EngineSettings::default() };
    standin::start(server, ServiceSettings::Engine(settings)).expect("a free port")
}

fn chat(idx: usize) -> (String, ClientRequest) {
    let prompt = format!("question {idx}");
    let is_streamed = idx % 4 < 2;
    let body = format!(
        r#"{{"model":"{MODEL}","stream":{is_streamed},"max_tokens":{MAX_TOKENS},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    (prompt, ClientRequest { method: Method::POST, body: body.into(), ..streamed_chat() })
}

/// What a caller makes of an answer.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    ToldFailure(String),
}

async fn ask(router: &TestRouter, idx: usize) -> Seen {
    let (prompt, request) = chat(idx);
    let reply = router.exchange(request).await;
    if !reply.starts_with("200 OK\n") {
        assert!(reply.contains("x-outcome: "), "{reply}");
        return Seen::ToldFailure(reply);
    }
    let is_stream = reply.contains("content-type: text/event-stream");
    if is_stream && !reply.ends_with("data: [DONE]\n\n") {
        assert!(reply.contains("event: error\n"), "{reply}");
        return Seen::ToldFailure(reply);
    }
    let text = content(&reply);
    answer::check(MODEL, &prompt, MAX_TOKENS, &text).unwrap_or_else(|it| panic!("{it}: {reply}"));
    Seen::Whole
}

/// The text of a whole or streamed answer.
fn content(reply: &str) -> String {
    let lines = reply.lines().map(|it| it.strip_prefix("data: ").unwrap_or(it));
    let values = lines.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    values
        .map(|it| {
            let choice = &it["choices"][0];
            let text = choice["delta"]["content"].as_str();
            text.or(choice["message"]["content"].as_str()).unwrap_or_default().to_owned()
        })
        .collect()
}

fn check(faults: Vec<Faults>, whole_min: usize) {
    check_with(faults, whole_min, async |_| {});
}

/// Runs `between` after each wave of requests.
fn check_with(faults: Vec<Faults>, whole_min: usize, between: impl AsyncFn(&[SocketAddr])) {
    run(async {
        let engines: Vec<_> = faults.into_iter().map(engine).collect();
        let addrs: Vec<_> = engines.iter().map(|it| it.addr).collect();
        let chat = "retries_max = 4\nretry_budget_permille = 1000";
        let router = |seed| {
            let engines = addrs.clone();
            Setup { engines, chat, seed, waits: QUICK, ..Setup::default() }.start()
        };
        let routers = [router(1), router(2)];
        let mut seen = Vec::new();
        // In waves, because the retry budget is not meant to carry a whole burst.
        for wave in 0..REQUESTS / WAVE {
            let wave = wave * WAVE..(wave + 1) * WAVE;
            seen.extend(join_all(wave.map(|it| ask(&routers[it % 2], it))).await);
            between(&addrs).await;
        }
        let whole = seen.iter().filter(|it| **it == Seen::Whole).count();
        let failures: Vec<_> = seen.iter().filter(|it| **it != Seen::Whole).collect();
        assert!(whole >= whole_min, "{whole} of {REQUESTS} are whole: {failures:?}");
    });
}

#[test]
fn healthy_engines() {
    check(vec![Faults::default(), Faults::default(), Faults::default()], REQUESTS);
}

#[test]
fn crossed_answers() {
    let crossing = Faults { cross_answers: 5, ..Faults::default() };
    check(vec![crossing.clone(), crossing, Faults::default()], REQUESTS);
}

#[test]
fn cut_answers() {
    let cut = |cut_style| Faults { cut_after_tokens: Some(5), cut_style, ..Faults::default() };
    check(vec![cut(CutStyle::Connection), cut(CutStyle::Body), Faults::default()], 1);
}

#[test]
fn refusing_engine() {
    let refusing = Faults { refuse: true, ..Faults::default() };
    check(vec![refusing, Faults::default(), Faults::default()], REQUESTS);
}

#[test]
fn crashing_request() {
    let crashing = Faults { crash_marker: Some("question 7".to_owned()), ..Faults::default() };
    check(vec![crashing.clone(), crashing, Faults::default()], 1);
}

/// The connections that the routers keep open are lost without a sign, again and again.
#[test]
fn silenced_connections() {
    let healthy = vec![Faults::default(), Faults::default()];
    check_with(healthy, REQUESTS, async |addrs| {
        for addr in addrs {
            support::raw_exchange(*addr, SILENCE).await;
        }
    });
}
