//! Crash, straggler and silent connection told apart.

#[path = "support/world.rs"]
mod world;

use policy::{Action, Execution, Failure, Health, Outcome, ProbeResult, RetryDecision};
use world::{World, class};

fn world(servers: usize) -> World {
    World::new(vec![class("chat", 1, 100)], servers, 4)
}

fn fail(world: &mut World, ticket: policy::Ticket, failure: Failure) -> RetryDecision {
    let outcome = Outcome::Failed(failure, Execution::NotRun);
    world.scheduler.retry(ticket, outcome, world.now)
}

fn probes(world: &mut World) -> usize {
    world.poll().iter().filter(|it| matches!(it, Action::Probe { .. })).count()
}

#[test]
fn crash_takes_out() {
    let mut world = world(2);
    let ticket = world.offer("chat");
    let crashed = world.dispatched()[0].1;
    fail(&mut world, ticket, Failure::ConnectRefused);
    assert_eq!(world.scheduler.health(crashed), Some(Health::Down));
    world.pass(100);
    for _ in 0..4 {
        world.offer("chat");
    }
    assert!(world.dispatched().iter().all(|it| it.1 != crashed));
}

#[test]
fn probe_brings_back() {
    let mut world = world(2);
    let ticket = world.offer("chat");
    let crashed = world.dispatched()[0].1;
    fail(&mut world, ticket, Failure::ConnectRefused);
    world.pass(500);
    assert_eq!(probes(&mut world), 1);
    world.scheduler.probe_result(crashed, world.now, ProbeResult::Alive);
    assert_eq!(world.scheduler.health(crashed), Some(Health::Up));
}

#[test]
fn silence_keeps_server() {
    let mut world = world(1);
    let ticket = world.offer("chat");
    world.poll();
    fail(&mut world, ticket, Failure::Timeout);
    assert_eq!(probes(&mut world), 1);
    world.pass(60);
    assert_eq!(world.dispatched().len(), 1, "the only server still serves");
    world.scheduler.probe_result(world.backends[0], world.now, ProbeResult::Alive);
    assert_eq!(world.scheduler.health(world.backends[0]), Some(Health::Up));
}

#[test]
fn old_incarnation_failure() {
    let mut world = world(1);
    let ticket = world.offer("chat");
    world.poll();
    world.seen("s0", 2);
    fail(&mut world, ticket, Failure::Reset);
    assert_eq!(world.scheduler.health(world.backends[0]), Some(Health::Up));
}

#[test]
fn straggler_is_avoided() {
    let mut world = world(3);
    let tickets: Vec<_> = (0..6).map(|_| world.offer("chat")).collect();
    let started = world.dispatched();
    let slow = started[0].1;
    tickets.iter().for_each(|it| world.scheduler.first_token(*it, world.now));
    for step in 1..=25 {
        world.pass(40);
        for (ticket, backend) in &started {
            if *backend != slow || step % 5 == 0 {
                world.scheduler.tokens(*ticket, world.now, 1);
            }
        }
        world.poll();
    }
    world.offer_many("chat", 4);
    let next = world.dispatched();
    assert_eq!(next.len(), 4);
    assert!(next.iter().all(|it| it.1 != slow), "after one second of five times longer gaps");
}

#[test]
fn hung_server_avoided() {
    let mut world = world(3);
    let tickets: Vec<_> = (0..6).map(|_| world.offer("chat")).collect();
    let started = world.dispatched();
    let hung = started[0].1;
    world.stream(&tickets, 40, 5);
    for _ in 0..5 {
        world.pass(40);
        for (ticket, _) in started.iter().filter(|it| it.1 != hung) {
            world.scheduler.tokens(*ticket, world.now, 1);
        }
        world.poll();
    }
    world.offer_many("chat", 4);
    assert!(world.dispatched().iter().all(|it| it.1 != hung), "after 200 ms without a token");
}

#[test]
fn returned_server_starts_slowly() {
    let mut world = World::new(vec![class("chat", 1, 100)], 2, 20);
    let tickets: Vec<_> = (0..10).map(|_| world.offer("chat")).collect();
    world.poll();
    world.stream(&tickets, 40, 2);
    world.seen("new", 1);
    let new = world.scheduler.backend("new").expect("it was seen");
    world.offer_many("chat", 60);
    world.poll();
    assert_eq!(world.scheduler.in_flight(new), 2, "a tenth of its slots at first");
    world.pass(2_500);
    world.poll();
    assert_eq!(world.scheduler.in_flight(new), 10, "half of them after half of the slow start");
}

/// A server that left while it was out must not keep the router awake.
#[test]
fn no_wakeup_for_gone() {
    let mut world = world(2);
    let ticket = world.offer("chat");
    let crashed = world.dispatched()[0].1;
    fail(&mut world, ticket, Failure::ConnectRefused);
    world.scheduler.cancelled(ticket);
    for name in ["s0", "s1"] {
        let sighting = world.sighting(name, 1);
        world.scheduler.backend_gone(world.now, &sighting);
    }
    assert_eq!(world.scheduler.health(crashed), Some(Health::Gone));
    world.pass(10_000);
    world.poll();
    assert_eq!(world.scheduler.next_wakeup(world.now), None);
}
