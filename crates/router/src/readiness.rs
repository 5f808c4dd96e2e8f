//! The readiness that the router reports to the load balancer.

use std::{cell::Cell, rc::Rc};

use daemon::Health;

/// Whether the load balancer should send callers to the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It has no tables yet.
    Starting,
    /// It serves callers.
    Ready,
    /// It is about to stop; the load balancer should use other routers.
    Draining,
}

/// Reports the readiness that the daemon sets.
#[derive(Debug, Clone)]
pub struct RouterHealth {
    /// The current readiness.
    pub readiness: Rc<Cell<Readiness>>,
}

impl Health for RouterHealth {
    fn ready(&self) -> Result<String, String> {
        match self.readiness.get() {
            Readiness::Ready => Ok("ready".to_owned()),
            Readiness::Starting => Err("starting: no tables yet".to_owned()),
            Readiness::Draining => Err("draining: use another router".to_owned()),
        }
    }
}
