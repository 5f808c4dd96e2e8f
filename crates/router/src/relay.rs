//! Relays requests unchanged, for callers and backend servers of another dialect.
//!
//! The stages are those of every request: arrival, caller, route, limits, assignment of a backend
//! server, attempts, answer. The difference is that the answer is the server's own, byte for byte.

mod buffered;
mod events;
mod hedged;
mod origin;
mod relayed_call;

use std::{rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, StatusCode, header};
use httpio::server::{Handler, Reply, Request};
use monoio::time;
use tables::{Access, Exchange};

use self::{origin::restrict_to_origin, relayed_call::RelayedCall};
use crate::{
    access_log::{AccessRecord, AnswerSummary},
    arrival::Arrival,
    class_limits::{ClassLimits, Permit},
    deadline::before_stop,
    dialect::{Dialect, RequestMetadata},
    forwarding::{self, ForwardedHandler, Hop, Origin},
    identity::Caller,
    outcome::{Code, Failure, Outcome},
    refusals,
    routing::{Routed, host_name},
    services::Services,
    table_source::TableSource,
};

/// The expected time from a start until tables are in force, including an election among the
/// control VMs.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// Answers relayed requests; clones share all state.
#[derive(Clone)]
pub struct Relay {
    /// The services that the stages share.
    pub services: Rc<Services>,
    /// The tables in force.
    pub tables: Rc<dyn TableSource>,
    /// The limits of workspaces by class.
    pub limits: ClassLimits,
    /// The conventions of callers and backend servers.
    pub dialect: Rc<dyn Dialect>,
}

impl Handler for Relay {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let relay = self.clone();
        async move {
            let (result, id) = relay.answer(request, Origin::Caller).await;
            result.unwrap_or_else(|it| relay.dialect.failure_reply(&it, id.as_ref()))
        }
        .boxed_local()
    }

    fn refuse(&self, status: StatusCode, remedy: &str) -> Reply {
        tracing::info!(event = "request_unreadable", status = status.as_u16(), remedy);
        self.dialect.failure_reply(&refusals::unreadable(status, remedy), None)
    }
}

impl ForwardedHandler for Relay {
    fn call_forwarded(
        &self,
        request: Request,
        hop: Hop,
    ) -> LocalBoxFuture<'static, Result<Reply, Failure>> {
        let relay = self.clone();
        async move { relay.answer(request, Origin::Router(hop)).await.0 }.boxed_local()
    }
}

impl Relay {
    /// Answers a request; also returns its ID, if it has one.
    async fn answer(
        &self,
        request: Request,
        origin: Origin,
    ) -> (Result<Reply, Failure>, Option<HeaderValue>) {
        let mut metadata = self.dialect.read_request(&request);
        let mut arrival = match self.services.ids.assign(request, &*self.services.clock) {
            Ok(arrival) => arrival,
            Err(failure) => return (Err(failure), None),
        };
        if let Origin::Router(hop) = &origin {
            metadata.timeout = Some(metadata.timeout.unwrap_or(hop.time_left).min(hop.time_left));
            arrival = self.services.ids.continue_trace(arrival, hop.trace.as_ref());
        }
        let mut record = AccessRecord::new(&arrival, &origin);
        self.await_tables(&metadata).await;
        let result = match self.admit(arrival, &metadata, &origin) {
            Ok((routed, permit)) => {
                record.route = Some(routed.clone());
                self.serve(routed, permit, metadata, &origin).await
            }
            Err(failure) => Err(failure),
        };
        let detail = result.as_ref().err().map(Failure::to_string).unwrap_or_default();
        let (status, outcome) = match &result {
            Ok(reply) => (reply.status, Outcome::Ran),
            Err(failure) => (failure.status, failure.outcome),
        };
        let status = status.as_u16();
        record.log_answer(&self.services, AnswerSummary { status, outcome, detail: &detail });
        let id: &str = record.arrival.id.as_ref();
        let id = HeaderValue::try_from(id).expect("a request ID is a valid header value");
        (result, Some(id))
    }

