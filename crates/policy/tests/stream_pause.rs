//! Lower streams make way for pressing urgent requests, and go on afterwards.

#[path = "support/world.rs"]
mod world;

use policy::{Action, Pausing};
use world::{World, class, spec};

fn full_of_drafts() -> (World, Vec<policy::Ticket>) {
    let mut world = World::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    let drafts = world.offer_many("draft", 2);
    world.poll();
    world.stream(&drafts, 40, 3);
    world.poll();
    (world, drafts)
}

#[test]
fn paused_for_urgent() {
    let (mut world, drafts) = full_of_drafts();
    let chat = world.offer("chat");
    world.pass(2_000);
    let actions = world.poll();
    let [Action::Pause { ticket: paused, .. }, Action::Dispatch { ticket, .. }] = actions[..]
    else {
        panic!("a pause and a dispatch are expected, not {actions:?}");
    };
    assert!(drafts.contains(&paused));
    assert_eq!(ticket, chat);
}

#[test]
fn resumed_before_new() {
    let (mut world, _) = full_of_drafts();
    let chat = world.offer("chat");
    world.pass(2_000);
    let Action::Pause { ticket: paused, backend } = world.poll()[0] else {
        panic!("a draft is paused");
    };
    world.offer("draft");
    world.finish(chat);
    assert_eq!(world.poll(), [Action::Resume { ticket: paused, backend }]);
}

#[test]
fn plain_service_not_paused() {
    let mut spec = spec(vec![class("draft", 0, 50), class("chat", 5, 100)], 1);
    spec.pools[0].pausing = Pausing::Unsupported;
    let mut world = World::with(policy::Settings::default(), spec, 1);
    let draft = world.offer("draft");
    world.poll();
    world.stream(&[draft], 40, 3);
    world.offer("chat");
    world.pass(3_000);
    assert_eq!(world.poll(), []);
}
