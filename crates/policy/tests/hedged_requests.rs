//! A slow request gets a second attempt at another server, within the operator's limit and the retry budget.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, spec};
use policy::{
    Action, BackendKey, ClassSpec, Execution, Failure, GiveUp, Hedge, HedgeRefusal, Offer, Outcome,
    Prompt, PromptPart, Repeat, RequestRate, RetryDecision, Settings, Ticket, VersionHash,
};

/// How long answers take before a slow one.
const USUAL_MS: u64 = 100;
/// Enough answers to learn the delay from, and to earn hedges.
const ANSWERS: usize = 64;
const FULL_LIMIT: u32 = 1_000;

fn hedged_class() -> ClassSpec {
    ClassSpec { hedge: Hedge::On, retry_budget_permille: 200, ..class("chat", 1, 100) }
}

fn settings(hedge_permille: u32) -> Settings {
    Settings { hedge_permille, ..Settings::default() }
}

/// A scheduler that has not seen any request.
fn new_fixture(hedge_permille: u32, class: ClassSpec, servers: usize) -> Fixture {
    Fixture::with(settings(hedge_permille), spec(vec![class], 4), servers)
}

/// A scheduler that has seen [`ANSWERS`] requests, each answered after [`USUAL_MS`].
fn usual_fixture(class: ClassSpec) -> Fixture {
    let mut fixture = new_fixture(FULL_LIMIT, class, 3);
    (0..ANSWERS).for_each(|_| answer_usually(&mut fixture));
    fixture
}

fn answer_usually(fixture: &mut Fixture) {
    let (ticket, _) = begin(fixture);
    fixture.advance(USUAL_MS);
    fixture.scheduler.first_token(ticket, fixture.now);
    fixture.finish(ticket);
    fixture.poll();
}

fn begin(fixture: &mut Fixture) -> (Ticket, BackendKey) {
    let offer = fixture.new_offer("chat", "a");
    begin_with(fixture, offer)
}

/// Offers a request, and reports that its first attempt has begun and may be raced.
fn begin_with(fixture: &mut Fixture, offer: Offer) -> (Ticket, BackendKey) {
    let ticket = fixture.scheduler.offer(fixture.now, offer).expect("the queue has room");
    let dispatches = fixture.poll_dispatches();
    fixture.scheduler.dispatched(ticket, fixture.now);
    fixture.scheduler.await_hedge(ticket, fixture.now);
    let (_, server) = dispatches.into_iter().find(|it| it.0 == ticket).expect("a free slot");
    (ticket, server)
}

fn as_hedge(action: &Action) -> Option<(Ticket, BackendKey)> {
    match action {
        Action::Hedge { hedge, backend, .. } => Some((*hedge, *backend)),
        _ => None,
    }
}

/// The hedge that is started now, if any.
fn poll_hedge(fixture: &mut Fixture) -> Option<(Ticket, BackendKey)> {
    fixture.poll().iter().find_map(as_hedge)
}