    /// Waits for tables. A router that has just started receives them soon, so a short wait costs
    /// the caller less than a resend.
    async fn await_tables(&self, metadata: &RequestMetadata) {
        let current = self.tables.current();
        if current.routes.is_empty() {
            let wait = metadata.timeout.unwrap_or(STARTUP_TIME).min(STARTUP_TIME) / 2;
            let wait = self.services.stop.limit(wait);
            // If there are still no tables, the later stages refuse the request.
            let _ = time::timeout(wait, self.tables.newer_than(current.revision)).await;
        }
    }

    /// Runs the stages that do not wait.
    fn admit(
        &self,
        arrival: Arrival,
        metadata: &RequestMetadata,
        origin: &Origin,
    ) -> Result<(Routed, Permit), Failure> {
        let tables = self.tables.current();
        if tables.routes.is_empty() {
            return Err(not_ready());
        }
        let request = &arrival.request;
        let host = request.header(header::HOST.as_str()).unwrap_or_default();
        let route = tables.find_route(host_name(host), request.uri.path(), None);
        let Some(route) = route else { return Err(no_route()) };
        let caller = match (tables.route(route).access, &metadata.workspace_key) {
            (Access::Public, _) => Caller::Anonymous,
            (Access::Workspace, None) => return Err(unknown_key()),
            (Access::Workspace, Some(key)) => {
                let workspace = tables.workspace_of(key).ok_or_else(unknown_key)?;
                Caller::Workspace(workspace.name.as_str().into())
            }
        };
        let pool = tables.route(route).pool_for(self.services.ids.nonce() as u32);
        let attempts = origin.prior_attempts();
        let routed = Routed { arrival, caller, tables, route, pool, attempts };
        let permit = self.limits.apply(&routed)?;
        Ok((routed, permit))
    }

    async fn serve(
        &self,
        routed: Routed,
        permit: Permit,
        metadata: RequestMetadata,
        origin: &Origin,
    ) -> Result<Reply, Failure> {
        let timeout = metadata.timeout.unwrap_or(Duration::MAX).min(routed.route().deadline());
        refusals::check_stop(&self.services, timeout)?;
        let deadline = routed.arrival.arrived + timeout;
        let serve_here = self.serve_here(routed.clone(), permit, metadata).boxed_local();
        forwarding::serve_or_forward(&self.services, &routed, origin, deadline, serve_here).await
    }

    async fn serve_here(
        &self,
        routed: Routed,
        permit: Permit,
        metadata: RequestMetadata,
    ) -> Result<Reply, Failure> {
        let exchange = routed.route().exchange;
        let mut routed = routed;
        let is_taken_up = exchange == Exchange::ResumableEvents && metadata.last_event.is_some();
        let version = match is_taken_up {
            true => {
                let begun_by = metadata.resumed_request.as_deref();
                let found = restrict_to_origin(&self.services, &mut routed, begun_by);
                let found = before_stop(&self.services.stop, found).await;
                Some(found.unwrap_or_else(|| Err(refusals::deadline_passed(Outcome::NotRun)))?)
            }
            false => None,
        };
        let services = Rc::clone(&self.services);
        let dialect = Rc::clone(&self.dialect);
        let relayed =
            RelayedCall::dispatch(services, dialect, routed, permit, metadata, version).await?;
        match exchange {
            Exchange::Native | Exchange::Whole => buffered::serve(relayed).await,
            Exchange::Events | Exchange::ResumableEvents => events::serve(relayed).await,
        }
    }
}

fn not_ready() -> Failure {
    let message = "the router has no tables yet; use another one";
    Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, Code::NoRoute, message)
        .retry_after(STARTUP_TIME)
}

fn no_route() -> Failure {
    let message = "no route fits the host and path; use one of the tables";
    Failure::not_run(StatusCode::NOT_FOUND, Code::NoRoute, message)
}

fn unknown_key() -> Failure {
    let message = "the key is missing or unknown; use one of a workspace";
    Failure::not_run(StatusCode::UNAUTHORIZED, Code::UnknownToken, message)
}
