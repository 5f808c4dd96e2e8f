//! Leases: the owner of a backend server divides its slots among routers by their demand.
//!
//! The owner of a server is the same on every router that knows the same live routers, by
//! rendezvous hashing. Grants expire by themselves, so the slots of a lost router come back
//! without an agreement. The functions are pure; the router carries demands and grants.

use std::cmp::Reverse;

use crate::{choice::mix, spec::WHOLE_PERMILLE};

/// The part of a server's slots that is divided equally.
const FLOOR_PERMILLE: u32 = 100;

/// Slots for urgent requests, against those that are there, because more may come before the next
/// grant.
const URGENT_HEADROOM_PERMILLE: u32 = 1_500;

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
    /// Of these, the ones of the most urgent class.
    pub urgent: u32,
    /// Requests of the router that hold a slot of this server.
    pub held: u32,
}

/// A server whose slots are granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// The server's place among the servers of its pool, for the rotation of remainders.
    pub idx: usize,
    /// Servers of the pool.
    pub servers: usize,
}

/// The slots that each router may hold from now on.
///
/// A router that holds more than its part finishes its streams; others get those slots only as
/// they come back, so that the sum of what is held stays within the server's slots.
pub fn grant(server: Capacity, claims: &[Claim]) -> Vec<u32> {
    let targets = divide(server, claims);
    let held: u32 = claims.iter().map(|it| it.held).sum();
    let pairs = claims.iter().zip(&targets);
    let wanted: Vec<_> = pairs.clone().map(|(claim, it)| it.saturating_sub(claim.held)).collect();
    let open = server.slots.saturating_sub(held).min(wanted.iter().sum());
    let growth = proportional(open, &wanted, server.idx);
    pairs.zip(growth).map(|((claim, target), it)| (claim.held + it).min(*target)).collect()
}

/// Divides the slots: a floor equally, then what urgent requests need, the rest by demand.
///
/// The floor lets a router without demand serve an urgent request before its next grant. The
/// need of urgent requests goes before the demand, which a long queue of lower ones makes large.
pub fn divide(server: Capacity, claims: &[Claim]) -> Vec<u32> {
    let Capacity { slots, idx, servers } = server;
    let equal = vec![1; claims.len()];
    let floor = slots * FLOOR_PERMILLE / WHOLE_PERMILLE;
    let mut parts = proportional(floor, &equal, idx);
    let needs: Vec<_> = claims.iter().map(|it| urgent_part(it.urgent, idx, servers)).collect();
    let urgent = (slots - floor).min(needs.iter().sum());
    add(&mut parts, &proportional(urgent, &needs, idx));
    let demand: Vec<_> = claims.iter().map(|it| it.demand).collect();
    let has_demand = demand.iter().any(|it| *it > 0);
    let weights = if has_demand { &demand } else { &equal };
    add(&mut parts, &proportional(slots - floor - urgent, weights, idx));
    parts
}

/// This server's part of the slots that the router needs for urgent requests on all servers.
fn urgent_part(urgent: u32, idx: usize, servers: usize) -> u32 {
    let servers = servers.max(1) as u32;
    let need = urgent * URGENT_HEADROOM_PERMILLE / WHOLE_PERMILLE;
    (need + idx as u32 % servers) / servers
}

fn add(parts: &mut [u32], more: &[u32]) {
    parts.iter_mut().zip(more).for_each(|(part, it)| *part += it);
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
