//! What all services have in common: faults, counts, health and the refusal of everything.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture, pin_mut, select_biased};
use httpio::{
    Method, StatusCode,
    server::{Handler, Reply, Request},
};
use serde_json::json;

use crate::{faults::FaultInjector, reply, stats::Stats};

/// One stand-in behind the frame that all share.
pub(crate) trait Service {
    /// Answers a request that no fault of the frame caught.
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply>;

    /// The counts so far.
    fn stats(&self) -> Stats;

    /// Takes over settings that a change of faults brought.
    fn faults_changed(&self) {}
}

/// Passes requests on to the service unless a fault catches them.
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
    /// Answers the paths that work whatever the faults are.
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
