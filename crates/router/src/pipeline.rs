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
    identity::Authenticator,
    order_call,
    outcome::{Code, Failure, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER},
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
        async move { pipeline.answer(request).await }.boxed_local()
    }

    fn refuse(&self, status: StatusCode, remedy: &str) -> Reply {
        Failure::not_run(status, Code::BadRequest, remedy).to_reply()
    }
}

impl Pipeline {
    async fn answer(self, request: Request) -> Reply {
        match self.services.ids.assign(request, &*self.services.clock) {
            Ok(arrival) => self.serve(arrival).await,
            Err(failure) => failure.to_reply(),
        }
    }

    async fn serve(&self, arrival: Arrival) -> Reply {
        let mut record = AccessRecord::new(&arrival);
        let served = match self.admit(arrival) {
            Ok((routed, permit)) => {
                record.route = Some(routed.clone());
                self.dispatch(routed, permit).await
            }
            Err(failure) => Err(failure),
        };
        let detail = served.as_ref().err().map(Failure::to_string).unwrap_or_default();
        let mut reply = served.unwrap_or_else(|failure| failure.to_reply());
        let id: &str = record.arrival.id.as_ref();
        let id = HeaderValue::try_from(id).expect("a request ID is a valid header value");
        reply.headers.insert(REQUEST_ID_HEADER, id);
        self.log_answer(&record, &reply, &detail);
        reply
    }

    /// Runs the stages that do not wait.
    fn admit(&self, arrival: Arrival) -> Result<(Routed, Permit), Failure> {
        let identified = self.authenticator.authenticate(arrival)?;
        let tables: Rc<Tables> = self.tables.current();
        let routed = routing::resolve(identified, tables)?;
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

    fn log_answer(&self, record: &AccessRecord, reply: &Reply, detail: &str) {
        let outcome = reply.headers.get(OUTCOME_HEADER).and_then(|it| it.to_str().ok());
        let outcome = match outcome {
            Some("not-run") => Outcome::NotRun,
            Some("ran") => Outcome::Ran,
            _ => Outcome::MayHaveRun,
        };
        let status = reply.status.as_u16();
        record.log_answer(&self.services, AnswerSummary { status, outcome, detail });
    }
}
