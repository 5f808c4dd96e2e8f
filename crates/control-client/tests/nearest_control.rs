//! Which control VM each router of a fleet follows.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use control_client::choose;

const SIZES: [u16; 3] = [30, 100, 300];
const CONTROL_VMS: u16 = 5;
const NEAR: Duration = Duration::from_micros(300);
const FAR: Duration = Duration::from_micros(2_800);

fn control_vms() -> Vec<SocketAddr> {
    (0..CONTROL_VMS).map(|it| ([10, it as u8, 0, 1], 7100).into()).collect()
}

/// Sorts as the router number `router` prefers.
fn order_of(router: u16) -> impl Fn(&mut Vec<SocketAddr>) {
    move |addrs| {
        addrs.sort();
        let first = usize::from(router).checked_rem(addrs.len()).unwrap_or_default();
        addrs.rotate_left(first);
    }
}

/// How many routers follow each control VM, given the round trip from a router to a control VM.
fn followers(
    routers: u16,
    round_trip: impl Fn(u16, u16) -> Option<Duration>,
) -> BTreeMap<SocketAddr, usize> {
    let mut followers = BTreeMap::new();
    for router in 0..routers {
        let all = control_vms().into_iter().zip(0..);
        let measured: Vec<_> = all.map(|(addr, idx)| (addr, round_trip(router, idx))).collect();
        let chosen = choose(&measured, &order_of(router)).expect("one answers");
        *followers.entry(chosen).or_default() += 1;
    }
    followers
}

/// Guards against control VMs whose work grows with the whole fleet.
#[test]
fn spread_over_domains() {
    for routers in SIZES {
        let own_domain = |router, control| {
            let is_own = router % CONTROL_VMS == control;
            // The VMs of a domain differ a little by their load.
            Some(if is_own { NEAR + Duration::from_micros(u64::from(router)) } else { FAR })
        };
        let followers = followers(routers, own_domain);
        assert_eq!(followers.len(), usize::from(CONTROL_VMS));
        let most = followers.values().max().expect("there are some");
        assert!(*most <= usize::from(routers.div_ceil(CONTROL_VMS)), "{followers:?}");
    }
}

/// Guards against routers that all follow one of several control VMs that are equally near.
#[test]
fn spread_over_equals() {
    for routers in SIZES {
        let followers = followers(routers, |_, _| Some(NEAR));
        assert_eq!(followers.len(), usize::from(CONTROL_VMS));
        let most = followers.values().max().expect("there are some");
        assert!(*most <= usize::from(routers.div_ceil(CONTROL_VMS)), "{followers:?}");
    }
}

/// Guards against a choice of a control VM that does not answer.
#[test]
fn others_without_near() {
    let without_own = |router, control| (router % CONTROL_VMS != control).then_some(FAR);
    let followers = followers(30, without_own);
    assert_eq!(followers.values().sum::<usize>(), 30);
    assert_eq!(choose(&[(control_vms()[0], None)], &order_of(0)), None);
}
