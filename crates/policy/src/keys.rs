//! Keys into the arenas of a scheduler; each is small, `Copy`, and meaningless in another one.

use slotmap::new_key_type;

new_key_type! {
    /// A class of requests.
    pub struct ClassKey;
    /// A pool of backend servers.
    pub struct PoolKey;
    /// A workspace, the unit of fairness and of limits.
    pub struct WorkspaceKey;
    /// A backend server, kept after it left so that it can't return unnoticed.
    pub struct BackendKey;
    /// A request from its offer to its end.
    pub struct Ticket;
}
