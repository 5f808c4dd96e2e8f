//! Whether the router wants callers, as the balancer is told.

use std::{cell::Cell, rc::Rc};

use daemon::Health;

/// Whether the router wants callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It has no tables yet.
    Starting,
    /// It serves.
    Ready,
    /// It is about to stop; the balancer is to look elsewhere.
    Draining,
}

/// Tells the readiness that the daemon sets.
#[derive(Debug, Clone)]
pub struct RouterHealth {
    /// The present readiness.
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
