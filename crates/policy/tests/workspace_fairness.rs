//! A large workspace does not push out small ones of the same class.

#[path = "support/world.rs"]
mod world;

use policy::{ClassSpec, RefusalReason, Spec, WorkspaceSpec};
use world::{World, class, spec};

#[test]
fn small_not_behind_large() {
    let mut world = World::new(vec![class("chat", 1, 100)], 1, 4);
    world.offer_many("chat", 40);
    let small = world.try_offer("chat", "b").expect("the queue has room");
    let started = world.dispatched();
    assert!(started.iter().any(|it| it.0 == small));
}

#[test]
fn weights_divide_slots() {
    let mut spec = spec(vec![class("chat", 1, 100)], 12);
    spec.workspaces[0].weight = 2;
    let mut world = World::with(policy::Settings::default(), spec, 1);
    let large = world.offer_many("chat", 20);
    (0..20).for_each(|_| assert!(world.try_offer("chat", "b").is_ok()));
    let started = world.dispatched();
    assert_eq!(started.iter().filter(|it| large.contains(&it.0)).count(), 8);
}

#[test]
fn full_queue_takes_small() {
    let chat = ClassSpec { queue_limit: 10, ..class("chat", 1, 100) };
    let mut world = World::new(vec![chat], 1, 1);
    world.offer_many("chat", 10);
    let refused = world.try_offer("chat", "a").expect_err("the queue is full");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert!(world.try_offer("chat", "b").is_ok());
}

#[test]
fn in_flight_limit() {
    let limited = WorkspaceSpec { name: "a".to_owned(), in_flight_limit: 6, weight: 1 };
    let other = WorkspaceSpec { name: "b".to_owned(), ..WorkspaceSpec::default() };
    let spec = Spec { workspaces: vec![limited, other], ..spec(vec![class("chat", 1, 100)], 64) };
    let settings = policy::Settings { routers: 3, ..policy::Settings::default() };
    let mut world = World::with(settings, spec, 1);
    world.offer_many("chat", 8);
    let started = world.dispatched();
    assert_eq!(started.len(), 2, "one router of three has a third of the limit");
    world.finish(started[0].0);
    assert_eq!(world.dispatched().len(), 1);
}
