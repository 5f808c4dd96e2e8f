//! Two routers and three stand-in engines with injected faults. Guards against answers that are
//! truncated or belong to another caller without being reported as failures.

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
const BATCH_SIZE: usize = 10;
const SILENCE_REQUEST: &str =
    "POST /faults/silence HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const SHORT_TIMEOUTS: Timeouts = Timeouts {
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

/// The result of a request as the caller can judge it.
#[derive(Debug, PartialEq, Eq)]
enum CallOutcome {
    Complete,
    ReportedFailure(String),
}

async fn send_chat(router: &TestRouter, idx: usize) -> CallOutcome {
    let (prompt, request) = chat(idx);
    let reply = router.exchange(request).await;
    if !reply.starts_with("200 OK\n") {
        assert!(reply.contains("x-outcome: "), "{reply}");
        return CallOutcome::ReportedFailure(reply);
    }
    let is_stream = reply.contains("content-type: text/event-stream");
    if is_stream && !reply.ends_with("data: [DONE]\n\n") {
        assert!(reply.contains("event: error\n"), "{reply}");
        return CallOutcome::ReportedFailure(reply);
    }
    let text = content(&reply);
    answer::check(MODEL, &prompt, MAX_TOKENS, &text).unwrap_or_else(|it| panic!("{it}: {reply}"));
    CallOutcome::Complete
}

/// The text of an unstreamed or streamed answer.
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

fn check(faults: Vec<Faults>, complete_min: usize) {
    check_with(faults, complete_min, async |_| {});
}

/// Sends requests in batches and runs `after_batch` after each of them.
fn check_with(faults: Vec<Faults>, complete_min: usize, after_batch: impl AsyncFn(&[SocketAddr])) {
    run(async {
        let engines: Vec<_> = faults.into_iter().map(engine).collect();
        let addrs: Vec<_> = engines.iter().map(|it| it.addr).collect();
        let chat = "retries_max = 4\nretry_budget_permille = 1000";
        let router = |seed| {
            let engines = addrs.clone();
            Setup { engines, chat, seed, timeouts: SHORT_TIMEOUTS, ..Setup::default() }.start()
        };
        let routers = [router(1), router(2)];
        let mut outcomes = Vec::new();
        // In batches, because the retry budget does not cover all requests at once.
        for batch in 0..REQUESTS / BATCH_SIZE {
            let batch = batch * BATCH_SIZE..(batch + 1) * BATCH_SIZE;
            outcomes.extend(join_all(batch.map(|it| send_chat(&routers[it % 2], it))).await);
            after_batch(&addrs).await;
        }
        let complete = outcomes.iter().filter(|it| **it == CallOutcome::Complete).count();
        let failures: Vec<_> = outcomes.iter().filter(|it| **it != CallOutcome::Complete).collect();
        assert!(
            complete >= complete_min,
            "{complete} of {REQUESTS} answers are complete: {failures:?}"
        );
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
fn truncated_answers() {
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

/// Guards against failures when kept-open connections repeatedly fall silent without closing.
#[test]
fn silenced_connections() {
    let healthy = vec![Faults::default(), Faults::default()];
    check_with(healthy, REQUESTS, async |addrs| {
        for addr in addrs {
            support::raw_exchange(*addr, SILENCE_REQUEST).await;
        }
    });
}
