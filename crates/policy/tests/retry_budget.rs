//! Requests are retried only if the outcome allows it, within a budget, and at another server.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, load_report};
use policy::{
    ClassSpec, Execution, Failure, FragileAnswer, GiveUp, Offer, Outcome, Repeat, RetryDecision,
    Settings,
};
use proptest::prelude::*;

fn overloaded(execution: Execution) -> Outcome {
    Outcome::Failed(Failure::Overloaded, execution)
}

proptest! {
    #![proptest_config(fixture::deterministic(200))]

    #[test]
    fn budget_not_exceeded(permille in 0..300_u32, fails in proptest::collection::vec(any::<bool>(), 1..300)) {
        let chat = ClassSpec { retry_budget_permille: permille, max_attempts: 9, ..class("chat", 1, 100) };
        let mut fixture = Fixture::new(vec![chat], 3, 64);
        let (mut offers, mut retries, mut running) = (0_u64, 0_u64, Vec::new());
        for fails in fails {
            fixture.offer("chat");
            offers += 1;
            fixture.advance(60);
            running.extend(fixture.poll_dispatches());
            let Some((ticket, _)) = running.pop() else { continue };
            if !fails {
                fixture.finish(ticket);
                continue;
            }
            let decision = fixture.scheduler.retry(ticket, overloaded(Execution::NotRun), fixture.now);
            retries += u64::from(matches!(decision, RetryDecision::Retry { .. }));
            prop_assert!(retries <= 10 + offers * u64::from(permille) / 1000);
        }
    }
}

/// Guards against requests that are given up because servers reject some of what their permits allow: a
/// router with few requests has less budget than that.
#[test]
fn rejected_within_permits() {
    let chat = ClassSpec { retry_budget_permille: 0, max_attempts: 9, ..class("chat", 1, 100) };
    let settings = Settings { retry_burst: 0, ..Settings::default() };
    let mut fixture = Fixture::with(settings, fixture::spec(vec![chat], 4), 2);
    let answer = |is_rejection| FragileAnswer { rejections_max: 10, is_rejection, named: None };
    for _ in 0..20 {
        let ticket = fixture.offer("chat");
        fixture.poll();
        fixture.advance(200);
        fixture.scheduler.fragile_named(fixture.now, ticket, answer(false));
        fixture.finish(ticket);
    }
    let ticket = fixture.offer("chat");
    fixture.poll();
    fixture.scheduler.fragile_named(fixture.now, ticket, answer(true));
    let decision = fixture.scheduler.retry(ticket, overloaded(Execution::NotRun), fixture.now);
    assert!(matches!(decision, RetryDecision::Retry { .. }), "{decision:?}");
}

fn decide(repeat: Repeat, execution: Execution) -> RetryDecision {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 2, 4);
    let offer = Offer { repeat, ..fixture.new_offer("chat", "a") };
    let ticket = fixture.scheduler.offer(fixture.now, offer).expect("the queue has room");
    fixture.poll();
    fixture.scheduler.retry(ticket, overloaded(execution), fixture.now)
}

#[test]
fn retry_by_outcome() {
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
fn retry_at_other_server() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 2, 4);
    let ticket = fixture.offer("chat");
    let first = fixture.poll_dispatches()[0].1;
    fixture.scheduler.retry(ticket, overloaded(Execution::NotRun), fixture.now);
    assert_eq!(fixture.poll_dispatches(), [], "the delay has not passed");
    fixture.advance(60);
    let again = fixture.poll_dispatches();
    assert_eq!(again[0].0, ticket);
    assert_ne!(again[0].1, first);
}

#[test]
fn each_server_once() {
    let mut fixture =
        Fixture::new(vec![ClassSpec { max_attempts: 9, ..class("chat", 1, 100) }], 3, 4);
    let ticket = fixture.offer("chat");
    let mut tried = vec![fixture.poll_dispatches()[0].1];
    // The third server has the highest load, like a working server next to two that fail fast.
    let busy = fixture.backends.iter().find(|it| !tried.contains(it)).copied();
    fixture.scheduler.load_report(
        fixture.now,
        busy.expect("two servers are left"),
        &load_report(1, 3, 4),
    );
    for _ in 0..2 {
        fixture.scheduler.retry(ticket, overloaded(Execution::NotRun), fixture.now);
        fixture.advance(60);
        tried.push(fixture.poll_dispatches()[0].1);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3, "a server was retried before all servers were tried");
    fixture.scheduler.retry(ticket, overloaded(Execution::NotRun), fixture.now);
    fixture.advance(60);
    assert_eq!(
        fixture.poll_dispatches().len(),
        1,
        "all servers were tried, so any but the last one may be used"
    );
}
