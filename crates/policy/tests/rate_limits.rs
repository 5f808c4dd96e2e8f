//! Statements on the rate limits of servers, and the permits of one router.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use fixture::{Fixture, class};
use policy::{
    Allowance, LimitChange, LimitEntry, LimitStatement, RefusalReason, RequestRate, ServerHash,
};

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

/// Guards against an answer that was overtaken and lifts or raises a limit, and against a lower limit that
/// is believed too late.
#[test]
fn answers_overtake() {
    let now = Instant::now();
    let (sent_before, sent_after) =
        (now - Duration::from_millis(50), now + Duration::from_millis(50));
    let known = LimitStatement { rate: Some(rate(2.0)), at: now };
    let later = now + Duration::from_millis(100);
    let merged = |new: Option<RequestRate>, sent_at| {
        let mut statement = known;
        let change = statement.merge(LimitStatement::of_answer(Some(known), new, sent_at, later));
        (statement.rate, change)
    };
    assert_eq!(merged(None, sent_before), (Some(rate(2.0)), LimitChange::Outdated));
    assert_eq!(merged(None, sent_after), (None, LimitChange::Changed));
    assert_eq!(merged(Some(rate(3.0)), sent_before), (Some(rate(2.0)), LimitChange::Outdated));
    assert_eq!(merged(Some(rate(3.0)), sent_after), (Some(rate(3.0)), LimitChange::Changed));
    assert_eq!(merged(Some(rate(1.0)), sent_before), (Some(rate(1.0)), LimitChange::Changed));
    assert_eq!(merged(Some(rate(2.0)), sent_before), (Some(rate(2.0)), LimitChange::Unchanged));
}

/// Guards against values that are no rate and against very large ones.
#[test]
fn values_of_rates() {
    for value in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RequestRate::from_per_second(value), None, "{value}");
    }
    assert_eq!(rate(0.0).per_second(), 0.0);
    assert_eq!(rate(1.4).per_second(), 1.4);
    assert!(rate(1e300).per_second() >= 4e6);
}

/// Guards against a holder that goes on with more than its last share while nobody answers it, and against
/// permits that do not expire.
#[test]
fn last_share() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut allowance = Allowance::new(start);
    assert_eq!(allowance.available(at(60_000)), 0, "a holder that was never answered has no share");
    for second in 0..4 {
        allowance.answered(at(second * 1_000), rate(10.0), 2);
    }
    assert_eq!(allowance.available(at(3_100)), 2);
    assert_eq!(allowance.available(at(4_000)), 0, "permits expire");
    let taken = (40..240).filter(|it| allowance.take(at(it * 100))).count();
    // 2 a second from the last answer on.
    assert!((36..=42).contains(&taken), "{taken}");
    allowance.answered(at(24_000), rate(10.0), 0);
    assert!(!allowance.take(at(24_100)), "the granter has answered again");
}

/// Guards against a limit that is forgotten because it was told before the server was listed.
#[test]
fn told_before_listed() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 4);
    let listed = fixture.scheduler.limit_entries(fixture.now);
    assert_eq!(listed, []);
    let server = server_hash("late");
    let entry = LimitEntry { server, rate: Some(rate(0.0)), age_ms: 0 };
    fixture.scheduler.import_limits(fixture.now, &[entry]);
    let key = fixture.list_server("late", 1).expect("the pool is known");
    assert_eq!(fixture.scheduler.rate_limit(key), Some(rate(0.0)));
}

/// The hash by which a limit of the server is told.
fn server_hash(name: &str) -> ServerHash {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 0, 4);
    fixture.list_server(name, 1).expect("the pool is known");
    let ticket = fixture.offer("chat");
    fixture.poll();
    fixture.scheduler.limit_named(fixture.now, ticket, Some(rate(1.0)));
    fixture.scheduler.limit_entries(fixture.now)[0].server
}

/// Guards against callers who wait in vain in a pool whose servers all have limits, and against more
/// urgent ones who are refused first.
#[test]
fn refused_by_rate() {
    let mut fixture = Fixture::new(vec![class("chat", 2, 0), class("draft", 1, 0)], 1, 64);
    let ticket = fixture.offer("chat");
    fixture.poll();
    fixture.scheduler.limit_named(fixture.now, ticket, Some(rate(1.0)));
    let drafts = (0..500).filter(|_| fixture.try_offer("draft", "a").is_ok()).count();
    let refused = fixture.try_offer("draft", "a").expect_err("the queue is as long as the wait");
    assert_eq!(refused.reason, RefusalReason::RateLimited);
    assert!(refused.retry_after >= Duration::from_secs(drafts as u64), "{refused:?}");
    assert!(fixture.try_offer("chat", "a").is_ok(), "only more urgent ones are ahead of it");
}
