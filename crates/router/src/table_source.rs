//! The source of the router's tables; [`crate::control`] implements it on the control client.

use std::{path::Path, rc::Rc};

use anyhow::Context;
use futures::{FutureExt, future::LocalBoxFuture};
use tables::{Revision, Tables, TablesText};

/// A source of the tables in force, whose revision never decreases.
pub trait TableSource {
    /// The tables in force now.
    fn current(&self) -> Rc<Tables>;

    /// Resolves once tables newer than `held` are in force.
    fn newer_than(&self, held: Revision) -> LocalBoxFuture<'static, ()>;
}

/// Tables that never change, for a router without control VMs.
#[derive(Debug, Clone)]
pub struct FixedTables(Rc<Tables>);

impl FixedTables {
    /// A source that always returns `tables`.
    #[must_use]
    pub fn new(tables: Tables) -> FixedTables {
        FixedTables(Rc::new(tables))
    }

    /// Reads and checks the tables of two files.
    ///
    /// # Errors
    /// If a file cannot be read; otherwise, all faults in them at once.
    pub fn read(routes: &Path, pools: &Path) -> anyhow::Result<FixedTables> {
        let text = TablesText { routes: read(routes)?, pools: read(pools)? };
        Ok(FixedTables::new(tables::check(Revision(1), &text)?))
    }
}

impl TableSource for FixedTables {
    fn current(&self) -> Rc<Tables> {
        Rc::clone(&self.0)
    }

    fn newer_than(&self, _held: Revision) -> LocalBoxFuture<'static, ()> {
        futures::future::pending().boxed_local()
    }
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path)
        .with_context(|| format!("read {}: check the path in the settings", path.display()))
}
