//! Joins the router's borders to the control VMs: tables and the order ledger.

mod ledger;

use std::rc::Rc;

use control_client::TablesWatch;
use futures::future::LocalBoxFuture;
use tables::{Revision, Tables};

pub use ledger::ControlLedger;

use crate::table_source::TableSource;

/// Tables that follow the control VMs.
#[derive(Clone)]
pub struct ControlTables(pub TablesWatch);

impl TableSource for ControlTables {
    fn current(&self) -> Rc<Tables> {
        self.0.current()
    }

    fn newer_than(&self, held: Revision) -> LocalBoxFuture<'static, ()> {
        self.0.newer_than(held)
    }
}
