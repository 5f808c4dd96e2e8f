//! Assigns each backend server to the router that reads its load reports, without coordination.

use std::net::SocketAddr;

use policy::leases;
use xxhash_rust::xxh3::xxh3_64;

/// The router that owns the server, by rendezvous hashing over the live routers.
///
/// When a router joins or leaves, only the servers that it owns are reassigned.
pub fn owner<'a>(
    routers: impl IntoIterator<Item = &'a str>,
    server: SocketAddr,
) -> Option<&'a str> {
    let names: Vec<_> = routers.into_iter().collect();
    let hashes: Vec<_> = names.iter().map(|it| xxh3_64(it.as_bytes())).collect();
    let idx = leases::owner(xxh3_64(server.to_string().as_bytes()), &hashes)?;
    names.get(idx).copied()
}
