//! What the replicated state holds for the duties, as of the last entry applied here.

use duties::{UsageReport, WindowId};

use super::Replica;

impl Replica {
    /// The VM that acquired the newest fencing token; empty before the first one.
    pub(crate) fn fencing_holder(&self) -> String {
        self.core.borrow().machine.borrow().fencing_holder()
    }

    /// The newest fencing token; 0 before the first one.
    pub(crate) fn fencing_token(&self) -> u64 {
        self.core.borrow().machine.borrow().fencing_token()
    }

    /// Whether the usage of a window can no longer be settled.
    pub(crate) fn is_usage_settled(&self, window: WindowId) -> bool {
        self.core.borrow().machine.borrow().is_usage_settled(window)
    }

    /// The settled usage that has not been reported.
    pub(crate) fn open_usage(&self) -> Vec<UsageReport> {
        self.core.borrow().machine.borrow().open_usage()
    }

    /// The settled usage that is kept, from the newest window to the oldest, and whether each window needs no
    /// further report.
    pub(crate) fn settled_usage(&self) -> Vec<(UsageReport, bool)> {
        self.core.borrow().machine.borrow().settled_usage()
    }
}
