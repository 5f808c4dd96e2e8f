//! Leases: the owner of a backend server divides its slots among routers by their demand.
//!
//! The owner of a server is the same on every router that knows the same live routers, by
//! rendezvous hashing. Grants expire by themselves, so the slots of a lost router come back
//! without an agreement. The functions are pure; the router carries demands and grants.

use std::cmp::Reverse;

use crate::{choice::mix, spec::WHOLE_PERMILLE};

/// The part of a server's slots that is divided equally.
const FLOOR_PERMILLE: u32 = 250;

/// The index of the router that owns the server, among the hashes of the live routers.
pub fn owner(server_hash: u64, routers: &[u64]) -> Option<usize> {
    let hashes = routers.iter().map(|it| mix(server_hash ^ mix(*it)));
    hashes.enumerate().max_by_key(|it| it.1).map(|it| it.0)
}

/// What the owner of a server has heard from one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Claim {
    /// Requests that wait or run at the router.
    pub demand: u32,
    /// Requests of the router that hold a slot of this server.
    pub held: u32,
}

/// The slots that each router may hold from now on.
///
/// A router that holds more than its part finishes its streams; others get those slots only as
/// they come back, so that the sum of what is held stays within `slots`.
pub fn grant(slots: u32, claims: &[Claim], turn: usize) -> Vec<u32> {
    let demand: Vec<_> = claims.iter().map(|it| it.demand).collect();
    let targets = divide(slots, &demand, turn);
    let held: u32 = claims.iter().map(|it| it.held).sum();
    let pairs = claims.iter().zip(&targets);
    let wanted: Vec<_> = pairs.clone().map(|(claim, it)| it.saturating_sub(claim.held)).collect();
    let open = slots.saturating_sub(held).min(wanted.iter().sum());
    let growth = proportional(open, &wanted, turn);
    pairs.zip(growth).map(|((claim, target), it)| (claim.held + it).min(*target)).collect()
}

/// Divides `slots`: a floor is divided equally, the rest in proportion to demand.
///
/// The floor lets a router without demand serve an urgent request before its next grant. `turn`
/// rotates who gets the slots that do not divide evenly; give each server another one.
pub fn divide(slots: u32, demand: &[u32], turn: usize) -> Vec<u32> {
    let floor = slots * FLOOR_PERMILLE / WHOLE_PERMILLE;
    let equal = vec![1; demand.len()];
    let mut parts = proportional(floor, &equal, turn);
    let by_demand = if demand.iter().all(|it| *it == 0) { &equal[..] } else { demand };
    let rest = proportional(slots - floor, by_demand, turn);
    parts.iter_mut().zip(rest).for_each(|(part, it)| *part += it);
    parts
}

/// Parts by largest remainder; they sum to `slots`.
fn proportional(slots: u32, weights: &[u32], turn: usize) -> Vec<u32> {
    let (slots, count) = (u64::from(slots), weights.len());
    let total: u64 = weights.iter().map(|it| u64::from(*it)).sum();
    if total == 0 {
        return vec![0; count];
    }
    let scaled: Vec<u64> = weights.iter().map(|it| slots * u64::from(*it)).collect();
    let mut parts: Vec<u32> = scaled.iter().map(|it| (it / total) as u32).collect();
    let mut order: Vec<_> = (0..count).collect();
    order.sort_by_key(|it| (Reverse(scaled[*it] % total), (it + turn) % count));
    let given: u64 = parts.iter().map(|it| u64::from(*it)).sum();
    order.iter().take((slots - given) as usize).for_each(|it| parts[*it] += 1);
    parts
}
