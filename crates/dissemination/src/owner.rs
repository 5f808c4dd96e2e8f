//! Who owns a backend server, and how capacity is divided, so that all routers agree unasked.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The whole of a pool in the units of a share.
pub(crate) const WHOLE_65536THS: u32 = 65_536;

/// The router that reads the server's load report, by rendezvous hashing over the live routers.
///
/// When a router comes or goes, only its own servers change hands.
pub fn owner<'a>(
    routers: impl IntoIterator<Item = &'a str>,
    server: SocketAddr,
) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(server.to_string().as_bytes(), 0);
    routers.into_iter().max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), *name))
}

/// How many of a server's `slots` belong to the part of the pool from `start` for `width`, both in
/// 65,536ths.
///
/// The parts of all routers cover the whole without overlap, and each server turns them by its own
/// `offset`, so the slots of one server add up to exactly `slots` and the rounding falls on
/// another router at each server.
pub fn weighted_share(slots: u32, offset: u32, start: u32, width: u32) -> u32 {
    let from = u64::from(offset % WHOLE_65536THS) + u64::from(start);
    let to = from + u64::from(width);
    slots_below(slots, to) - slots_below(slots, from)
}

fn slots_below(slots: u32, position: u64) -> u32 {
    (position * u64::from(slots) / u64::from(WHOLE_65536THS)) as u32
}
