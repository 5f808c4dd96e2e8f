//! Serves health, readiness and metrics on a separate listener.

use std::rc::Rc;

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Method, StatusCode,
    budget::{BudgetSize, ByteBudget},
    server::{ConnectionBound, Handler, Reply, Request, ServerSettings},
};
use prometheus::Registry;

const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The memory for the bodies of all requests to an admin listener, most of which have none.
const BODIES: BudgetSize = BudgetSize { bytes_max: 4 << 20, small_bytes: 2 << 20 };

/// The connections to an admin listener: health checks, metrics and the other routers of a failure domain.
const CONNECTIONS_MAX: usize = 64;

/// The settings of an admin listener.
#[must_use]
pub fn admin_server() -> ServerSettings {
    ServerSettings {
        connections: ConnectionBound(CONNECTIONS_MAX),
        memory: ByteBudget::new(BODIES),
        ..ServerSettings::default()
    }
}

/// Reports the state of a daemon.
pub trait Health {
    /// Whether the daemon accepts requests. The text becomes the body of the readiness response.
    ///
    /// # Errors
    ///
    /// The reason why the daemon is not ready.
    fn ready(&self) -> Result<String, String>;

    /// Updates metrics that are computed on demand. Called before the metrics are rendered.
    fn refresh_metrics(&self) {}
}

/// Handles requests for `/healthz`, `/readyz` and `/metrics`.
pub struct Admin {
    registry: Registry,
    health: Rc<dyn Health>,
}

impl Admin {
    /// Creates a handler that exports the metrics of `registry`.
    pub fn new(registry: Registry, health: Rc<dyn Health>) -> Admin {
        Admin { registry, health }
    }

    fn respond(&self, request: &Request) -> Reply {
        if request.method != Method::GET {
            return text_reply(StatusCode::METHOD_NOT_ALLOWED, "use GET".to_owned());
        }
        match request.uri.path() {
            "/healthz" => text_reply(StatusCode::OK, "ok".to_owned()),
            "/readyz" => self.readiness(),
            "/metrics" => {
                self.health.refresh_metrics();
                text_reply(StatusCode::OK, telemetry::render_metrics(&self.registry))
            }
            _ => text_reply(StatusCode::NOT_FOUND, "use /healthz, /readyz or /metrics".to_owned()),
        }
    }

    fn readiness(&self) -> Reply {
        match self.health.ready() {
            Ok(body) => text_reply(StatusCode::OK, body),
            Err(body) => text_reply(StatusCode::SERVICE_UNAVAILABLE, body),
        }
    }
}

impl Handler for Admin {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let reply = self.respond(&request);
        async { reply }.boxed_local()
    }
}

fn text_reply(status: StatusCode, body: String) -> Reply {
    Reply::typed(status, CONTENT_TYPE, format!("{body}\n").into())
}