fn poll_refusal(fixture: &mut Fixture) -> Option<HedgeRefusal> {
    fixture.poll().iter().find_map(|it| match it {
        Action::HedgeRefused { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Begins a request that goes without an answer for longer than is usual, and polls.
fn poll_slow(fixture: &mut Fixture) -> Vec<Action> {
    begin(fixture);
    fixture.advance(USUAL_MS + 1);
    fixture.poll()
}

/// Guards against a delay that does not follow the class: requests that are hedged before nearly all others
/// have answered cost work for nothing.
#[test]
fn learned_delay() {
    let mut fixture = new_fixture(FULL_LIMIT, hedged_class(), 3);
    for idx in 0..200 {
        let (ticket, _) = begin(&mut fixture);
        fixture.advance(if idx % 50 == 0 { 900 } else { USUAL_MS });
        fixture.scheduler.first_token(ticket, fixture.now);
        fixture.finish(ticket);
    }
    begin(&mut fixture);
    fixture.advance(USUAL_MS - 1);
    assert_eq!(poll_hedge(&mut fixture), None, "most answers take longer");
    fixture.advance(1);
    assert!(poll_hedge(&mut fixture).is_some());
}

/// Guards against hedges from a few first answers, which say little of the class.
#[test]
fn too_few_answers() {
    let mut fixture = new_fixture(FULL_LIMIT, hedged_class(), 3);
    (0..ANSWERS - 1).for_each(|_| answer_usually(&mut fixture));
    begin(&mut fixture);
    fixture.advance(60_000);
    assert_eq!(poll_hedge(&mut fixture), None);
}

/// Guards against a delay of almost nothing where answers take almost no time.
#[test]
fn shortest_delay() {
    let mut fixture = new_fixture(FULL_LIMIT, hedged_class(), 3);
    for _ in 0..ANSWERS {
        let (ticket, _) = begin(&mut fixture);
        fixture.advance(1);
        fixture.finish(ticket);
    }
    begin(&mut fixture);
    fixture.advance(24);
    assert_eq!(poll_hedge(&mut fixture), None);
    fixture.advance(1);
    assert!(poll_hedge(&mut fixture).is_some());
}

/// Guards against a delay that shrinks because the attempts that lose to their hedge are not measured.
#[test]
fn lasting_delay() {
    let mut fixture =
        new_fixture(FULL_LIMIT, ClassSpec { retry_budget_permille: 1_000, ..hedged_class() }, 3);
    for idx in 0..ANSWERS as u64 * 4 {
        let (ticket, _) = begin(&mut fixture);
        fixture.advance(idx % 4 * USUAL_MS);
        fixture.scheduler.first_token(ticket, fixture.now);
        fixture.finish(ticket);
    }
    // One request in four takes 300 ms, unless it is hedged.
    for idx in 0..ANSWERS as u64 * 8 {
        let (ticket, _) = begin(&mut fixture);
        for _ in 0..idx % 4 {
            fixture.advance(USUAL_MS);
            if let Some((hedge, _)) = poll_hedge(&mut fixture) {
                fixture.scheduler.first_token(hedge, fixture.now);
                fixture.finish(hedge);
            }
        }
        fixture.scheduler.first_token(ticket, fixture.now);
        fixture.finish(ticket);
    }
    begin(&mut fixture);
    fixture.advance(299);
    assert_eq!(poll_hedge(&mut fixture), None);
}

/// Guards against more second attempts than the operator allows, also after quiet times.
#[test]
fn limit_kept() {
    const LIMIT_PERMILLE: u32 = 20;
    let class = ClassSpec { retry_budget_permille: 1_000, ..hedged_class() };
    let mut fixture = new_fixture(LIMIT_PERMILLE, class, 3);
    let (mut requests, mut hedges) = (0, 0);
    for idx in 0..5_000 {
        requests += 1;
        let (ticket, _) = begin(&mut fixture);
        let is_slow = idx % 1_000 >= 500 && idx % 3 == 0;
        fixture.advance(if is_slow { 2_000 } else { USUAL_MS });
        if let Some((hedge, _)) = poll_hedge(&mut fixture) {
            hedges += 1;
            fixture.scheduler.first_token(hedge, fixture.now);
            fixture.finish(hedge);
        }
        fixture.scheduler.first_token(ticket, fixture.now);
        fixture.finish(ticket);
        assert!(hedges * 1_000 <= requests * LIMIT_PERMILLE, "{hedges} hedges of {requests}");
    }
    assert!(hedges > 0, "some requests are hedged");
}

/// Guards against hedging that nobody has asked for.
#[test]
fn off_by_default() {
    assert_eq!(Settings::default().hedge_permille, 0);
    let mut fixture = new_fixture(0, hedged_class(), 3);
    (0..ANSWERS).for_each(|_| answer_usually(&mut fixture));
    let (ticket, _) = begin(&mut fixture);
    assert!(!fixture.scheduler.await_hedge(ticket, fixture.now));
    fixture.advance(60_000);
    assert_eq!(fixture.poll(), []);
}

/// Guards against hedges that add to the retries instead of counting as such.
#[test]
fn shared_budget() {
    let class = ClassSpec { retry_budget_permille: 0, ..hedged_class() };
    let fixture_settings = Settings { retry_burst: 1, ..settings(FULL_LIMIT) };
    let mut fixture = Fixture::with(fixture_settings, spec(vec![class], 4), 3);
    (0..ANSWERS).for_each(|_| answer_usually(&mut fixture));
    let (ticket, _) = begin(&mut fixture);
    fixture.advance(USUAL_MS + 1);
    let (hedge, _) = poll_hedge(&mut fixture).expect("one retry is in the budget");
    fixture.scheduler.separate(hedge);
    let failed = Outcome::Failed(Failure::Other, Execution::MayHaveRun);
    fixture.scheduler.finished(hedge, fixture.now, failed);
    let decision = fixture.scheduler.retry(ticket, failed, fixture.now);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUp::RetryBudgetExhausted));
    begin(&mut fixture);
    fixture.advance(USUAL_MS + 1);
    assert_eq!(poll_refusal(&mut fixture), Some(HedgeRefusal::RetryBudget));
}

/// Guards against hedges in a pool in which other requests wait for a slot.
#[test]
fn waiting_requests() {
    let mut fixture = usual_fixture(hedged_class());
    begin(&mut fixture);
    fixture.offer_many("chat", 20);
    fixture.advance(USUAL_MS + 1);
    assert_eq!(poll_refusal(&mut fixture), Some(HedgeRefusal::NoRoom));
}

/// Guards against hedges while servers reject requests for want of room.
#[test]
fn rejecting_servers() {
    let mut fixture = usual_fixture(hedged_class());
    let (rejected, _) = begin(&mut fixture);
    let outcome = Outcome::Failed(Failure::Overloaded, Execution::NotRun);
    fixture.scheduler.finished(rejected, fixture.now, outcome);
    let actions = poll_slow(&mut fixture);
    assert!(matches!(actions[..], [Action::HedgeRefused { reason: HedgeRefusal::NoRoom, .. }]));
}

/// Guards against hedges while a server with a rate limit has no permit left.
#[test]
fn limited_servers() {
    let mut fixture = usual_fixture(hedged_class());
    let (ticket, _) = begin(&mut fixture);
    let rate = RequestRate::from_per_second(0.01);
    assert!(rate.is_some());
    fixture.scheduler.limit_named(fixture.now, ticket, rate);
    fixture.advance(USUAL_MS + 1);
    assert_eq!(poll_refusal(&mut fixture), Some(HedgeRefusal::NoRoom));
}

/// Guards against a second attempt at the server of the first one.
#[test]
fn single_server() {
    let mut fixture = new_fixture(FULL_LIMIT, hedged_class(), 1);
    (0..ANSWERS).for_each(|_| answer_usually(&mut fixture));
    let actions = poll_slow(&mut fixture);
    assert!(matches!(actions[..], [Action::HedgeRefused { reason: HedgeRefusal::NoRoom, .. }]));
}

/// Guards against hedges in a pool whose servers are mostly in use.
#[test]
fn full_pool() {
    let mut fixture = usual_fixture(hedged_class());
    for _ in 0..9 {
        fixture.offer("chat");
    }
    let actions = poll_slow(&mut fixture);
    assert!(matches!(actions[..], [Action::HedgeRefused { reason: HedgeRefusal::NoRoom, .. }]));
}

/// Guards against an order that is sent twice.
#[test]
fn orders_not_hedged() {
    let mut fixture = usual_fixture(hedged_class());
    let offer = Offer { repeat: Repeat::AtMostOnce, ..fixture.new_offer("chat", "a") };
    begin_with(&mut fixture, offer);
    fixture.advance(60_000);
    assert_eq!(fixture.poll(), []);
}

/// Guards against more servers that get a request than its route allows attempts.
#[test]
fn attempts_kept() {
    let class = ClassSpec { max_attempts: 2, ..hedged_class() };
    let mut fixture = usual_fixture(class);
    let (ticket, _) = begin(&mut fixture);
    fixture.advance(USUAL_MS + 1);
    let (hedge, _) = poll_hedge(&mut fixture).expect("a second attempt is allowed");
    let failed = Outcome::Failed(Failure::Other, Execution::MayHaveRun);
    let first = fixture.scheduler.retry(ticket, failed, fixture.now);
    assert_eq!(first, RetryDecision::GiveUp(GiveUp::OtherAttemptRunning));
    let second = fixture.scheduler.retry(hedge, failed, fixture.now);
    assert_eq!(second, RetryDecision::GiveUp(GiveUp::AttemptsExhausted));

    let (retried, _) = begin(&mut fixture);
    fixture.scheduler.retry(retried, failed, fixture.now);
    fixture.advance(60);
    fixture.poll();
    assert!(!fixture.scheduler.await_hedge(retried, fixture.now), "it has used its attempts");
}

/// Guards against a request that ends with the first of its two attempts that fails, and against a third attempt at
/// one of their servers.
#[test]
fn both_attempts_fail() {
    let class = ClassSpec { max_attempts: 3, ..hedged_class() };
    let mut fixture = usual_fixture(class);
    let (ticket, first) = begin(&mut fixture);
    fixture.advance(USUAL_MS + 1);
    let (hedge, second) = poll_hedge(&mut fixture).expect("a second attempt is allowed");
    assert_ne!(first, second);
    let failed = Outcome::Failed(Failure::Other, Execution::MayHaveRun);
    fixture.scheduler.separate(ticket);
    fixture.scheduler.finished(ticket, fixture.now, failed);
    let decision = fixture.scheduler.retry(hedge, failed, fixture.now);
    assert!(matches!(decision, RetryDecision::Retry { .. }), "{decision:?}");
    fixture.advance(60);
    let [(retried, third)] = fixture.poll_dispatches()[..] else { panic!("one dispatch") };
    assert_eq!(retried, hedge);
    assert!(third != first && third != second, "the third server has not been tried");
}

/// Guards against two answers: the attempt that does not answer first is cancelled, and its slot is free.
#[test]
fn first_answer_kept() {
    let mut fixture = usual_fixture(hedged_class());
    let (ticket, first) = begin(&mut fixture);
    fixture.advance(USUAL_MS + 1);
    let actions = fixture.poll();
    let [Action::Hedge { ticket: of, hedge, backend }] = actions[..] else {
        panic!("expected one hedge, got {actions:?}");
    };
    assert_eq!(of, ticket);
    assert_ne!(backend, first);
    fixture.scheduler.first_token(hedge, fixture.now);
    assert_eq!(fixture.poll(), [Action::Cancel { ticket, backend: first }]);
    fixture.finish(hedge);
    assert_eq!(fixture.scheduler.in_flight(first), 0);
    assert_eq!(fixture.scheduler.in_flight(backend), 0);
}

/// Guards against an attempt that ends because the router has given up the other one.
#[test]
fn abandoned_attempt() {
    let mut fixture = usual_fixture(hedged_class());
    let (ticket, first) = begin(&mut fixture);
    fixture.advance(USUAL_MS + 1);
    let (hedge, second) = poll_hedge(&mut fixture).expect("a second attempt is allowed");
    fixture.scheduler.attempt_abandoned(hedge, fixture.now);
    assert_eq!(fixture.poll(), [], "the first attempt goes on");
    assert_eq!(fixture.scheduler.in_flight(second), 0);
    assert_eq!(fixture.scheduler.in_flight(first), 1);
    fixture.finish(ticket);
    assert_eq!(fixture.scheduler.in_flight(first), 0);
}

/// Guards against a second attempt of an answer that has begun.
#[test]
fn begun_answer() {
    let mut fixture = usual_fixture(hedged_class());
    let (ticket, _) = begin(&mut fixture);
    fixture.scheduler.first_token(ticket, fixture.now);
    fixture.advance(60_000);
    assert!(poll_hedge(&mut fixture).is_none());
    assert!(!fixture.scheduler.await_hedge(ticket, fixture.now));
}

/// Guards against a second server that is crashed by a request under suspicion.
#[test]
fn suspected_request() {
    let mut fixture = usual_fixture(hedged_class());
    let offer = fixture.new_offer("chat", "a");
    let (crashing, _) = begin_with(&mut fixture, offer);
    let reset = Outcome::Failed(Failure::Reset, Execution::MayHaveRun);
    fixture.scheduler.finished(crashing, fixture.now, reset);
    begin_with(&mut fixture, offer);
    fixture.advance(USUAL_MS + 1);
    assert_eq!(poll_refusal(&mut fixture), Some(HedgeRefusal::Suspected));
}

/// Guards against a second server that is crashed by a part of a prompt under suspicion.
#[test]
fn suspected_part() {
    let mut fixture = usual_fixture(hedged_class());
    let prompt = |own| {
        let part = |id| PromptPart { id, tokens: 500 };
        Prompt { parts: vec![part(7), part(own)] }
    };
    let begin_prompt = |fixture: &mut Fixture, own| {
        let offer = fixture.new_offer("chat", "a");
        let offered = fixture.scheduler.offer_prompt(fixture.now, offer, prompt(own));
        let ticket = offered.expect("the queue has room");
        fixture.poll();
        fixture.scheduler.await_hedge(ticket, fixture.now);
        ticket
    };
    let crashing = begin_prompt(&mut fixture, 8);
    let reset = Outcome::Failed(Failure::Reset, Execution::MayHaveRun);
    fixture.scheduler.finished(crashing, fixture.now, reset);
    begin_prompt(&mut fixture, 9);
    fixture.advance(USUAL_MS + 1);
    assert_eq!(poll_refusal(&mut fixture), Some(HedgeRefusal::Suspected));
}

/// Guards against a stream that was taken up and goes on at a server of another software version.
#[test]
fn other_version() {
    let mut fixture = usual_fixture(hedged_class());
    let [old, new] = ["1", "2"].map(|it| VersionHash::of("pool", it));
    for (idx, server) in fixture.backends.clone().into_iter().enumerate() {
        fixture.scheduler.set_version(server, if idx == 0 { old } else { new });
    }
    let offer = fixture.new_offer("chat", "a");
    let ticket = fixture.scheduler.offer(fixture.now, offer).expect("the queue has room");
    fixture.scheduler.restrict_version(ticket, old);
    fixture.poll();
    fixture.scheduler.await_hedge(ticket, fixture.now);
    fixture.advance(USUAL_MS + 1);
    assert_eq!(poll_refusal(&mut fixture), Some(HedgeRefusal::NoServer));
}
