//! Implements the router's tables and order ledger through the control VMs.

mod ledger;

use std::{cell::RefCell, rc::Rc};

use control_client::TablesWatch;
use control_state::Document;
use daemon::Watch;
use futures::{FutureExt, StreamExt, channel::mpsc::UnboundedReceiver, future::LocalBoxFuture};
use tables::{Revision, Tables, TablesParser};

pub use ledger::ControlLedger;

use crate::table_source::TableSource;

/// The tables that the control VMs distribute.
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

/// Tables read from the latest version of the operator's document.
#[derive(Clone, Default)]
pub struct DocumentTables {
    tables: Rc<RefCell<Rc<Tables>>>,
    changed: Rc<Watch>,
}

impl DocumentTables {
    /// Parses each document by `parser`; the tables are empty until the first one arrives.
    #[must_use]
    pub fn follow(
        mut documents: UnboundedReceiver<Document>,
        parser: Rc<dyn TablesParser>,
    ) -> DocumentTables {
        let source = DocumentTables::default();
        let tables = source.clone();
        monoio::spawn(async move {
            while let Some(document) = documents.next().await {
                tables.apply(&*parser, &document);
            }
        });
        source
    }

    fn apply(&self, parser: &dyn TablesParser, document: &Document) {
        let revision = Revision(document.version);
        match parser.parse(revision, &document.text) {
            Ok(tables) => {
                self.tables.replace(Rc::new(tables));
                self.changed.notify();
            }
            // Not expected: the control VMs accept only documents that the same code can parse.
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
