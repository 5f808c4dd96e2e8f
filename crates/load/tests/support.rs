//! HTTP servers for tests, on a loopback port chosen by the system.
#![allow(dead_code)]

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Bytes, HeaderMap, HeaderValue, StatusCode,
    server::{Reply, Request, ServerSettings, StopSignals, bind, serve},
    sse,
};
use load::loopback::LoopbackAddr;
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::{Value, json};

/// Runs a test on the runtime driver of the daemons.
pub(crate) fn block_on<F: Future>(test: F) -> F::Output {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("the legacy driver is always available").block_on(test)
}

/// Serves `handler` until the test ends.
pub(crate) fn serve_handler(
    handler: impl Fn(Request) -> LocalBoxFuture<'static, Reply> + 'static,
) -> LoopbackAddr {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = bind(any_port).expect("a free port");
    let addr = listener.local_addr().expect("a bound listener");
    let (settings, stop) = (ServerSettings::default(), StopSignals::default());
    monoio::spawn(serve(listener, settings, stop, Rc::new(handler)));
    LoopbackAddr::checked(addr).expect("a loopback port")
}

/// The parsed body of a chat completion request.
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
}

pub(crate) fn chat_request(request: &Request) -> ChatRequest {
    let body: Value = serde_json::from_slice(&request.body).expect("a JSON body");
    let text = |value: &Value| value.as_str().expect("a text").to_owned();
    ChatRequest {
        model: text(&body["model"]),
        prompt: text(&body["messages"][0]["content"]),
        max_tokens: body["max_tokens"].as_u64().expect("a number") as u32,
    }
}

/// The events of a streamed answer, without `[DONE]`.
pub(crate) fn token_events(tokens: &[String]) -> Vec<Bytes> {
    let event = |token: &String| {
        let choice = json!({ "index": 0, "delta": { "content": token }, "finish_reason": null });
        sse::data_event(&json!({ "choices": [choice] }).to_string())
    };
    tokens.iter().map(event).collect()
}

/// Streams `events` and terminates the body properly.
pub(crate) fn stream_reply(request: &Request, events: Vec<Bytes>) -> Reply {
    let mut headers = headers(request, "ran");
    headers.insert("content-type", HeaderValue::from_static(sse::CONTENT_TYPE));
    let (mut sender, reply) = Reply::stream(StatusCode::OK, headers, 1);
    monoio::spawn(async move {
        for event in events {
            if sender.send(event).await.is_err() {
                return;
            }
        }
        let _ = sender.finish().await;
    });
    reply
}

pub(crate) fn whole_reply(
    request: &Request,
    status: StatusCode,
    outcome: &'static str,
    body: Value,
) -> Reply {
    Reply::whole(status, headers(request, outcome), body.to_string().into())
}

pub(crate) fn ready(reply: Reply) -> LocalBoxFuture<'static, Reply> {
    futures::future::ready(reply).boxed_local()
}

fn headers(request: &Request, outcome: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-outcome", HeaderValue::from_static(outcome));
    if let Some(id) = request.headers.get("x-request-id") {
        headers.insert("x-request-id", id.clone());
    }
    headers
}
