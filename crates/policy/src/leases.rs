//! Leases: the owner of a backend server divides its slots among routers by their demand.
//!
//! The owner of a server is the same on every router that knows the same live routers, by
//! rendezvous hashing. Grants expire by themselves, so the slots of a lost router come back
//! without an agreement. The functions are pure; the router carries demands and grants.

use crate::choice::mix;

/// The index of the router that owns the server, among the hashes of the live routers.
pub fn owner(server_hash: u64, routers: &[u64]) -> Option<usize> {
    let hashes = routers.iter().map(|it| mix(server_hash ^ mix(*it)));
    hashes.enumerate().max_by_key(|it| it.1).map(|it| it.0)
}

/// Divides `slots` in proportion to demand; a router without demand keeps one slot if there is
/// one to spare.
///
/// `turn` rotates who gets the slots that do not divide evenly; give each server another one.
pub fn divide(slots: u32, demand: &[u32], turn: usize) -> Vec<u32> {
    let count = demand.len();
    if count == 0 {
        return Vec::new();
    }
    // One unit of standing demand lets a router start without waiting for its first grant.
    let weights: Vec<u64> = demand.iter().map(|it| u64::from(*it) * count as u64 + 1).collect();
    let total: u64 = weights.iter().sum();
    let mut parts: Vec<u32> =
        weights.iter().map(|it| (u64::from(slots) * it / total) as u32).collect();
    let mut order: Vec<_> = (0..count).collect();
    order.sort_by_key(|it| {
        let remainder = u64::from(slots) * weights[*it] % total;
        (std::cmp::Reverse(remainder), (it + turn) % count)
    });
    let rest = slots - parts.iter().sum::<u32>();
    order.iter().take(rest as usize).for_each(|it| parts[*it] += 1);
    parts
}
