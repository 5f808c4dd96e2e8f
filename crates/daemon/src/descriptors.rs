//! How many connections a process accepts by the file descriptors that it may open.

use rustix::process::{Resource, getrlimit};

/// The descriptors that are not for connections of clients or those made for them: files, links to control VMs, the
/// connections to the admin listener.
const RESERVED_DESCRIPTORS: usize = 200;
/// The fewest connections, however few descriptors there are.
const CONNECTIONS_MIN: usize = 16;

/// The connections that clients may open to a process which may open `descriptors_max` descriptors, or as many as the
/// system allows. Each may need another connection for its request.
#[must_use]
pub fn client_connections_fitting(descriptors_max: Option<usize>) -> usize {
    let allowed = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |it| it as usize);
    let max = descriptors_max.map_or(allowed, |it| it.min(allowed));
    (max.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(CONNECTIONS_MIN)
}
