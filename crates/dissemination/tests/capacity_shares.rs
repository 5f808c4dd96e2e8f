//! The parts of all routers add up to each server's slots, and follow demand.

use std::{net::SocketAddr, time::Instant};

use dissemination::{Demand, Hub, HubSettings, MemberState, Summary, owner, weighted_share};
use proptest::prelude::*;

const POOL: u32 = 5;

fn shares(weights: &[u32]) -> Vec<(u32, u32)> {
    let now = Instant::now();
    let mut hub = Hub::new(HubSettings::default());
    let mut members: Vec<_> =
        (0..weights.len()).map(|it| MemberState::new(&format!("router-{it}"))).collect();
    for _ in 0..2 {
        for (member, weight) in members.iter_mut().zip(weights) {
            let demand = vec![Demand { pool: POOL, weight: *weight }];
            let digest = hub.exchange(now, Summary { demand, ..member.summary() });
            member.take(digest);
        }
    }
    let share = |it: &MemberState| it.share(POOL).expect("a share");
    members.iter().map(|it| (share(it).start_65536ths, share(it).width_65536ths)).collect()
}

proptest! {
    #[test]
    fn slots_add_up(
        weights in prop::collection::vec(0..1000u32, 1..40),
        slots in 1..300u32,
        offset in any::<u32>(),
    ) {
        let shares = shares(&weights);
        let sum: u32 =
            shares.iter().map(|(start, width)| weighted_share(slots, offset, *start, *width)).sum();
        prop_assert_eq!(sum, slots);
    }

    #[test]
    fn owner_changes_little(lost in 0..8usize) {
        let names: Vec<String> = (0..8).map(|it| format!("router-{it}")).collect();
        for port in 0..200 {
            let server = SocketAddr::from(([10, 0, 0, 1], 9000 + port));
            let before = owner(names.iter().map(String::as_str), server);
            let left = names.iter().map(String::as_str).filter(|it| *it != names[lost]);
            let after = owner(left, server);
            prop_assert!(before == after || before == Some(names[lost].as_str()));
        }
    }
}

#[test]
fn follows_demand() {
    let shares = shares(&[0, 300, 100]);
    let widths: Vec<_> = shares.iter().map(|(_, width)| *width).collect();
    // A quarter is divided evenly, so that a router without demand can start at once.
    assert_eq!(widths, [5461, 42_325, 17_750]);
}

#[test]
fn nobody_owns() {
    assert_eq!(owner([], SocketAddr::from(([10, 0, 0, 1], 9000))), None);
}
