//! The order in which model engines serve the requests of all routers.

use std::collections::BTreeSet;

/// The priorities of a request as operators set them; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestPriority {
    /// The priority of its workspace, if that has one.
    pub workspace: Option<u8>,
    /// The priority of its route.
    pub route: u8,
}

impl RequestPriority {
    /// The workspace's priority goes before that of the route, which orders the requests of
    /// workspaces with the same priority. A workspace without one has that of the route.
    fn order(self) -> (u8, u8) {
        (self.workspace.unwrap_or(self.route), self.route)
    }
}

/// Ranks requests by the priorities that are in use, so that the few levels of an engine suffice.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UrgencyScale {
    orders: BTreeSet<(u8, u8)>,
}

impl UrgencyScale {
    /// A scale of the priorities of all workspaces and routes.
    pub fn new(
        workspaces: impl IntoIterator<Item = Option<u8>>,
        routes: impl IntoIterator<Item = u8>,
    ) -> UrgencyScale {
        let workspaces: BTreeSet<_> = workspaces.into_iter().collect();
        let routes: BTreeSet<_> = routes.into_iter().collect();
        let requests = workspaces.iter().flat_map(|workspace| {
            routes.iter().map(|route| RequestPriority { workspace: *workspace, route: *route })
        });
        UrgencyScale { orders: requests.map(RequestPriority::order).collect() }
    }

    /// The number of ranks in use that are more urgent than the request.
    pub fn urgency(&self, request: RequestPriority) -> usize {
        self.orders.range(..request.order()).count()
    }
}
