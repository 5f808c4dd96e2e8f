//! The operators' tables of routes and pools: types, checks, differences.
//!
//! Two INI texts joined by pool names are the only thing that operators change. This crate turns
//! them into checked [`Tables`], and into [`Rows`] whose differences travel between processes.
//! It does no I/O and knows neither revisions' history nor who proposed them.

mod check;
mod delta;
mod names;
mod pool;
mod route;
mod rows;
mod text;
mod workspace;

use serde::{Deserialize, Serialize};

pub use check::check;
pub use delta::{Delta, DeltaError, RowChange, TableKind};
pub use names::{PoolIdx, Revision, RouteIdx};
pub use pool::{Discovery, Fencing, Pool, PoolKind, ServerAddr};
pub use route::{Access, Exchange, Idempotency, PoolShare, Priority, Route, Targets};
pub use rows::{Row, Rows};
pub use text::TablesText;
pub use workspace::{CallerLimits, Workspace};

/// Both tables at one revision, checked and joined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tables {
    /// The revision that the control VMs gave to this state of the tables.
    pub revision: Revision,
    /// The routes, sorted by class name.
    pub routes: Vec<Route>,
    /// The pools, sorted by name.
    pub pools: Vec<Pool>,
    /// The workspaces; empty if they are known from elsewhere.
    pub workspaces: Vec<Workspace>,
    /// What a caller may send, where the tables say it.
    pub caller_limits: Option<CallerLimits>,
}

/// A notation in which operators write both tables as one document.
pub trait TablesParser {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// What is wrong with it, for the operator.
    fn parse(&self, revision: Revision, text: &[u8]) -> Result<Tables, String>;
}

impl Tables {
    /// The route at `idx`.
    ///
    /// # Panics
    ///
    /// If `idx` comes from tables of another revision.
    pub fn route(&self, idx: RouteIdx) -> &Route {
        &self.routes[idx.0 as usize]
    }

    /// The pool at `idx`.
    ///
    /// # Panics
    ///
    /// If `idx` comes from tables of another revision.
    pub fn pool(&self, idx: PoolIdx) -> &Pool {
        &self.pools[idx.0 as usize]
    }

    /// The route for a request: the class that the caller names if its path fits, otherwise the
    /// least urgent route with the longest path that fits, so that nobody gains by leaving the
    /// class out. A route that names the host goes before those of any host.
    pub fn find_route(&self, host: &str, path: &str, class: Option<&str>) -> Option<RouteIdx> {
        let fitting = || self.indexed_routes().filter(|(_, it)| it.matches(host, path));
        if let Some(class) = class {
            return fitting().find(|(_, it)| it.class == class).map(|(idx, _)| idx);
        }
        let rank = |it: &Route| (!it.host.is_empty(), it.path.len(), it.priority);
        fitting().max_by_key(|(_, it)| rank(it)).map(|(idx, _)| idx)
    }

    /// The workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|it| it.keys.iter().any(|held| held == key))
    }

    fn indexed_routes(&self) -> impl Iterator<Item = (RouteIdx, &Route)> {
        self.routes.iter().enumerate().map(|(idx, route)| (RouteIdx(idx as u32), route))
    }
}
