//! The operators' tables of routes and pools: types, validation, differences.
//!
//! Operators configure the system with two INI texts, which are joined by the names of the pools.
//! This crate turns them into validated [`Tables`], and into [`Rows`], whose differences are sent
//! between processes. It does no I/O and keeps no history of revisions.

mod check;
mod delta;
mod ids;
mod pool;
mod route;
mod rows;
mod text;
mod workspace;

use serde::{Deserialize, Serialize};

pub use check::check;
pub use delta::{Delta, DeltaError, RowChange, TableKind};
pub use ids::{PoolIdx, Revision, RouteIdx};
pub use pool::{Discovery, Fencing, Pool, PoolKind, Scaling, ServerAddr};
pub use route::{Access, Exchange, Idempotency, PoolShare, Priority, Route, Targets};
pub use rows::{Row, Rows};
pub use text::TablesText;
pub use workspace::{CallerLimits, Workspace};

/// Both tables at one revision, validated and joined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tables {
    /// The revision that the control VMs assigned to this version of the tables.
    pub revision: Revision,
    /// The routes, sorted by class name.
    pub routes: Vec<Route>,
    /// The pools, sorted by name.
    pub pools: Vec<Pool>,
    /// The workspaces; empty if they are configured elsewhere.
    pub workspaces: Vec<Workspace>,
    /// The limits for callers, if the tables set them.
    pub caller_limits: Option<CallerLimits>,
}

/// Parses a document in which operators write both tables.
pub trait TablesParser {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns a description of the faults for the operator.
    fn parse(&self, revision: Revision, text: &[u8]) -> Result<Tables, String>;
}

impl Tables {
    /// The route at `idx`.
    ///
    /// # Panics
    ///
    /// Panics if `idx` comes from tables of another revision.
    pub fn route(&self, idx: RouteIdx) -> &Route {
        &self.routes[idx.0 as usize]
    }

    /// The pool at `idx`.
    ///
    /// # Panics
    ///
    /// Panics if `idx` comes from tables of another revision.
    pub fn pool(&self, idx: PoolIdx) -> &Pool {
        &self.pools[idx.0 as usize]
    }

    /// Finds the route for a request.
    ///
    /// If the caller names a class, that route must match. Otherwise routes for this host come
    /// before routes for any host, then the longest matching path wins, then the least urgent
    /// priority, so that leaving the class out gains no urgency.
    pub fn find_route(&self, host: &str, path: &str, class: Option<&str>) -> Option<RouteIdx> {
        let matching = || self.indexed_routes().filter(|(_, it)| it.matches(host, path));
        if let Some(class) = class {
            return matching().find(|(_, it)| it.class == class).map(|(idx, _)| idx);
        }
        let rank = |it: &Route| (!it.host.is_empty(), it.path.len(), it.priority);
        matching().max_by_key(|(_, it)| rank(it)).map(|(idx, _)| idx)
    }

    /// The workspace with this API key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|it| it.keys.iter().any(|candidate| candidate == key))
    }

    fn indexed_routes(&self) -> impl Iterator<Item = (RouteIdx, &Route)> {
        self.routes.iter().enumerate().map(|(idx, route)| (RouteIdx(idx as u32), route))
    }
}
