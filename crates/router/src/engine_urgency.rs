//! The urgency that model engines are told of requests, by the priorities in the tables.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use policy::{RequestPriority, UrgencyScale};
use tables::{PoolKind, Tables};

use crate::routing::Routed;

/// The urgency of requests. The scale is built once for each version of the tables.
#[derive(Debug, Default)]
pub struct EngineUrgency {
    latest: RefCell<Option<Ranks>>,
}

/// The scale of one version of the tables.
#[derive(Debug)]
struct Ranks {
    tables: Rc<Tables>,
    scale: UrgencyScale,
    /// The priorities of the workspaces that have one.
    workspaces: HashMap<String, u8>,
}

impl EngineUrgency {
    /// The rank of a request at a model engine, 0 for the most urgent; `None` if another service
    /// runs it.
    pub(crate) fn rank(&self, routed: &Routed) -> Option<usize> {
        if !routed.is_for_engine() {
            return None;
        }
        let mut latest = self.latest.borrow_mut();
        let ranks = match latest.take() {
            Some(ranks) if Rc::ptr_eq(&ranks.tables, &routed.tables) => ranks,
            _ => Ranks::new(&routed.tables),
        };
        let workspace = routed.caller.workspace().and_then(|it| ranks.workspaces.get(it).copied());
        let route = routed.route().priority.0;
        Some(latest.insert(ranks).scale.urgency(RequestPriority { workspace, route }))
    }
}

impl Ranks {
    fn new(tables: &Rc<Tables>) -> Ranks {
        let is_engine = |it| tables.pool(it).kind == PoolKind::Engine;
        let routes = tables.routes.iter().filter(|it| it.pools().any(is_engine));
        let priorities = tables.workspaces.iter().map(|it| it.priority.map(|it| it.0));
        let named = tables.workspaces.iter();
        let workspaces = named.filter_map(|it| Some((it.name.clone(), it.priority?.0)));
        Ranks {
            tables: Rc::clone(tables),
            scale: UrgencyScale::new(priorities, routes.map(|it| it.priority.0)),
            workspaces: workspaces.collect(),
        }
    }
}
