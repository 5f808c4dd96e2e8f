//! Routers learn which other routers serve their requests, also those of other hubs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dissemination::{
    DomainHash, Hub, HubSettings, MemberState, Peer, decode_digest, decode_summary, encode_digest,
    encode_summary,
};

fn peer(number: u8, domain: &str) -> Peer {
    let addr: SocketAddr = ([10, 0, 0, number], 7350).into();
    Peer { addr, domain: DomainHash::of(domain) }
}

fn hub(epoch: u64) -> Hub {
    Hub::new(HubSettings { epoch, ..HubSettings::default() })
}

fn exchange(now: Instant, hub: &mut Hub, member: &mut MemberState) -> usize {
    let summary = decode_summary(&encode_summary(&member.empty_summary())).expect("own encoding");
    let digest = encode_digest(&hub.exchange(now, summary));
    member.apply_digest(decode_digest(&digest).expect("own encoding"));
    digest.len()
}

fn peers(member: &MemberState) -> Vec<Peer> {
    let mut peers: Vec<_> = member.peers().collect();
    peers.sort();
    peers
}

/// Guards against routers of one hub that do not know one another, or know themselves.
#[test]
fn of_one_hub() {
    let (now, mut hub) = (Instant::now(), hub(1));
    let mut members = [1, 2, 3]
        .map(|it| MemberState::new(&format!("router-{it}")).with_peer(Some(peer(it, "north"))));
    for _ in 0..2 {
        for it in &mut members {
            exchange(now, &mut hub, it);
        }
    }
    assert_eq!(peers(&members[0]), [peer(2, "north"), peer(3, "north")]);
    assert_eq!(peers(&members[2]), [peer(1, "north"), peer(2, "north")]);
}

/// Guards against routers of other hubs that are not known, and against a list that is sent again though
/// it has not changed.
#[test]
fn of_other_hubs() {
    let (now, mut hub) = (Instant::now(), hub(1));
    let mut member = MemberState::new("router-1").with_peer(Some(peer(1, "north")));
    hub.update_hub_peers(now, 2, vec![peer(9, "south")]);
    exchange(now, &mut hub, &mut member);
    assert_eq!(peers(&member), [peer(9, "south")]);
    let unchanged = exchange(now, &mut hub, &mut member);
    hub.update_hub_peers(now, 2, vec![peer(9, "south")]);
    assert_eq!(exchange(now, &mut hub, &mut member), unchanged);
    hub.update_hub_peers(now, 2, vec![peer(8, "south"), peer(9, "south")]);
    exchange(now, &mut hub, &mut member);
    assert_eq!(peers(&member), [peer(8, "south"), peer(9, "south")]);
}

/// Guards against a hub whose failure domains are not all named to the other hubs.
#[test]
fn some_of_each_domain() {
    let (now, mut hub) = (Instant::now(), hub(1));
    for number in 0..32 {
        let domain = if number < 30 { "north" } else { "south" };
        let mut member =
            MemberState::new(&format!("router-{number}")).with_peer(Some(peer(number, domain)));
        exchange(now, &mut hub, &mut member);
    }
    let named = hub.own_peers();
    assert_eq!(named.len(), 8);
    let of_south = named.iter().filter(|it| it.domain == DomainHash::of("south"));
    assert_eq!(of_south.count(), 2);
}

/// Guards against routers that are still named after they have gone, and against a hub that has started
/// anew and is not told the peers again.
#[test]
fn gone_and_restarted() {
    let now = Instant::now();
    let mut first = hub(1);
    let [mut one, mut two] = [1, 2]
        .map(|it| MemberState::new(&format!("router-{it}")).with_peer(Some(peer(it, "north"))));
    exchange(now, &mut first, &mut one);
    exchange(now, &mut first, &mut two);
    exchange(now, &mut first, &mut one);
    assert_eq!(peers(&one), [peer(2, "north")]);
    let later = now + Duration::from_secs(30);
    exchange(later, &mut first, &mut one);
    exchange(later, &mut first, &mut one);
    assert_eq!(peers(&one), []);
    let mut second = hub(2);
    for _ in 0..3 {
        exchange(later, &mut second, &mut one);
        exchange(later, &mut second, &mut two);
    }
    assert_eq!(peers(&one), [peer(2, "north")]);
}

/// Guards against a list of peers that exceeds what a router's link may carry in a second, at 32 routers a
/// hub and 11 hubs.
#[test]
fn bytes_of_peers() {
    let (now, mut hub) = (Instant::now(), hub(1));
    for other in 2..=11 {
        hub.update_hub_peers(now, other, (0..8).map(|it| peer(it, &format!("{other}"))).collect());
    }
    let mut members: Vec<_> = (0..32)
        .map(|it| MemberState::new(&format!("r-{it}")).with_peer(Some(peer(it, "north"))))
        .collect();
    for it in &mut members {
        exchange(now, &mut hub, it);
    }
    let list = exchange(now, &mut hub, &mut members[0]);
    let rest = exchange(now, &mut hub, &mut members[0]);
    println!("{} B for the list, then {rest} B", list - rest);
    assert!(list < 2_048, "{list}");
}
