//! Third stage: the class of the request and what it is owed.

use std::{rc::Rc, time::Instant};

use http::{StatusCode, header};
use tables::{Idempotency, Pool, PoolIdx, PoolKind, Priority, Route, RouteIdx, Tables};

use crate::{
    arrival::Arrival,
    identity::{Caller, Identified},
    outcome::{Code, Failure},
};

/// The header in which a caller names the class.
pub const CLASS_HEADER: &str = "x-request-class";

/// A request whose route is known.
#[derive(Debug, Clone)]
pub struct Routed {
    /// The request.
    pub arrival: Arrival,
    /// Who asks.
    pub caller: Caller,
    /// The tables that the request is served by, whatever changes meanwhile.
    pub tables: Rc<Tables>,
    /// Its route in them.
    pub route: RouteIdx,
    /// The pool that serves it.
    pub pool: PoolIdx,
}

impl Routed {
    /// The row of the table of routes.
    #[must_use]
    pub fn route(&self) -> &Route {
        self.tables.route(self.route)
    }

    /// The row of the table of pools.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        self.tables.pool(self.pool)
    }

    /// The time after which the caller no longer wants the answer.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.arrival.arrived + self.route().deadline()
    }

    /// Whether the request may run once only.
    #[must_use]
    pub fn is_order(&self) -> bool {
        self.route().idempotency == Idempotency::AtMostOnce
    }

    /// Whether a model engine serves the request.
    #[must_use]
    pub fn is_for_engine(&self) -> bool {
        self.pool().kind == PoolKind::Engine
    }
}

/// Finds the route of a request.
///
/// # Errors
/// When no route fits, or the caller may not use it.
pub fn apply(identified: Identified, tables: Rc<Tables>) -> Result<Routed, Failure> {
    let Identified { arrival, caller } = identified;
    let class = arrival.request.header(CLASS_HEADER);
    let host = arrival.request.header(header::HOST.as_str()).unwrap_or_default();
    let Some(route) = tables.find_route(host_name(host), arrival.request.uri.path(), class) else {
        return Err(Failure::not_run(
            StatusCode::NOT_FOUND,
            Code::NoRoute,
            "no route fits the path and x-request-class; use one of the table of routes",
        ));
    };
    check_caller(&caller, tables.route(route))?;
    let pool = tables.route(route).pool;
    Ok(Routed { arrival, caller, tables, route, pool })
}

/// The host of a host header, without its port.
pub(crate) fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}

fn check_caller(caller: &Caller, route: &Route) -> Result<(), Failure> {
    let refuse =
        |status, message: &str| Err(Failure::not_run(status, Code::ClassNotAllowed, message));
    match caller {
        Caller::Anonymous if route.idempotency == Idempotency::AtMostOnce => {
            // Idempotency keys of unknown callers would share one scope, and one caller could be
            // given the stored answer of another.
            refuse(StatusCode::UNAUTHORIZED, "orders need the bearer token of a workspace")
        }
        Caller::Anonymous if route.priority < Priority::LOWEST => refuse(
            StatusCode::UNAUTHORIZED,
            "the class needs the bearer token of a workspace; without one use the lowest class",
        ),
        caller if !route.admits(caller.name()) => refuse(
            StatusCode::FORBIDDEN,
            "the workspace may not use this class; name another in x-request-class",
        ),
        _ => Ok(()),
    }
}
