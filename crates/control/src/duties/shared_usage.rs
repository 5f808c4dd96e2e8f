//! The counts of all routers, which the control VMs tell one another.
//!
//! Every control VM keeps the counts of all routers, so that the next holder of the duty has them.

use std::cell::RefCell;

use ::duties::{UsageLedger, UsageRows, WindowId};

use crate::{envelope::Envelope, replica::Replica};

/// The counts that this control VM knows.
#[derive(Debug, Default)]
pub(crate) struct SharedUsage {
    all: RefCell<UsageLedger>,
    /// The counts of the routers that exchange with this control VM.
    own: RefCell<UsageLedger>,
    /// What other control VMs have not been told yet.
    unsent: RefCell<Vec<UsageRows>>,
}

impl SharedUsage {
    /// Merges the counts of a router of this control VM.
    pub(crate) fn merge_from_router(&self, rows: UsageRows) {
        self.own.borrow_mut().merge(&rows);
        self.all.borrow_mut().merge(&rows);
        self.unsent.borrow_mut().push(rows);
    }

    /// Merges the counts that another control VM has told.
    pub(crate) fn merge_from_hub(&self, rows: &[UsageRows]) {
        let mut all = self.all.borrow_mut();
        rows.iter().for_each(|it| all.merge(it));
    }

    /// Tells the other control VMs what is new.
    pub(crate) fn send_new(&self, replica: &Replica) {
        let rows = self.unsent.take();
        if !rows.is_empty() {
            replica.broadcast(&Envelope::Usage { rows });
        }
    }

    /// Tells the other control VMs all counts of a window again, in case a message was lost.
    pub(crate) fn repeat(&self, replica: &Replica, window: WindowId) {
        let rows = self.own.borrow().rows(window);
        if !rows.is_empty() {
            replica.broadcast(&Envelope::Usage { rows });
        }
    }

    /// The counts of all routers.
    pub(crate) fn all(&self) -> &RefCell<UsageLedger> {
        &self.all
    }

    /// Forgets the windows before `window`.
    pub(crate) fn forget_before(&self, window: WindowId) {
        self.all.borrow_mut().forget_before(window);
        self.own.borrow_mut().forget_before(window);
    }
}
