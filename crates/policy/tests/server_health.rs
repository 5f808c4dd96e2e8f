//! Health of servers: crashes, stragglers, timeouts of connections, and recovery.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use fixture::{Fixture, class};
use policy::{Action, Execution, Failure, Health, Outcome, ProbeResult, RetryDecision};

fn fixture(servers: usize) -> Fixture {
    Fixture::new(vec![class("chat", 1, 100)], servers, 4)
}

fn fail(fixture: &mut Fixture, ticket: policy::Ticket, failure: Failure) -> RetryDecision {
    let outcome = Outcome::Failed(failure, Execution::NotRun);
    fixture.scheduler.retry(ticket, outcome, fixture.now)
}

fn probes(fixture: &mut Fixture) -> usize {
    fixture.poll().iter().filter(|it| matches!(it, Action::Probe { .. })).count()
}

/// Sends one request; it fails at servers for which `fails` holds.
fn send(fixture: &mut Fixture, fails: impl Fn(usize) -> bool) {
    let ticket = fixture.offer("chat");
    for _ in 0..3 {
        let Some((_, backend)) = fixture.poll_dispatches().first().copied() else { return };
        fixture.advance(10);
        if !fails(fixture.server_index(backend)) {
            return fixture.finish(ticket);
        }
        let outcome = Outcome::Failed(Failure::Other, Execution::NotRun);
        fixture.scheduler.retry(ticket, outcome, fixture.now);
        fixture.advance(60);
    }
    fixture.scheduler.cancelled(ticket);
}

/// Guards against a server that is put out by the requests of one caller, which fail wherever they are
/// sent, or by one event that cuts off all its requests.
#[test]
fn failures_of_others() {
    let mut fixture = fixture(6);
    for turn in 0..400 {
        send(&mut fixture, |_| turn % 3 == 0);
    }
    let tickets = fixture.offer_many("chat", 24);
    fixture.poll();
    fixture.advance(10);
    for ticket in tickets {
        fail(&mut fixture, ticket, Failure::Other);
    }
    let failing = fixture.backends.iter().filter(|it| fixture.scheduler.is_failing(**it));
    assert_eq!(failing.count(), 0);
}

/// Guards against a server that fails at once and is chosen because it is idle.
#[test]
fn failing_server() {
    let mut fixture = fixture(6);
    for _ in 0..400 {
        send(&mut fixture, |server| server == 2);
    }
    assert!(fixture.scheduler.is_failing(fixture.backends[2]));
    for _ in 0..400 {
        send(&mut fixture, |_| false);
    }
    assert!(!fixture.scheduler.is_failing(fixture.backends[2]), "a trial has shown it to be well");
}

#[test]
fn crash_marks_down() {
    let mut fixture = fixture(2);
    let ticket = fixture.offer("chat");
    let crashed = fixture.poll_dispatches()[0].1;
    fail(&mut fixture, ticket, Failure::ConnectRefused);
    assert_eq!(fixture.scheduler.health(crashed), Some(Health::Down));
    fixture.advance(100);
    for _ in 0..4 {
        fixture.offer("chat");
    }
    assert!(fixture.poll_dispatches().iter().all(|it| it.1 != crashed));
}

#[test]
fn probe_restores_server() {
    let mut fixture = fixture(2);
    let ticket = fixture.offer("chat");
    let crashed = fixture.poll_dispatches()[0].1;
    fail(&mut fixture, ticket, Failure::ConnectRefused);
    fixture.advance(500);
    assert_eq!(probes(&mut fixture), 1);
    fixture.scheduler.probe_result(crashed, fixture.now, ProbeResult::Alive);
    assert_eq!(fixture.scheduler.health(crashed), Some(Health::Up));
}

#[test]
fn timeout_keeps_server() {
    let mut fixture = fixture(1);
    let ticket = fixture.offer("chat");
    fixture.poll();
    fail(&mut fixture, ticket, Failure::Timeout);
    assert_eq!(probes(&mut fixture), 1);
    fixture.advance(60);
    assert_eq!(fixture.poll_dispatches().len(), 1, "the only server remains usable");
    fixture.scheduler.probe_result(fixture.backends[0], fixture.now, ProbeResult::Alive);
    assert_eq!(fixture.scheduler.health(fixture.backends[0]), Some(Health::Up));
}

#[test]
fn old_incarnation_failure() {
    let mut fixture = fixture(1);
    let ticket = fixture.offer("chat");
    fixture.poll();
    fixture.list_server("s0", 2);
    fail(&mut fixture, ticket, Failure::Reset);
    assert_eq!(fixture.scheduler.health(fixture.backends[0]), Some(Health::Up));
}

