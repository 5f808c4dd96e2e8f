//! Keys into the arenas of a scheduler. They are `Copy` and valid only for that scheduler.

use slotmap::new_key_type;

new_key_type! {
    /// A class of requests.
    pub struct ClassKey;
    /// A pool of backend servers.
    pub struct PoolKey;
    /// A workspace, the unit of fairness and limits.
    pub struct WorkspaceKey;
    /// A backend server. It stays valid after the server has left, so that outdated entries of an
    /// old incarnation are recognised.
    pub struct BackendKey;
    /// An admitted request, until it has ended.
    pub struct Ticket;
}
