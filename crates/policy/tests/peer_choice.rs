//! Which peers a router asks while it cannot reach the servers of a pool.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use policy::{PeerAnswer, PeerPlace, Peers};

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7350).into()
}

/// Peers 1 to `own` in the own domain, those up to `all` elsewhere.
fn peers(own: u8, all: u8) -> Peers {
    let mut peers = Peers::new(7);
    let place = |it| if it <= own { PeerPlace::OwnDomain } else { PeerPlace::OtherDomain };
    peers.replace((1..=all).map(|it| (addr(it), place(it))));
    peers
}

/// Guards against a router whose whole failure domain is cut off and that asks only there, or crosses
/// domains though a peer of its own can serve.
#[test]
fn by_turns() {
    let (now, mut peers) = (Instant::now(), peers(2, 8));
    let candidates = peers.candidates(now, "pool");
    assert_eq!(candidates.len(), 8);
    assert!(candidates[0] <= addr(2) && candidates[1] > addr(2) && candidates[2] <= addr(2));
    peers.record(now, addr(2), "pool", PeerAnswer::Served);
    assert_eq!(peers.candidates(now, "pool")[0], addr(2));
    assert_eq!(peers.candidates(now, "other").len(), 8);
}

/// Guards against requests that ask peers again that have just refused, and against peers that are never
/// asked again.
#[test]
fn refused_for_a_while() {
    let (now, mut peers) = (Instant::now(), peers(2, 8));
    for number in 1..=7 {
        peers.record(now, addr(number), "pool", PeerAnswer::Refused);
    }
    assert_eq!(peers.candidates(now, "pool"), [addr(8)]);
    assert_eq!(peers.candidates(now, "other").len(), 8);
    assert_eq!(peers.candidates(now + Duration::from_secs(1), "pool").len(), 8);
}

/// Guards against a request that asks all of many peers, and against one peer that gets all requests.
#[test]
fn bounded_and_spread() {
    let (now, mut peers) = (Instant::now(), peers(32, 64));
    assert_eq!(peers.candidates(now, "pool").len(), 8);
    let mut first: Vec<_> = (0..200).map(|_| peers.candidates(now, "pool")[0]).collect();
    first.sort();
    first.dedup();
    assert!(first.len() > 16, "{first:?}");
}

/// Guards against answers that are kept of peers that are gone.
#[test]
fn replaced_list() {
    let (now, mut list) = (Instant::now(), peers(2, 3));
    list.record(now, addr(1), "pool", PeerAnswer::Refused);
    list.replace([(addr(2), PeerPlace::OwnDomain)].into_iter());
    assert_eq!(list.candidates(now, "pool"), [addr(2)]);
    list.record(now, addr(1), "pool", PeerAnswer::Served);
    list.replace([(addr(1), PeerPlace::OwnDomain)].into_iter());
    assert_eq!(list.candidates(now, "pool"), [addr(1)]);
    assert!(!list.is_empty());
}
