//! Slot leases: the owner of a backend server divides its slots among routers by their demand.
//!
//! The owner follows from rendezvous hashing, so all routers with the same list of live routers
//! agree on it. Leases expire, so the slots of a failed router become free without consensus. The
//! functions are pure; the router transports claims and grants.

use std::cmp::Reverse;

use crate::{selection::mix, spec::WHOLE_PERMILLE};

/// The share of a server's slots that is divided equally.
const EQUAL_PERMILLE: u32 = 100;

/// Slots for urgent requests relative to their current number, because more may arrive before the
/// next grant.
const URGENT_HEADROOM_PERMILLE: u32 = 1_500;

/// The index of the router that owns the server in `routers`, the hashes of the live routers.
pub fn owner(server_hash: u64, routers: &[u64]) -> Option<usize> {
    let hashes = routers.iter().map(|it| mix(server_hash ^ mix(*it)));
    hashes.enumerate().max_by_key(|it| it.1).map(|it| it.0)
}

/// The demand that a router reports to the owner of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Claim {
    /// Requests that are queued, running or paused at the router.
    pub demand: u32,
    /// The part of `demand` that is of the most urgent class.
    pub urgent: u32,
    /// Slots of this server that the router's requests hold.
    pub held: u32,
}

/// A server whose slots are granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// The index of the server in its pool, by which the routers that get the remainders rotate.
    pub idx: usize,
    /// The number of servers in the pool.
    pub servers: usize,
}

/// The number of slots that each router may hold from now on.
///
/// A router that holds more than its part finishes its streams. Other routers get these slots only
/// once they are free, so that the sum of the held slots does not exceed the server's slots.
pub fn grant(server: Capacity, claims: &[Claim]) -> Vec<u32> {
    let targets = divide(server, claims);
    let held: u32 = claims.iter().map(|it| it.held).sum();
    let pairs = claims.iter().zip(&targets);
    let missing: Vec<_> = pairs.clone().map(|(claim, it)| it.saturating_sub(claim.held)).collect();
    let free = server.slots.saturating_sub(held).min(missing.iter().sum());
    let growth = proportional(free, &missing, server.idx);
    pairs.zip(growth).map(|((claim, target), it)| (claim.held + it).min(*target)).collect()
}

/// Divides the slots: first a small equal part, then by the urgent requests, the rest by demand.
///
/// The equal part lets a router without demand serve an urgent request before its next grant.
/// Urgent requests precede the demand, because a long queue of a lower class inflates the demand.
pub fn divide(server: Capacity, claims: &[Claim]) -> Vec<u32> {
    let Capacity { slots, idx, servers } = server;
    let equal_weights = vec![1; claims.len()];
    let equal_slots = slots * EQUAL_PERMILLE / WHOLE_PERMILLE;
    let mut parts = proportional(equal_slots, &equal_weights, idx);
    let needs: Vec<_> = claims.iter().map(|it| urgent_part(it.urgent, idx, servers)).collect();
    let urgent = (slots - equal_slots).min(needs.iter().sum());
    add(&mut parts, &proportional(urgent, &needs, idx));
    let demand: Vec<_> = claims.iter().map(|it| it.demand).collect();
    let has_demand = demand.iter().any(|it| *it > 0);
    let weights = if has_demand { &demand } else { &equal_weights };
    add(&mut parts, &proportional(slots - equal_slots - urgent, weights, idx));
    parts
}

/// The slots that the router needs on this server for urgent requests, out of its need in the pool.
fn urgent_part(urgent: u32, idx: usize, servers: usize) -> u32 {
    let servers = servers.max(1) as u32;
    let need = urgent * URGENT_HEADROOM_PERMILLE / WHOLE_PERMILLE;
    (need + idx as u32 % servers) / servers
}

fn add(parts: &mut [u32], more: &[u32]) {
    parts.iter_mut().zip(more).for_each(|(part, it)| *part += it);
}

/// Divides `slots` by `weights` with the largest remainder method; the parts sum to `slots`.
fn proportional(slots: u32, weights: &[u32], rotation: usize) -> Vec<u32> {
    let (slots, count) = (u64::from(slots), weights.len());
    let total: u64 = weights.iter().map(|it| u64::from(*it)).sum();
    if total == 0 {
        return vec![0; count];
    }
    let scaled: Vec<u64> = weights.iter().map(|it| slots * u64::from(*it)).collect();
    let mut parts: Vec<u32> = scaled.iter().map(|it| (it / total) as u32).collect();
    let mut order: Vec<_> = (0..count).collect();
    order.sort_by_key(|it| (Reverse(scaled[*it] % total), (it + rotation) % count));
    let assigned: u64 = parts.iter().map(|it| u64::from(*it)).sum();
    order.iter().take((slots - assigned) as usize).for_each(|it| parts[*it] += 1);
    parts
}
