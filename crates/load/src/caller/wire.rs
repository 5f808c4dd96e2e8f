//! The HTTP messages between caller and router.

use httpio::{Bytes, HeaderMap, HeaderName, HeaderValue, Method, Uri, client::Request, header};
use serde::{Deserialize, Serialize};

use super::Call;
use crate::plan::{AnswerMode, RequestKind};

const CHAT_PATH: &str = "/v1/chat/completions";
const ORDER_PATH: &str = "/orders";
const LOOKUP_PATH: &str = "/lookup/";

pub(super) const REQUEST_ID: &str = "x-request-id";
pub(super) const OUTCOME: &str = "x-outcome";
const REQUEST_CLASS: &str = "x-request-class";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

#[derive(Debug, Serialize)]
struct ChatRequest<'a> {
    model: &'a str,
    messages: [Message<'a>; 1],
    stream: bool,
    max_tokens: u32,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct OrderRequest<'a> {
    subject: &'a str,
}

/// A streamed chunk or a whole answer. The text of a choice is in `delta` in a chunk and in
/// `message` in a whole answer.
#[derive(Debug, Deserialize)]
pub(super) struct Completion {
    #[serde(default)]
    pub(super) choices: Vec<Choice>,
    pub(super) usage: Option<TokenUsage>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Choice {
    #[serde(alias = "message")]
    pub(super) delta: Option<Delta>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Delta {
    pub(super) content: Option<String>,
}

#[derive(Debug, Deserialize)]
pub(super) struct TokenUsage {
    pub(super) completion_tokens: u32,
}

#[derive(Debug, Deserialize)]
pub(super) struct ErrorBody {
    pub(super) error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
pub(super) struct ErrorDetail {
    pub(super) outcome: Option<String>,
    pub(super) retry_after_ms: Option<u64>,
}

/// The answer to an order.
#[derive(Debug, Deserialize)]
pub(super) struct Receipt {
    pub(super) key: String,
}

/// The answer to a lookup.
#[derive(Debug, Deserialize)]
pub(super) struct Entry {
    pub(super) name: String,
}

pub(super) fn request(call: &Call) -> Request {
    let (method, path, body) = match call.kind {
        RequestKind::Chat => (Method::POST, CHAT_PATH.to_owned(), chat_body(call)),
        RequestKind::Order => (Method::POST, ORDER_PATH.to_owned(), order_body(call)),
        RequestKind::Lookup => (Method::GET, format!("{LOOKUP_PATH}{}", call.prompt), Bytes::new()),
    };
    // A lookup name that is not valid in a path falls back to the bare lookup path, which is
    // answered with 404.
    let uri = Uri::try_from(path).unwrap_or_else(|_| Uri::from_static(LOOKUP_PATH));
    Request { method, uri, headers: headers(call), body }
}

fn chat_body(call: &Call) -> Bytes {
    to_json(&ChatRequest {
        model: &call.model,
        messages: [Message { role: "user", content: &call.prompt }],
        stream: call.answer == AnswerMode::Streamed,
        max_tokens: call.max_tokens,
    })
}

fn order_body(call: &Call) -> Bytes {
    to_json(&OrderRequest { subject: &call.prompt })
}

fn to_json(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body).expect("plain fields always serialise").into()
}

fn headers(call: &Call) -> HeaderMap {
    let mut headers = HeaderMap::new();
    insert(&mut headers, REQUEST_ID, &call.request_id);
    if call.kind != RequestKind::Lookup {
        insert(&mut headers, header::CONTENT_TYPE.as_str(), "application/json");
    }
    if !call.class.is_empty() {
        insert(&mut headers, REQUEST_CLASS, &call.class);
    }
    if !call.token.is_empty() {
        insert(&mut headers, header::AUTHORIZATION.as_str(), &format!("Bearer {}", call.token));
    }
    if let Some(key) = &call.idempotency_key {
        insert(&mut headers, IDEMPOTENCY_KEY, key);
    }
    headers
}

/// Inserts a header, unless its value is not a valid header value. The router then refuses the
/// request because the header is missing.
fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}
