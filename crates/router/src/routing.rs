//! Third stage: finds the route of the request, which determines its class, its pool and its
//! deadline.

use std::{cell::Cell, rc::Rc, time::Instant};

use http::{StatusCode, header};
use policy::Repeat;
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
    /// Its caller.
    pub caller: Caller,
    /// The snapshot of the tables by which the request is served, even if they change meanwhile.
    pub tables: Rc<Tables>,
    /// Its route in them.
    pub route: RouteIdx,
    /// The pool that serves it.
    pub pool: PoolIdx,
    /// The attempts that may have run so far, at this and at other routers.
    pub attempts: Rc<Cell<u32>>,
}

impl Routed {
    /// The route of the request.
    #[must_use]
    pub fn route(&self) -> &Route {
        self.tables.route(self.route)
    }

    /// The pool that serves the request.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        self.tables.pool(self.pool)
    }

    /// The time by which the request must be answered.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.arrival.arrived + self.route().deadline()
    }

    /// Whether the request may run at most once.
    #[must_use]
    pub fn is_order(&self) -> bool {
        self.route().idempotency == Idempotency::AtMostOnce
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub fn repeat(&self) -> Repeat {
        match self.is_order() {
            true => Repeat::AtMostOnce,
            false => Repeat::Idempotent,
        }
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
/// If no route matches, or the caller may not use it.
pub fn resolve(identified: Identified, tables: Rc<Tables>) -> Result<Routed, Failure> {
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
    Ok(Routed { arrival, caller, tables, route, pool, attempts: Rc::default() })
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
            // The idempotency keys of all anonymous callers would share one scope, and one caller
            // could receive the stored answer of another.
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
