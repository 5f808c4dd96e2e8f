//! The path of a request through the stages, from its arrival to its reply.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, StatusCode};
use httpio::server::{Handler, Reply, Request};
use tables::Tables;

use crate::{
    access_log::{AccessRecord, AnswerSummary},
    arrival::Arrival,
    call::{Call, SchedulingHints},
    chat::{ChatRequest, Delivery},
    chat_call::ChatCall,
    class_limits::{ClassLimits, Permit},
    forwarding::{self, ForwardedHandler, Hop, Origin},
    identity::Authenticator,
    order_call,
    outcome::{Failure, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER},
    refusals,
    routing::{self, Routed},
    service_call,
    services::Services,
    table_source::TableSource,
};

/// Answers requests; clones share all state.
#[derive(Clone)]
pub struct Pipeline {
    /// The services that the stages share.
    pub services: Rc<Services>,
    /// Authenticates callers.
    pub authenticator: Authenticator,
    /// The tables in force.
    pub tables: Rc<dyn TableSource>,
    /// The limits of workspaces by class.
    pub limits: ClassLimits,
}

impl Handler for Pipeline {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let pipeline = self.clone();
        async move {
            let (result, id) = pipeline.answer(request, Origin::Caller).await;
            let mut reply = result.unwrap_or_else(|failure| failure.to_reply());
            if let Some(id) = id {
                reply.headers.insert(REQUEST_ID_HEADER, id);
            }
            reply
        }
        .boxed_local()
    }

    fn refuse(&self, status: StatusCode, remedy: &str) -> Reply {
        refusals::unreadable(status, remedy).to_reply()
    }
}

impl ForwardedHandler for Pipeline {
    fn call_forwarded(
        &self,
        request: Request,
        hop: Hop,
    ) -> LocalBoxFuture<'static, Result<Reply, Failure>> {
        let pipeline = self.clone();
        async move { pipeline.answer(request, Origin::Router(hop)).await.0 }.boxed_local()
    }
}

impl Pipeline {
    /// Answers a request; also returns its ID, if it has one.
    async fn answer(
        &self,
        request: Request,
        origin: Origin,
    ) -> (Result<Reply, Failure>, Option<HeaderValue>) {
        let arrival = match self.services.ids.assign(request, &*self.services.clock) {
            Ok(arrival) => arrival,
            Err(failure) => return (Err(failure), None),
        };
        let mut record = AccessRecord::new(&arrival, &origin);
        let result = match self.admit(arrival, &origin) {
            Ok((routed, permit)) => {
                record.route = Some(routed.clone());
                let deadline = routed.deadline();
                let serve_here = self.dispatch(routed.clone(), permit).boxed_local();
                let services = &self.services;
                forwarding::serve_or_forward(services, &routed, &origin, deadline, serve_here).await
            }
            Err(failure) => Err(failure),
        };
        self.log_answer(&record, &result);
        let id: &str = record.arrival.id.as_ref();
        let id = HeaderValue::try_from(id).expect("a request ID is a valid header value");
        (result, Some(id))
    }

    /// Runs the stages that do not wait.
    fn admit(&self, arrival: Arrival, origin: &Origin) -> Result<(Routed, Permit), Failure> {
        let identified = self.authenticator.authenticate(arrival)?;
        let tables: Rc<Tables> = self.tables.current();
        let routed = routing::resolve(identified, tables)?;
        let routed = Routed { attempts: origin.prior_attempts(), ..routed };
        refusals::check_stop(&self.services, routed.route().deadline())?;
        let permit = self.limits.apply(&routed)?;
        Ok((routed, permit))
    }

    async fn dispatch(&self, routed: Routed, permit: Permit) -> Result<Reply, Failure> {
        let services = Rc::clone(&self.services);
        if routed.is_order() {
            return order_call::serve(services, routed, permit).await;
        }
        if !routed.is_for_engine() {
            let call = Call::dispatch(services, routed, permit, SchedulingHints::default()).await?;
            return service_call::serve_idempotent(call).await;
        }
        let body = &routed.arrival.request.body;
        let chat = ChatRequest::parse(body, routed.pool(), routed.route().priority)?;
        let (prefix_hash, max_tokens) = (chat.prefix_hash, chat.max_tokens);
        let hints = SchedulingHints { prefix_hash, max_tokens, ..SchedulingHints::default() };
        let call = Call::dispatch(services, routed, permit, hints).await?;
        match chat.delivery {
            Delivery::Stream => ChatCall::new(call, chat).streamed().await,
            Delivery::Whole => ChatCall::new(call, chat).whole().await,
        }
    }

    fn log_answer(&self, record: &AccessRecord, result: &Result<Reply, Failure>) {
        let (status, outcome) = match result {
            Ok(reply) => (reply.status, stated_outcome(reply)),
            Err(failure) => (failure.status, failure.outcome),
        };
        let detail = result.as_ref().err().map(Failure::to_string).unwrap_or_default();
        let status = status.as_u16();
        record.log_answer(&self.services, AnswerSummary { status, outcome, detail: &detail });
    }
}

fn stated_outcome(reply: &Reply) -> Outcome {
    match reply.headers.get(OUTCOME_HEADER).and_then(|it| it.to_str().ok()) {
        Some("not-run") => Outcome::NotRun,
        Some("ran") => Outcome::Ran,
        _ => Outcome::MayHaveRun,
    }
}
