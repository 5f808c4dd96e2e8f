//! The overhead experiment against a fake that is router and backend server at once.

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
    streams::StreamsMissing,
};
use serde_json::json;
use support::{asked, block_on, ready, start, stream, token_events, whole};

const RELAY_STREAMS: usize = 3;

fn reply(request: &Request) -> Reply {
    let asked = asked(request);
    let tokens = answer::tokens(&asked.model, &asked.prompt, asked.max_tokens);
    if asked.max_tokens == 1 {
        let message = json!({ "content": tokens.concat() });
        let usage = json!({ "prompt_tokens": 1, "completion_tokens": 1 });
        let body = json!({ "choices": [{ "message": message }], "usage": usage });
        return whole(request, StatusCode::OK, "ran", body);
    }
    if request.header("x-request-class") == Some("slow") {
        return endless(&tokens);
    }
    stream(request, [token_events(&tokens), vec![sse::data_event("[DONE]")]].concat())
}

/// One token, and no end until the caller has gone.
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
fn everything_measured() {
    let report = block_on(async {
        let addr = start(|request| ready(reply(&request)));
        run(settings(addr)).await
    });
    let report = report.expect("the fake answers right");
    assert_eq!(report.added_time.direct.count, 5);
    assert_eq!(report.added_time.routed.count, 5);
    assert_eq!(report.relay.streams, RELAY_STREAMS);
    assert!(report.relay.tokens >= RELAY_STREAMS as u64 * 8);
    let streams: Vec<usize> = report.memory.iter().map(|it| it.streams).collect();
    assert_eq!(streams, [4, 8]);
}

#[test]
fn wrong_answer_ends_it() {
    let fault = block_on(async {
        let refuse = |request: &Request| {
            whole(request, StatusCode::SERVICE_UNAVAILABLE, "not-run", json!({ "error": {} }))
        };
        let addr = start(move |request| ready(refuse(&request)));
        run(settings(addr)).await
    });
    assert!(matches!(fault, Err(ExperimentFault::BadAnswer { .. })));
}

#[test]
fn missing_streams_reported() {
    let fault = block_on(async {
        let addr = start(|request| match request.header("x-request-class") {
            Some("slow") => futures::future::pending().boxed_local(),
            _ => ready(reply(&request)),
        });
        run(ExperimentSettings { open_timeout_ms: 50, ..settings(addr) }).await
    });
    assert!(matches!(fault, Err(ExperimentFault::Streams(StreamsMissing { open: 0, wanted: 4 }))));
}
