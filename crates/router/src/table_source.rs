//! Where the router's tables come from: the border that the control client implements.

use std::{path::Path, rc::Rc};

use anyhow::Context;
use futures::{FutureExt, future::LocalBoxFuture};
use tables::{Revision, Tables, TablesText};

/// Gives the tables in force, whose revision only rises.
pub trait TableSource {
    /// The tables in force now.
    fn current(&self) -> Rc<Tables>;

    /// Resolves once tables newer than `held` are in force.
    fn newer_than(&self, held: Revision) -> LocalBoxFuture<'static, ()>;
}

/// Tables that stay as they are, for a router without control VMs.
#[derive(Debug, Clone)]
pub struct FixedTables(Rc<Tables>);

impl FixedTables {
    /// Holds `tables`.
    #[must_use]
    pub fn new(tables: Tables) -> FixedTables {
        FixedTables(Rc::new(tables))
    }

    /// Reads and checks the tables of two files.
    ///
    /// # Errors
    /// Files that cannot be read, and every fault in them.
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
