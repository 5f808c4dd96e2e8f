//! Joins the router's borders to the control VMs: tables and the order ledger.

mod ledger;

use std::{cell::RefCell, rc::Rc};

use control_client::TablesWatch;
use control_state::Document;
use daemon::Watch;
use futures::{FutureExt, StreamExt, channel::mpsc::UnboundedReceiver, future::LocalBoxFuture};
use tables::{Revision, Tables, TablesParser};

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

/// Tables that follow the operator's document.
#[derive(Clone, Default)]
pub struct DocumentTables {
    tables: Rc<RefCell<Rc<Tables>>>,
    changed: Rc<Watch>,
}

impl DocumentTables {
    /// Reads each document by `notation`; the tables are empty until the first one comes.
    #[must_use]
    pub fn follow(
        mut documents: UnboundedReceiver<Document>,
        notation: Rc<dyn TablesParser>,
    ) -> DocumentTables {
        let followed = DocumentTables::default();
        let tables = followed.clone();
        monoio::spawn(async move {
            while let Some(document) = documents.next().await {
                tables.put_in_force(&*notation, &document);
            }
        });
        followed
    }

    fn put_in_force(&self, notation: &dyn TablesParser, document: &Document) {
        let revision = Revision(document.version);
        match notation.parse(revision, &document.text) {
            Ok(tables) => {
                self.tables.replace(Rc::new(tables));
                self.changed.notify();
            }
            // The control VMs accept only what can be read, by the same code.
            Err(reason) => tracing::error!(event = "document_refused", %revision, reason),
        }
    }
}

impl TableSource for DocumentTables {
    fn current(&self) -> Rc<Tables> {
        Rc::clone(&self.tables.borrow())
    }

    fn newer_than(&self, held: Revision) -> LocalBoxFuture<'static, ()> {
        let tables = self.clone();
        async move {
            while tables.current().revision <= held {
                tables.changed.changed().await;
            }
        }
        .boxed_local()
    }
}
