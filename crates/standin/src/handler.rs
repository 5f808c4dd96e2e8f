//! The HTTP handler that all services share: fault injection, statistics and health checks.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture, pin_mut, select_biased};
use httpio::{
    Method, StatusCode,
    server::{Handler, Reply, Request},
};
use serde_json::json;

use crate::{faults::FaultInjector, reply, stats::Stats};

/// A service behind the shared handler.
pub(crate) trait Service {
    /// Answers a request that the shared handler has not answered itself.
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply>;

    /// The statistics so far.
    fn stats(&self) -> Stats;

    /// Applies a change of the active faults.
    fn faults_changed(&self) {}
}

/// Passes requests to the service unless a fault stalls or refuses them.
pub(crate) struct FaultHandler {
    pub(crate) service: Rc<dyn Service>,
    pub(crate) injector: Rc<FaultInjector>,
}

impl Handler for FaultHandler {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        if let Some(reply) = self.admin(&request) {
            return futures::future::ready(reply).boxed_local();
        }
        let service = Rc::clone(&self.service);
        let injector = Rc::clone(&self.injector);
        respond(service, injector, request).boxed_local()
    }
}

impl FaultHandler {
    /// Answers the administrative paths, which stalls and refusals don't affect.
    fn admin(&self, request: &Request) -> Option<Reply> {
        let reply = match (&request.method, request.uri.path()) {
            (&Method::GET, "/stats") => reply::ok(&self.service.stats()),
            (&Method::GET, "/faults") => reply::ok(&*self.injector.faults()),
            (&Method::POST, "/faults") => match reply::parse_body(request) {
                Ok(faults) => self.faults_reply(self.injector.set(faults)),
                Err(error) => error.into(),
            },
            (&Method::DELETE, "/faults") => {
                self.faults_reply(self.injector.set(crate::Faults::default()))
            }
            (&Method::POST, "/faults/silence") => {
                self.faults_reply(self.injector.silence(request.peer))
            }
            _ => return None,
        };
        Some(reply)
    }

    fn faults_reply(&self, result: Result<(), &'static str>) -> Reply {
        match result {
            Ok(()) => {
                self.service.faults_changed();
                reply::ok(&*self.injector.faults())
            }
            Err(remedy) => reply::error(StatusCode::CONFLICT, "fault-not-available", remedy),
        }
    }
}

async fn respond(service: Rc<dyn Service>, injector: Rc<FaultInjector>, request: Request) -> Reply {
    let faults = injector.faults().clone();
    if faults.stall {
        injector.wait_for_disconnect(&request.disconnected).await;
        return Reply::abort();
    }
    if request.uri.path() == "/healthz" {
        return reply::ok(&json!({ "status": "ok" }));
    }
    let request_id = request.header(reply::REQUEST_ID).map(str::to_owned);
    let reply = if faults.refuse {
        reply::not_started(StatusCode::SERVICE_UNAVAILABLE, "refused", "send it elsewhere")
    } else {
        unless_crashed(&injector, service.handle(request)).await
    };
    match request_id {
        Some(id) if !reply.headers.contains_key(reply::REQUEST_ID) => {
            reply::with_request_id(reply, &id)
        }
        _ => reply,
    }
}

async fn unless_crashed(injector: &FaultInjector, work: LocalBoxFuture<'static, Reply>) -> Reply {
    let crashed = injector.crashed.raised().fuse();
    let work = work.fuse();
    pin_mut!(crashed, work);
    select_biased! {
        () = crashed => Reply::abort(),
        reply = work => reply,
    }
}
