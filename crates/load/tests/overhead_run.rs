//! Runs the overhead experiment against a fake that acts as both router and backend server.

mod support;

use std::rc::Rc;

use clock::SystemClock;
use engine_model::answer;
use futures::FutureExt;
use httpio::{
    HeaderMap, HeaderValue, StatusCode,
    server::{Reply, Request},
    sse,
};
use load::{
    caller::{Caller, CallerSettings},
    loopback::LoopbackAddr,
    overhead::{Experiment, ExperimentFault, ExperimentSettings, OverheadReport},
    proc_stat::Pid,
    streams::StreamOpenTimeout,
};
use serde_json::json;
use support::{
    block_on, chat_request, ready, serve_handler, stream_reply, token_events, whole_reply,
};

const RELAY_STREAMS: usize = 3;

fn reply(request: &Request) -> Reply {
    let chat_request = chat_request(request);
    let tokens = answer::tokens(&chat_request.model, &chat_request.prompt, chat_request.max_tokens);
    if chat_request.max_tokens == 1 {
        let message = json!({ "content": tokens.concat() });
        let usage = json!({ "prompt_tokens": 1, "completion_tokens": 1 });
        let body = json!({ "choices": [{ "message": message }], "usage": usage });
        return whole_reply(request, StatusCode::OK, "ran", body);
    }
    if request.header("x-request-class") == Some("slow") {
        return endless(&tokens);
    }
    stream_reply(request, [token_events(&tokens), vec![sse::data_event("[DONE]")]].concat())
}

/// Sends one token and keeps the stream open until the caller disconnects.
fn endless(tokens: &[String]) -> Reply {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static(sse::CONTENT_TYPE));
    let (mut sender, reply) = Reply::stream(StatusCode::OK, headers, 1);
    let first = token_events(&tokens[..1]).concat();
    monoio::spawn(async move {
        let _ = sender.send(first.into()).await;
        futures::future::pending::<()>().await;
    });
    reply
}

fn settings(addr: LoopbackAddr) -> ExperimentSettings {
    ExperimentSettings {
        router: addr,
        direct: addr,
        slow_class: "slow".to_owned(),
        class: "chat".to_owned(),
        token: String::new(),
        model: "small".to_owned(),
        pid: Some(Pid(std::process::id())),
        calls: 5,
        relay_streams: RELAY_STREAMS,
        relay_tokens: 20,
        open_streams: vec![4, 8],
        open_timeout_ms: 10_000,
    }
}

async fn run(settings: ExperimentSettings) -> Result<OverheadReport, ExperimentFault> {
    let caller = Caller::new(CallerSettings::default());
    Experiment::new(settings, caller, Rc::new(SystemClock)).run().await
}

#[test]
fn all_parts_measured() {
    let report = block_on(async {
        let addr = serve_handler(|request| ready(reply(&request)));
        run(settings(addr)).await
    });
    let report = report.expect("the fake answers correctly");
    assert_eq!(report.added_time.direct.count, 5);
    assert_eq!(report.added_time.routed.count, 5);
    assert_eq!(report.relay.streams, RELAY_STREAMS);
    assert!(report.relay.tokens >= RELAY_STREAMS as u64 * 8);
    let streams: Vec<usize> = report.memory.iter().map(|it| it.streams).collect();
    assert_eq!(streams, [4, 8]);
}

#[test]
fn failed_request_aborts() {
    let fault = block_on(async {
        let refuse = |request: &Request| {
            whole_reply(request, StatusCode::SERVICE_UNAVAILABLE, "not-run", json!({ "error": {} }))
        };
        let addr = serve_handler(move |request| ready(refuse(&request)));
        run(settings(addr)).await
    });
    assert!(matches!(fault, Err(ExperimentFault::BadAnswer { .. })));
}

#[test]
fn stream_timeout_reported() {
    let fault = block_on(async {
        let addr = serve_handler(|request| match request.header("x-request-class") {
            Some("slow") => futures::future::pending().boxed_local(),
            _ => ready(reply(&request)),
        });
        run(ExperimentSettings { open_timeout_ms: 50, ..settings(addr) }).await
    });
    assert!(matches!(
        fault,
        Err(ExperimentFault::Streams(StreamOpenTimeout { open: 0, requested: 4 }))
    ));
}
