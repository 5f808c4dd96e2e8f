//! Health, readiness and metrics on a listener of their own.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method, StatusCode,
    server::{Handler, Reply, Request},
};
use prometheus::Registry;

const TEXT: &str = "text/plain; version=0.0.4";

/// What a daemon tells about itself.
pub trait Health {
    /// Whether it wants work; the text says why or why not.
    ///
    /// # Errors
    ///
    /// Why no work should be sent.
    fn ready(&self) -> Result<String, String>;

    /// Brings metrics up to date that are not counted as things happen.
    fn refresh_metrics(&self) {}
}

/// Answers `/healthz`, `/readyz` and `/metrics`.
pub struct Admin {
    registry: Registry,
    health: Rc<dyn Health>,
}

impl Admin {
    /// Serves the metrics of `registry`.
    pub fn new(registry: Registry, health: Rc<dyn Health>) -> Admin {
        Admin { registry, health }
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.method != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "use GET".to_owned());
        }
        match request.uri.path() {
            "/healthz" => text(StatusCode::OK, "ok".to_owned()),
            "/readyz" => self.readiness(),
            "/metrics" => {
                self.health.refresh_metrics();
                text(StatusCode::OK, telemetry::render_metrics(&self.registry))
            }
            _ => text(StatusCode::NOT_FOUND, "use /healthz, /readyz or /metrics".to_owned()),
        }
    }

    fn readiness(&self) -> Reply {
        match self.health.ready() {
            Ok(body) => text(StatusCode::OK, body),
            Err(body) => text(StatusCode::SERVICE_UNAVAILABLE, body),
        }
    }
}

impl Handler for Admin {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let reply = self.answer(&request);
        async { reply }.boxed_local()
    }
}

fn text(status: StatusCode, body: String) -> Reply {
    Reply::typed(status, TEXT, format!("{body}\n").into())
}
