//! A request that crashes servers falls into quarantine; those beside it do not.

#[path = "support/world.rs"]
mod world;

use std::collections::BTreeSet;

use policy::{
    BackendKey, Execution, Failure, Offer, Outcome, RefusalReason, Repeat, Settings, Ticket,
};
use proptest::prelude::*;
use world::{World, class, spec};

const POISON: u64 = 0xbad;
const SERVERS: usize = 8;

fn world(seed: u64) -> World {
    world_of_incarnation(seed, 1)
}

fn world_of_incarnation(seed: u64, incarnation: u64) -> World {
    let settings = Settings { seed, ..Settings::default() };
    let mut world = World::with(settings, spec(vec![class("chat", 1, 100)], 4), SERVERS);
    (0..SERVERS).for_each(|it| {
        world.seen(&format!("s{it}"), incarnation);
    });
    world
}

fn offer(world: &mut World, request_hash: u64) -> Option<Ticket> {
    let offer = Offer { request_hash, repeat: Repeat::Idempotent, ..world.offer_for("chat", "a") };
    world.scheduler.offer(world.now, offer).ok()
}

fn offer_innocents(world: &mut World, first_hash: u64, count: u64) {
    for hash in first_hash..first_hash + count {
        offer(world, hash).expect("an innocent is admitted");
    }
}

/// Reports the crash of a server for each of its requests.
fn crash(world: &mut World, server: BackendKey, running: &mut Vec<(Ticket, BackendKey)>) {
    let outcome = Outcome::Failed(Failure::Reset, Execution::MayHaveRun);
    for (ticket, _) in running.extract_if(.., |it| it.1 == server) {
        world.scheduler.retry(ticket, outcome, world.now);
    }
}

/// Sends the poison again and again from many callers; returns the servers that fell.
fn resend(world: &mut World, copies: usize, rounds: usize) -> BTreeSet<BackendKey> {
    let mut fallen = BTreeSet::new();
    let mut running = Vec::new();
    for round in 0..rounds {
        let poison: BTreeSet<_> = (0..copies).filter_map(|_| offer(world, POISON)).collect();
        offer_innocents(world, 100 + 4 * round as u64, 4);
        world.pass(60);
        let started = world.dispatched();
        let hit: BTreeSet<_> =
            started.iter().filter(|it| poison.contains(&it.0)).map(|it| it.1).collect();
        running.extend(started);
        fallen.extend(&hit);
        hit.into_iter().for_each(|it| crash(world, it, &mut running));
        running.drain(..).for_each(|it| world.finish(it.0));
    }
    fallen
}

proptest! {
    #![proptest_config(world::fixed(200))]

    #[test]
    fn two_crashes_at_most(seed in any::<u64>(), copies in 1..6_usize) {
        let mut world = world(seed);
        prop_assert!(resend(&mut world, copies, 6).len() <= 2);
        let refusal = offer(&mut world, POISON);
        prop_assert!(refusal.is_none());
    }

    #[test]
    fn two_crashes_over_routers(seeds in proptest::collection::vec(any::<u64>(), 2..6)) {
        let mut fallen = BTreeSet::new();
        let mut entries = Vec::new();
        for (idx, seed) in seeds.into_iter().enumerate() {
            let mut world = world_of_incarnation(seed, 1 + idx as u64);
            world.scheduler.import_quarantine(world.now, &entries);
            let crashes = resend(&mut world, 1, 1);
            fallen.extend(crashes.into_iter().map(|it| (idx, it)));
            entries = world.scheduler.export_quarantine(world.now);
        }
        prop_assert!(fallen.len() <= 2);
    }
}

#[test]
fn innocents_are_cleared() {
    let mut world = world(7);
    let mut running = Vec::new();
    let poison = offer(&mut world, POISON).expect("nothing is known yet");
    running.extend(world.dispatched());
    offer_innocents(&mut world, 1, 24);
    running.extend(world.dispatched());
    let first = running[0].1;
    crash(&mut world, first, &mut running);
    world.pass(60);
    let again = world.dispatched();
    let servers: BTreeSet<_> = again.iter().map(|it| it.1).collect();
    assert_eq!(servers.len(), again.len(), "no two suspects share a server");
    let second = again.iter().find(|it| it.0 == poison).expect("a slot was free").1;
    running.extend(again);
    crash(&mut world, second, &mut running);
    world.pass(60);
    running.extend(world.dispatched());
    running.drain(..).for_each(|it| world.finish(it.0));
    let refused = (1..=24).filter(|it| offer(&mut world, *it).is_none()).count();
    assert_eq!(refused, 0);
}

#[test]
fn entry_expires() {
    let mut world = world(3);
    resend(&mut world, 1, 3);
    let poison = Offer { request_hash: POISON, ..world.offer_for("chat", "a") };
    let refusal = world.scheduler.offer(world.now, poison).expect_err("it is quarantined");
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    world.now += refusal.retry_after;
    assert!(offer(&mut world, POISON).is_some());
}
