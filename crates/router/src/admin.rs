//! Health, readiness and metrics on a listener of their own.

use std::{cell::Cell, rc::Rc};

use futures::{FutureExt, future::LocalBoxFuture};
use http::StatusCode;
use httpio::server::{Handler, Reply, Request};
use prometheus::Registry;

const TEXT: &str = "text/plain; version=0.0.4";

/// Whether the router wants new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It has no tables yet.
    Starting,
    /// It serves.
    Ready,
    /// It is about to stop; the balancer is to look elsewhere.
    Draining,
}

/// Answers on the admin listener.
#[derive(Clone)]
pub struct Admin {
    /// The present readiness, changed by the daemon.
    pub readiness: Rc<Cell<Readiness>>,
    /// The metrics.
    pub registry: Registry,
}

impl Handler for Admin {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let reply = match request.uri.path() {
            "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => self.ready(),
            "/metrics" => text(StatusCode::OK, telemetry::render_metrics(&self.registry)),
            _ => text(StatusCode::NOT_FOUND, "ask for /healthz, /readyz or /metrics\n".to_owned()),
        };
        async move { reply }.boxed_local()
    }
}

impl Admin {
    fn ready(&self) -> Reply {
        match self.readiness.get() {
            Readiness::Ready => text(StatusCode::OK, "ready\n".to_owned()),
            Readiness::Starting => {
                text(StatusCode::SERVICE_UNAVAILABLE, "starting: no tables yet\n".to_owned())
            }
            Readiness::Draining => {
                text(StatusCode::SERVICE_UNAVAILABLE, "draining: use another router\n".to_owned())
            }
        }
    }
}

fn text(status: StatusCode, body: String) -> Reply {
    Reply::typed(status, TEXT, body.into())
}
