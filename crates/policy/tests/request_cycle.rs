//! A request from its offer to its end, and what a new revision keeps.

#[path = "support/world.rs"]
mod world;

use policy::{Action, RefusalReason, Spec, SpecError};
use world::{World, class, spec};

#[test]
fn dispatch_and_finish() {
    let mut world = World::new(vec![class("chat", 1, 100)], 1, 1);
    let (first, second) = (world.offer("chat"), world.offer("chat"));
    assert_eq!(world.dispatched(), [(first, world.backends[0])]);
    world.finish(first);
    assert_eq!(world.dispatched(), [(second, world.backends[0])]);
}

#[test]
fn urgent_goes_first() {
    let mut world = World::new(vec![class("summary", 0, 50), class("chat", 5, 100)], 1, 1);
    let running = world.offer("summary");
    world.poll();
    let (_, chat) = (world.offer("summary"), world.offer("chat"));
    world.finish(running);
    assert_eq!(world.dispatched()[0].0, chat);
}

#[test]
fn cancelled_frees_slot() {
    let mut world = World::new(vec![class("chat", 1, 100)], 1, 1);
    let (first, second) = (world.offer("chat"), world.offer("chat"));
    world.poll();
    world.scheduler.cancelled(first);
    assert_eq!(world.dispatched()[0].0, second);
}

#[test]
fn closed_ticket_ignored() {
    let mut world = World::new(vec![class("chat", 1, 100)], 1, 1);
    let ticket = world.offer("chat");
    world.poll();
    world.finish(ticket);
    world.finish(ticket);
    world.scheduler.first_token(ticket, world.now);
    world.scheduler.cancelled(ticket);
    assert_eq!(world.scheduler.in_flight(world.backends[0]), 0);
}

#[test]
fn revision_keeps_state() {
    let mut world = World::new(vec![class("chat", 1, 100), class("old", 0, 10)], 1, 1);
    let key = world.scheduler.class("chat");
    let (_, _, dropped) = (world.offer("chat"), world.offer("chat"), world.offer("old"));
    world.poll();
    let next = Spec { revision: 2, ..spec(vec![class("chat", 3, 100)], 2) };
    world.scheduler.configure(next).expect("the revision is newer");
    assert_eq!(world.scheduler.class("chat"), key);
    assert_eq!(world.scheduler.class("old"), None);
    let actions = world.poll();
    let refused = actions.iter().find_map(|it| match it {
        Action::Refuse { ticket, refusal } => Some((*ticket, refusal.reason)),
        _ => None,
    });
    assert_eq!(refused, Some((dropped, RefusalReason::Unknown)));
    let figures = world.scheduler.class_counts(key.expect("the class stayed"), world.pool);
    assert_eq!((figures.running, figures.waiting), (2, 0), "the new slots hold at once");
}

#[test]
fn older_revision_refused() {
    let mut world = World::new(vec![class("chat", 1, 100)], 1, 1);
    let older = Spec { revision: 0, ..spec(vec![class("chat", 1, 100)], 1) };
    let error = world.scheduler.configure(older);
    assert_eq!(error, Err(SpecError::Stale { offered: 0, current: 1 }));
}

#[test]
fn shares_over_whole() {
    let mut world = World::new(vec![class("chat", 1, 100)], 1, 1);
    let spec = spec(vec![class("chat", 1, 600), class("draft", 0, 500)], 1);
    let error = world.scheduler.configure(spec);
    assert_eq!(error, Err(SpecError::SharesOverWhole { sum_permille: 1100 }));
}
