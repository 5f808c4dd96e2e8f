//! Load reports and cache events follow the engine, with the configured lag and losses.

mod support;

use serde_json::Value;
use standin::EngineSettings;
use support::{Caller, call, engine, fast_settings, send_chat};

const LONG_LAG_MS: u64 = 3_600_000;
/// A prompt of four words, each of which fills a block where blocks have one token.
const PROMPT: &str = "a b c d";

fn cache_events(lost_cache_event_every: u64, cache_event_lag_ms: u64) -> Value {
    let mut settings =
        EngineSettings { lost_cache_event_every, cache_event_lag_ms, ..fast_settings() };
    settings.model.block_tokens = 1;
    let server = engine(settings);
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", PROMPT, false);
    caller.receive().expect("a reply");
    call(server.addr, "GET", "/v1/cache/events?since=1", "").json()
}

fn seqs(page: &Value) -> Vec<u64> {
    let events = page["events"].as_array().expect("a list");
    events.iter().filter_map(|it| it["seq"].as_u64()).collect()
}

#[test]
fn cache_events_complete() {
    let page = cache_events(0, 0);
    assert_eq!(seqs(&page), [1, 2, 3, 4]);
    assert_eq!((&page["next"], &page["gap"]), (&5.into(), &false.into()));
}

#[test]
fn cache_events_lost() {
    assert_eq!(seqs(&cache_events(2, 0)), [1, 3]);
}

#[test]
fn cache_events_delayed() {
    let page = cache_events(0, LONG_LAG_MS);
    assert_eq!(seqs(&page), [] as [u64; 0]);
    assert_eq!(page["next"], 1);
}

#[test]
fn load_report_current() {
    let mut settings =
        EngineSettings { time_scale_permille: 1_000, incarnation: 7, ..fast_settings() };
    settings.model.batch_max = 3;
    let server = engine(settings);
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", &support::long_prompt(), true);
    caller.read_head().expect("the head of the stream");
    let load = call(server.addr, "GET", "/v1/load", "").json();
    assert_eq!(load["running"].as_u64().zip(load["waiting"].as_u64()).map(|(a, b)| a + b), Some(1));
    assert_eq!((&load["incarnation"], &load["batch_max"]), (&7.into(), &3.into()));
}

#[test]
fn load_report_lags() {
    let server = engine(EngineSettings { report_lag_ms: LONG_LAG_MS, ..fast_settings() });
    let mut caller = Caller::connect(server.addr);
    send_chat(&mut caller, "r1", PROMPT, true);
    caller.read_head().expect("the head of the stream");
    let load = call(server.addr, "GET", "/v1/load", "").json();
    assert_eq!((&load["running"], &load["waiting"]), (&0.into(), &0.into()));
}