#[test]
fn straggler_avoided() {
    let mut fixture = fixture(3);
    let tickets: Vec<_> = (0..6).map(|_| fixture.offer("chat")).collect();
    let started = fixture.poll_dispatches();
    let slow = started[0].1;
    tickets.iter().for_each(|it| fixture.scheduler.first_token(*it, fixture.now));
    for step in 1..=25 {
        fixture.advance(40);
        for (ticket, backend) in &started {
            if *backend != slow || step % 5 == 0 {
                fixture.scheduler.tokens(*ticket, fixture.now, 1);
            }
        }
        fixture.poll();
    }
    fixture.offer_many("chat", 4);
    let next = fixture.poll_dispatches();
    assert_eq!(next.len(), 4);
    assert!(next.iter().all(|it| it.1 != slow), "the gap was five times as long for one second");
}

#[test]
fn hung_server_avoided() {
    let mut fixture = fixture(3);
    let tickets: Vec<_> = (0..6).map(|_| fixture.offer("chat")).collect();
    let started = fixture.poll_dispatches();
    let hung = started[0].1;
    fixture.stream_tokens(&tickets, 40, 5);
    for _ in 0..5 {
        fixture.advance(40);
        for (ticket, _) in started.iter().filter(|it| it.1 != hung) {
            fixture.scheduler.tokens(*ticket, fixture.now, 1);
        }
        fixture.poll();
    }
    fixture.offer_many("chat", 4);
    assert!(
        fixture.poll_dispatches().iter().all(|it| it.1 != hung),
        "the server sent no token for 200 ms"
    );
}

#[test]
fn new_server_slow_start() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 2, 20);
    let tickets: Vec<_> = (0..10).map(|_| fixture.offer("chat")).collect();
    fixture.poll();
    fixture.stream_tokens(&tickets, 40, 2);
    fixture.list_server("new", 1);
    let new = fixture.scheduler.backend("new").expect("the server was listed");
    fixture.offer_many("chat", 60);
    fixture.poll();
    assert_eq!(fixture.scheduler.in_flight(new), 2, "a tenth of the slots at first");
    fixture.advance(2_500);
    fixture.poll();
    assert_eq!(
        fixture.scheduler.in_flight(new),
        10,
        "half of the slots after half of the slow start"
    );
}

/// Guards against endless wakeups for the probe of a server that left while it was down.
#[test]
fn no_wakeup_for_gone_server() {
    let mut fixture = fixture(2);
    let ticket = fixture.offer("chat");
    let crashed = fixture.poll_dispatches()[0].1;
    fail(&mut fixture, ticket, Failure::ConnectRefused);
    fixture.scheduler.cancelled(ticket);
    for name in ["s0", "s1"] {
        let entry = fixture.entry(name, 1);
        fixture.scheduler.backend_gone(fixture.now, &entry);
    }
    assert_eq!(fixture.scheduler.health(crashed), Some(Health::Gone));
    fixture.advance(10_000);
    fixture.poll();
    assert_eq!(fixture.scheduler.next_wakeup(fixture.now), None);
}

/// Guards against a server that is taken for a straggler because its gaps of microseconds are a multiple
/// of the others' gaps of microseconds.
#[test]
fn microseconds_apart() {
    const GAPS_US: [u64; 3] = [10, 10, 400];
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], GAPS_US.len(), 4);
    fixture.offer_many("chat", 6);
    let started = fixture.poll_dispatches();
    started.iter().for_each(|it| fixture.scheduler.first_token(it.0, fixture.now));
    for (ticket, server) in &started {
        let gap = Duration::from_micros(GAPS_US[fixture.server_index(*server)]);
        for count in 1..20 {
            fixture.scheduler.tokens(*ticket, fixture.now + gap * count, 1);
        }
    }
    fixture.advance(200);
    started.iter().for_each(|it| fixture.finish(it.0));
    fixture.poll();
    assert!(fixture.backends.iter().all(|it| !fixture.scheduler.is_straggler(*it)));
}

/// Guards against a request or a probe to a server within the pause that it has asked for.
#[test]
fn pause_requested() {
    let mut fixture = fixture(2);
    let ticket = fixture.offer("chat");
    let paused = fixture.poll_dispatches()[0].1;
    let pause = Duration::from_secs(4);
    fixture.scheduler.pause_requested(fixture.now, paused, pause);
    fail(&mut fixture, ticket, Failure::Overloaded);
    fixture.scheduler.connection_timed_out(paused, fixture.now);
    for _ in 0..39 {
        fixture.advance(100);
        fixture.offer("chat");
        let actions = fixture.poll();
        let started: Vec<_> = actions.iter().filter_map(fixture::as_dispatch).collect();
        assert!(started.iter().all(|it| it.1 != paused), "{actions:?}");
        assert!(!actions.contains(&Action::Probe { backend: paused }), "{actions:?}");
        started.iter().for_each(|it| fixture.finish(it.0));
    }
    fixture.advance(200);
    assert!(fixture.poll().contains(&Action::Probe { backend: paused }));
}
