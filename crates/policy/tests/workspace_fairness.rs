//! A workspace with many requests does not starve smaller workspaces in the same class.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, spec};
use policy::{ClassSpec, RefusalReason, Spec, WorkspaceSpec};

#[test]
fn small_not_behind_large() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 4);
    fixture.offer_many("chat", 40);
    let small = fixture.try_offer("chat", "b").expect("the queue has room");
    let started = fixture.poll_dispatches();
    assert!(started.iter().any(|it| it.0 == small));
}

#[test]
fn weights_divide_slots() {
    let mut spec = spec(vec![class("chat", 1, 100)], 12);
    spec.workspaces[0].weight = 2;
    let mut fixture = Fixture::with(policy::Settings::default(), spec, 1);
    let large = fixture.offer_many("chat", 20);
    (0..20).for_each(|_| assert!(fixture.try_offer("chat", "b").is_ok()));
    let started = fixture.poll_dispatches();
    assert_eq!(started.iter().filter(|it| large.contains(&it.0)).count(), 8);
}

#[test]
fn full_queue_evicts_large() {
    let chat = ClassSpec { queue_limit: 10, ..class("chat", 1, 100) };
    let mut fixture = Fixture::new(vec![chat], 1, 1);
    fixture.offer_many("chat", 10);
    let refused = fixture.try_offer("chat", "a").expect_err("the queue is full");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert!(fixture.try_offer("chat", "b").is_ok());
}

#[test]
fn in_flight_limit() {
    let limited = WorkspaceSpec { name: "a".to_owned(), in_flight_limit: 6, weight: 1 };
    let other = WorkspaceSpec { name: "b".to_owned(), ..WorkspaceSpec::default() };
    let spec = Spec { workspaces: vec![limited, other], ..spec(vec![class("chat", 1, 100)], 64) };
    let settings = policy::Settings { routers: 3, ..policy::Settings::default() };
    let mut fixture = Fixture::with(settings, spec, 1);
    fixture.offer_many("chat", 8);
    let started = fixture.poll_dispatches();
    assert_eq!(started.len(), 2, "one of three routers gets a third of the limit");
    fixture.finish(started[0].0);
    assert_eq!(fixture.poll_dispatches().len(), 1);
}
