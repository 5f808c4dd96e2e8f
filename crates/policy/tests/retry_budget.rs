//! Retries only where the outcome allows them, within a budget, at another server.

#[path = "support/world.rs"]
mod world;

use policy::{
    Action, ClassSpec, Execution, Failure, GiveUp, Hedge, Offer, Outcome, Repeat, RetryDecision,
};
use proptest::prelude::*;
use world::{World, class, report};

fn overloaded(execution: Execution) -> Outcome {
    Outcome::Failed(Failure::Overloaded, execution)
}

proptest! {
    #![proptest_config(world::fixed(200))]

    #[test]
    fn budget_holds(permille in 0..300_u32, fails in proptest::collection::vec(any::<bool>(), 1..300)) {
        let chat = ClassSpec { retry_budget_permille: permille, max_attempts: 9, ..class("chat", 1, 100) };
        let mut world = World::new(vec![chat], 3, 64);
        let (mut offers, mut retries, mut running) = (0_u64, 0_u64, Vec::new());
        for fails in fails {
            world.offer("chat");
            offers += 1;
            world.pass(60);
            running.extend(world.dispatched());
            let Some((ticket, _)) = running.pop() else { continue };
            if !fails {
                world.finish(ticket);
                continue;
            }
            let decision = world.scheduler.retry(ticket, overloaded(Execution::NotRun), world.now);
            retries += u64::from(matches!(decision, RetryDecision::Retry { .. }));
            prop_assert!(retries <= 10 + offers * u64::from(permille) / 1000);
        }
    }
}

fn decide(repeat: Repeat, execution: Execution) -> RetryDecision {
    let mut world = World::new(vec![class("chat", 1, 100)], 2, 4);
    let offer = Offer { repeat, ..world.offer_for("chat", "a") };
    let ticket = world.scheduler.offer(world.now, offer).expect("the queue has room");
    world.poll();
    world.scheduler.retry(ticket, overloaded(execution), world.now)
}

#[test]
fn outcome_decides() {
    let forbidden = RetryDecision::GiveUp(GiveUp::NotRetryable);
    assert_eq!(decide(Repeat::AtMostOnce, Execution::MayHaveRun), forbidden);
    assert_eq!(decide(Repeat::Idempotent, Execution::Ran), forbidden);
    assert!(matches!(decide(Repeat::AtMostOnce, Execution::NotRun), RetryDecision::Retry { .. }));
    assert!(matches!(
        decide(Repeat::Idempotent, Execution::MayHaveRun),
        RetryDecision::Retry { .. }
    ));
}

#[test]
fn other_server() {
    let mut world = World::new(vec![class("chat", 1, 100)], 2, 4);
    let ticket = world.offer("chat");
    let first = world.dispatched()[0].1;
    world.scheduler.retry(ticket, overloaded(Execution::NotRun), world.now);
    assert_eq!(world.dispatched(), [], "the delay has not passed");
    world.pass(60);
    let again = world.dispatched();
    assert_eq!(again[0].0, ticket);
    assert_ne!(again[0].1, first);
}

#[test]
fn each_server_once() {
    let mut world = World::new(vec![ClassSpec { max_attempts: 9, ..class("chat", 1, 100) }], 3, 4);
    let ticket = world.offer("chat");
    let mut tried = vec![world.dispatched()[0].1];
    // The third server is the busiest, as one that answers in earnest is beside two that fail.
    let busy = world.backends.iter().find(|it| !tried.contains(it)).copied();
    world.scheduler.load_report(world.now, busy.expect("two are left"), &report(1, 3, 4));
    for _ in 0..2 {
        world.scheduler.retry(ticket, overloaded(Execution::NotRun), world.now);
        world.pass(60);
        tried.push(world.dispatched()[0].1);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3, "a server was tried again before another was tried at all");
    world.scheduler.retry(ticket, overloaded(Execution::NotRun), world.now);
    world.pass(60);
    assert_eq!(world.dispatched().len(), 1, "all were tried, and any but the last will do");
}

#[test]
fn hedge_takes_first_token() {
    let chat = ClassSpec { hedge: Hedge::On, first_token_target_ms: 500, ..class("chat", 1, 100) };
    let mut world = World::new(vec![chat], 2, 4);
    let ticket = world.offer("chat");
    let first = world.dispatched()[0].1;
    world.pass(250);
    let actions = world.poll();
    let [Action::Hedge { ticket: of, hedge, backend }] = actions[..] else {
        panic!("one hedge is expected, not {actions:?}");
    };
    assert_eq!(of, ticket);
    assert_ne!(backend, first);
    world.scheduler.first_token(hedge, world.now);
    assert_eq!(world.poll(), [Action::Cancel { ticket, backend: first }]);
    world.finish(hedge);
    assert_eq!(world.scheduler.in_flight(first), 0);
    assert_eq!(world.scheduler.in_flight(backend), 0);
}

#[test]
fn twin_outlives_failure() {
    let chat = ClassSpec { hedge: Hedge::On, first_token_target_ms: 500, ..class("chat", 1, 100) };
    let mut world = World::new(vec![chat], 2, 4);
    let ticket = world.offer("chat");
    world.poll();
    world.pass(250);
    assert_eq!(world.poll().len(), 1);
    let decision = world.scheduler.retry(ticket, overloaded(Execution::NotRun), world.now);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUp::OtherAttemptRunning));
}
