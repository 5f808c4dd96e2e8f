//! What all services have in common: faults, counts, health and the refusal of everything.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture, pin_mut, select_biased};
use httpio::{
    Method, StatusCode,
    server::{Handler, Reply, Request},
};
use serde_json::json;

use crate::{faults::FaultBoard, reply, stats::Stats};

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
pub(crate) struct Front {
    pub(crate) service: Rc<dyn Service>,
    pub(crate) board: Rc<FaultBoard>,
}

impl Handler for Front {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        if let Some(reply) = self.admin(&request) {
            return futures::future::ready(reply).boxed_local();
        }
        let service = Rc::clone(&self.service);
        let board = Rc::clone(&self.board);
        answer(service, board, request).boxed_local()
    }
}

impl Front {
    /// Answers the paths that work whatever the faults are.
    fn admin(&self, request: &Request) -> Option<Reply> {
        let reply = match (&request.method, request.uri.path()) {
            (&Method::GET, "/stats") => reply::ok(&self.service.stats()),
            (&Method::GET, "/faults") => reply::ok(&*self.board.faults()),
            (&Method::POST, "/faults") => match reply::body(request) {
                Ok(faults) => self.changed(self.board.set(faults)),
                Err(error) => error.into(),
            },
            (&Method::DELETE, "/faults") => self.changed(self.board.set(crate::Faults::default())),
            (&Method::POST, "/faults/silence") => self.changed(self.board.silence(request.peer)),
            _ => return None,
        };
        Some(reply)
    }

    fn changed(&self, result: Result<(), &'static str>) -> Reply {
        match result {
            Ok(()) => {
                self.service.faults_changed();
                reply::ok(&*self.board.faults())
            }
            Err(remedy) => reply::error(StatusCode::CONFLICT, "fault-not-available", remedy),
        }
    }
}

async fn answer(service: Rc<dyn Service>, board: Rc<FaultBoard>, request: Request) -> Reply {
    let faults = board.faults().clone();
    if faults.stall {
        board.hang(&request.disconnected).await;
        return Reply::abort();
    }
    if request.uri.path() == "/healthz" {
        return reply::ok(&json!({ "status": "ok" }));
    }
    let request_id = request.header(reply::REQUEST_ID).map(str::to_owned);
    let reply = if faults.refuse {
        reply::not_started(StatusCode::SERVICE_UNAVAILABLE, "refused", "send it elsewhere")
    } else {
        unless_crashed(&board, service.handle(request)).await
    };
    match request_id {
        Some(id) if !reply.headers.contains_key(reply::REQUEST_ID) => {
            reply::with_request_id(reply, &id)
        }
        _ => reply,
    }
}

async fn unless_crashed(board: &FaultBoard, work: LocalBoxFuture<'static, Reply>) -> Reply {
    let crashed = board.crashed.raised().fuse();
    let work = work.fuse();
    pin_mut!(crashed, work);
    select_biased! {
        () = crashed => Reply::abort(),
        reply = work => reply,
    }
}
