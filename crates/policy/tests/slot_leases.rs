//! The division of a server's slots among routers.

use policy::leases::{Capacity, Claim, divide, grant, owner};
use proptest::prelude::*;

#[path = "support/fixture.rs"]
mod fixture;

fn claim() -> impl Strategy<Value = Claim> {
    (0..2_000_u32, 0..50_u32, 0..20_u32).prop_map(|(demand, urgent, held)| Claim {
        demand: demand + urgent,
        urgent,
        held,
    })
}

fn capacity() -> impl Strategy<Value = Capacity> {
    (1..100_u32, 1..120_usize, any::<prop::sample::Index>())
        .prop_map(|(slots, servers, idx)| Capacity { slots, idx: idx.index(servers), servers })
}

proptest! {
    #![proptest_config(fixture::deterministic(500))]

    #[test]
    fn parts_sum_to_slots(server in capacity(), claims in proptest::collection::vec(claim(), 1..40)) {
        let parts = divide(server, &claims);
        prop_assert_eq!(parts.iter().sum::<u32>(), server.slots);
    }

    #[test]
    fn grants_within_slots(server in capacity(), claims in proptest::collection::vec(claim(), 1..40)) {
        let grants = grant(server, &claims);
        let held: u32 = claims.iter().map(|it| it.held).sum();
        let used: u32 = claims.iter().zip(&grants).map(|(it, grant)| it.held.max(*grant)).sum();
        prop_assert!(used <= server.slots.max(held), "{used} of {}", server.slots);
    }

    #[test]
    fn owner_stable(server in any::<u64>(), lost in 0..9_usize) {
        let routers: Vec<u64> = (1..=9).collect();
        let before = owner(server, &routers).map(|it| routers[it]);
        let rest: Vec<u64> = routers.iter().copied().filter(|it| *it != routers[lost]).collect();
        let after = owner(server, &rest).map(|it| rest[it]);
        prop_assert!(before == Some(routers[lost]) || before == after);
    }
}

#[test]
fn urgent_before_long_queue() {
    let summaries = Claim { demand: 3_000, urgent: 0, held: 16 };
    let chat = Claim { demand: 12, urgent: 12, held: 0 };
    let parts = divide(Capacity { slots: 16, idx: 0, servers: 3 }, &[summaries, chat]);
    assert_eq!(
        parts,
        [10, 6],
        "an equal part of 1, then 18 urgent slots over 3 servers, then by demand"
    );
}

#[test]
fn all_slots_without_demand() {
    let parts = divide(Capacity { slots: 16, idx: 1, servers: 3 }, &[Claim::default(); 4]);
    assert_eq!(parts.iter().sum::<u32>(), 16);
}

/// Guards against a router without slots when it no longer reaches the owner: after its lease has
/// expired it uses an equal part of at least one slot.
#[test]
fn expired_lease_share() {
    let settings = policy::Settings { routers: 32, ..policy::Settings::default() };
    let spec = fixture::spec(vec![fixture::class("chat", 1, 100)], 16);
    let mut fixture = fixture::Fixture::with(settings, spec, 1);
    let lease = std::time::Duration::from_secs(5);
    fixture.scheduler.set_lease(fixture.backends[0], 4, fixture.now + lease);
    fixture.offer_many("chat", 6);
    let started = fixture.poll_dispatches();
    assert_eq!(started.len(), 4);
    fixture.advance(5_000);
    started.iter().for_each(|it| fixture.finish(it.0));
    assert_eq!(fixture.poll_dispatches().len(), 1);
}
