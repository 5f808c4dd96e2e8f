//! The listener for requests that other routers forward.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture};
use http::StatusCode;
use httpio::{
    Bytes,
    server::{Handler, Reply, Request},
};
use telemetry::Secret;

use super::hop::{self, AnswerMark, Hop};
use crate::{
    outcome::{Code, Failure, REQUEST_ID_HEADER},
    refusals,
};

/// The path by which a router asks whether another one still answers. Callers may use it for their requests.
pub(super) const PING_PATH: &str = "/forwarding/ping";

/// Serves forwarded requests.
pub(crate) trait ForwardedHandler {
    /// Serves a request of another router, without forwarding it again.
    fn call_forwarded(
        &self,
        request: Request,
        hop: Hop,
    ) -> LocalBoxFuture<'static, Result<Reply, Failure>>;
}

/// Authenticates other routers and passes their requests on.
pub(crate) struct ForwardListener {
    pub(crate) handler: Rc<dyn ForwardedHandler>,
    /// The token that other routers must present; `None` if the network is trusted.
    pub(crate) token: Option<Secret>,
}

impl Handler for ForwardListener {
    fn call(&self, mut request: Request) -> LocalBoxFuture<'static, Reply> {
        let token = hop::take_token(&mut request.headers);
        if self.token.as_ref().is_some_and(|it| token.as_deref() != Some(it.expose())) {
            tracing::warn!(event = "forwarder_refused", peer = %request.peer);
            let message = "the token of the router is wrong: give every router the same one";
            let failure = Failure::not_run(StatusCode::FORBIDDEN, Code::UnknownToken, message);
            return async move { failure_reply(&failure) }.boxed_local();
        }
        if is_ping(&request) {
            let reply = Reply::typed(StatusCode::OK, "text/plain", Bytes::from_static(b"here\n"));
            return async { reply }.boxed_local();
        }
        let Some(hop) = Hop::take(&mut request.headers) else {
            let message = "the request is not forwarded by a router: send it to the callers' port";
            let failure = Failure::not_run(StatusCode::BAD_REQUEST, Code::BadRequest, message);
            return async move { failure_reply(&failure) }.boxed_local();
        };
        let served = self.handler.call_forwarded(request, hop);
        async move {
            match served.await {
                Ok(mut reply) => {
                    AnswerMark::Served.write(&mut reply.headers);
                    reply
                }
                Err(failure) => failure_reply(&failure),
            }
        }
        .boxed_local()
    }

    fn refuse(&self, status: StatusCode, remedy: &str) -> Reply {
        failure_reply(&refusals::unreadable(status, remedy))
    }
}

/// Whether a router asks if this one still answers. A request that it forwards has an ID, whatever its path.
fn is_ping(request: &Request) -> bool {
    request.uri.path() == PING_PATH && !request.headers.contains_key(REQUEST_ID_HEADER)
}

fn failure_reply(failure: &Failure) -> Reply {
    let mut reply = failure.to_reply();
    AnswerMark::Failure.write(&mut reply.headers);
    reply
}
