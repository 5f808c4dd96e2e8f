//! When the peer of a connection last sent or took something.

use std::{cell::Cell, rc::Rc, time::Duration};

use monoio::time::Instant;

/// The time of a connection's last progress. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Progress(Rc<Cell<Instant>>);

impl Default for Progress {
    /// The connection has just been opened.
    fn default() -> Self {
        Progress(Rc::new(Cell::new(Instant::now())))
    }
}

impl Progress {
    pub(crate) fn record(&self) {
        self.0.set(Instant::now());
    }

    pub(crate) fn age(&self) -> Duration {
        self.0.get().elapsed()
    }
}
