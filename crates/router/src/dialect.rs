//! The header conventions of relayed requests and answers.
//!
//! The relay forwards bodies unchanged. It reads and writes header fields only through the trait
//! [`Dialect`], so that the relay itself depends on no platform.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use httpio::{
    client::ResponseHead,
    server::{Reply, Request},
};
use policy::{Prompt, RequestRate};

use crate::outcome::Failure;

/// The metadata that a caller sends with a request, besides method, target and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The key of the caller's workspace.
    pub workspace_key: Option<String>,
    /// The time within which the caller expects the answer.
    pub timeout: Option<Duration>,
    /// The prompt, for a model engine.
    pub prompt: Prompt,
    /// The maximum number of tokens in the answer.
    pub max_tokens: Option<u32>,
    /// The ID of the last event of the answer that the caller received.
    pub last_event: Option<u64>,
    /// The ID of the request that brought the first event of the stream, if this request takes it up.
    pub resumed_request: Option<String>,
}

/// The metadata that an attempt sends to the backend server.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// The name of the server that is to run the request; empty if only its address is known.
    pub server: &'a str,
    /// The time until the deadline of the request.
    pub time_left: Duration,
    /// The workspace of the caller, if it has one.
    pub workspace: Option<&'a str>,
    /// The rank among the requests at a model engine, where 0 is the most urgent; `None` for other
    /// services.
    pub urgency: Option<usize>,
    /// The ID of the last relayed event, if this attempt continues the answer of an earlier one.
    pub last_event: Option<u64>,
}

/// The metadata in the head of a backend server's answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Why the server refused the request before starting it, if it did.
    pub refusal: Option<NotStarted>,
    /// Whether the head bears the signature of a server.
    pub is_signed: bool,
    /// The server's load, if the head reports it.
    pub load: Option<ServerLoad>,
    /// Whether the server says that it is leaving and wants no further request.
    pub is_leaving: bool,
    /// The time for which the server wants no request, if it refused this one and asks for that.
    pub pause: Option<Duration>,
    /// What the server says about the rate of requests that it takes.
    pub rate_limit: RateLimitNotice,
    /// The rejections in a second above which the server fails, if it says that it does.
    pub rejections_max: Option<u32>,
}

/// What the head of an answer says about the rate of requests that its server takes from all routers
/// together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RateLimitNotice {
    /// It has no limit.
    #[default]
    Unlimited,
    /// It has a limit.
    Limited(RequestRate),
    /// It names a limit that cannot be read.
    Unreadable,
}

/// Why a server did not start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStarted {
    /// All its slots are taken.
    Full,
    /// Another server has the address now.
    OtherServer,
    /// The server gave no reason.
    Refused,
}

/// The load that a server reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The maximum number of concurrently running requests.
    pub slots: u32,
}

/// The header conventions of one platform's callers and backend servers.
pub trait Dialect {
    /// Reads the metadata of a caller's request.
    fn read_request(&self, request: &Request) -> RequestMetadata;

    /// Builds the header fields of an attempt from those of the caller's request.
    fn attempt_headers(&self, headers: &HeaderMap, attempt: &AttemptMetadata<'_>) -> HeaderMap;

    /// Reads the metadata in the head of an answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Builds the header fields that the caller receives from those of the server's answer.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Builds the reply to a failed request; `id` is the request ID.
    fn failure_reply(&self, failure: &Failure, id: Option<&HeaderValue>) -> Reply;

    /// The name of a server, from the header fields of its answer to a probe.
    fn server_name<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;
}
