//! The number of open connections of one or more servers.

use std::{cell::Cell, rc::Rc};

/// Counts open connections; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    /// The number of connections that are open now.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.get()
    }

    pub(super) fn opened(&self) {
        self.0.set(self.0.get() + 1);
    }

    pub(super) fn closed(&self) {
        self.0.set(self.0.get() - 1);
    }
}
