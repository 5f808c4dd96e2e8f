//! The pending work of all routers at each backend server.
//!
//! With many routers, a single router knows little about a server: its own requests there and an
//! occasional load report in a response. Therefore each router reports its pending work to the
//! hub, the hubs exchange their sums, and each router gets the sum over all other routers.

use policy::PendingWork;
use serde::{Deserialize, Serialize};

use crate::ServerRef;

/// The pending work at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerWork {
    /// The server.
    pub server: ServerRef,
    /// The work.
    pub work: PendingWork,
}
