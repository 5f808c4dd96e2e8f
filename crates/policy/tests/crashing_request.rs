//! A request that crashes servers is quarantined; requests that ran on the same servers are not.

#[path = "support/fixture.rs"]
mod fixture;

use std::{collections::BTreeSet, time::Duration};

use fixture::{Fixture, class, spec};
use policy::{
    Action, BackendKey, CrashSite, Execution, Failure, Offer, Outcome, ProbeResult,
    QuarantineEntry, RefusalReason, Repeat, Settings, Ticket,
};
use proptest::prelude::*;

const CRASHING_HASH: u64 = 0xbad;
const SERVERS: usize = 8;

fn fixture(seed: u64) -> Fixture {
    fixture_with_incarnation(seed, 1)
}

fn fixture_with_incarnation(seed: u64, incarnation: u64) -> Fixture {
    let settings = Settings { seed, ..Settings::default() };
    let mut fixture = Fixture::with(settings, spec(vec![class("chat", 1, 100)], 4), SERVERS);
    (0..SERVERS).for_each(|it| {
        fixture.list_server(&format!("s{it}"), incarnation);
    });
    fixture
}

fn offer(fixture: &mut Fixture, request_hash: u64) -> Option<Ticket> {
    let offer =
        Offer { request_hash, repeat: Repeat::Idempotent, ..fixture.new_offer("chat", "a") };
    fixture.scheduler.offer(fixture.now, offer).ok()
}

fn offer_harmless(fixture: &mut Fixture, first_hash: u64, count: u64) {
    for hash in first_hash..first_hash + count {
        offer(fixture, hash).expect("a harmless request is admitted");
    }
}

/// Reports the crash of a server for each request that runs on it.
fn crash(fixture: &mut Fixture, server: BackendKey, running: &mut Vec<(Ticket, BackendKey)>) {
    let outcome = Outcome::Failed(Failure::Reset, Execution::MayHaveRun);
    for (ticket, _) in running.extract_if(.., |it| it.1 == server) {
        fixture.scheduler.retry(ticket, outcome, fixture.now);
    }
}

/// Sends the crashing request repeatedly from several callers; returns the crashed servers.
fn resend(fixture: &mut Fixture, copies: usize, rounds: usize) -> BTreeSet<BackendKey> {
    let mut crashed = BTreeSet::new();
    let mut running = Vec::new();
    for round in 0..rounds {
        let crashing: BTreeSet<_> =
            (0..copies).filter_map(|_| offer(fixture, CRASHING_HASH)).collect();
        offer_harmless(fixture, 100 + 4 * round as u64, 4);
        fixture.advance(60);
        let started = fixture.poll_dispatches();
        let affected: BTreeSet<_> =
            started.iter().filter(|it| crashing.contains(&it.0)).map(|it| it.1).collect();
        running.extend(started);
        crashed.extend(&affected);
        affected.into_iter().for_each(|it| crash(fixture, it, &mut running));
        running.drain(..).for_each(|it| fixture.finish(it.0));
    }
    crashed
}

proptest! {
    #![proptest_config(fixture::deterministic(200))]

    #[test]
    fn crash_limit(seed in any::<u64>(), copies in 1..6_usize) {
        let mut fixture = fixture(seed);
        prop_assert!(resend(&mut fixture, copies, 6).len() <= 2);
        let refusal = offer(&mut fixture, CRASHING_HASH);
        prop_assert!(refusal.is_none());
    }

    #[test]
    fn crash_limit_across_routers(seeds in proptest::collection::vec(any::<u64>(), 2..6)) {
        let mut crashed = BTreeSet::new();
        let mut entries = Vec::new();
        for (idx, seed) in seeds.into_iter().enumerate() {
            let mut fixture = fixture_with_incarnation(seed, 1 + idx as u64);
            fixture.scheduler.import_quarantine(fixture.now, &entries);
            let crashes = resend(&mut fixture, 1, 1);
            crashed.extend(crashes.into_iter().map(|it| (idx, it)));
            entries = fixture.scheduler.export_quarantine(fixture.now);
        }
        prop_assert!(crashed.len() <= 2);
    }
}

#[test]
fn harmless_requests_cleared() {
    let mut fixture = fixture(7);
    let mut running = Vec::new();
    let crashing = offer(&mut fixture, CRASHING_HASH).expect("no crash is recorded yet");
    running.extend(fixture.poll_dispatches());
    offer_harmless(&mut fixture, 1, 24);
    running.extend(fixture.poll_dispatches());
    let first = running[0].1;
    crash(&mut fixture, first, &mut running);
    fixture.advance(60);
    let again = fixture.poll_dispatches();
    let servers: BTreeSet<_> = again.iter().map(|it| it.1).collect();
    assert_eq!(servers.len(), again.len(), "no two suspects share a server");
    let second = again.iter().find(|it| it.0 == crashing).expect("a slot was free").1;
    running.extend(again);
    crash(&mut fixture, second, &mut running);
    fixture.advance(60);
    running.extend(fixture.poll_dispatches());
    running.drain(..).for_each(|it| fixture.finish(it.0));
    let refused = (1..=24).filter(|it| offer(&mut fixture, *it).is_none()).count();
    assert_eq!(refused, 0);
}

#[test]
fn entry_expires() {
    let mut fixture = fixture(3);
    resend(&mut fixture, 1, 3);
    let crashing = Offer { request_hash: CRASHING_HASH, ..fixture.new_offer("chat", "a") };
    let refusal = fixture.scheduler.offer(fixture.now, crashing).expect_err("it is quarantined");
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    fixture.now += refusal.retry_after;
    assert!(offer(&mut fixture, CRASHING_HASH).is_some());
}

/// Guards against the refusal of a request that is asked for often and was on two crashed servers by
/// chance: one that has completed before is refused after a third crash only.
#[test]
fn completed_before() {
    let mut fixture = fixture(11);
    let mut refused_after = 0;
    for round in 0..4 {
        let Some(ticket) = offer(&mut fixture, CRASHING_HASH) else { break };
        let mut running = fixture.poll_dispatches();
        if round == 0 {
            fixture.finish(ticket);
            continue;
        }
        let server = running[0].1;
        crash(&mut fixture, server, &mut running);
        fixture.scheduler.cancelled(ticket);
        refused_after = round;
    }
    assert_eq!(refused_after, 3);
    assert!(offer(&mut fixture, CRASHING_HASH).is_none());
}

/// Guards against other routers that keep a suspect whose request has completed here.
#[test]
fn cleared_suspect_exported() {
    let mut fixture = fixture(5);
    let ticket = offer(&mut fixture, CRASHING_HASH).expect("no crash is recorded yet");
    let mut running = fixture.poll_dispatches();
    let server = running[0].1;
    crash(&mut fixture, server, &mut running);
    let crashes = |fixture: &mut Fixture| {
        let entries = fixture.scheduler.export_quarantine(fixture.now);
        entries.iter().map(|it| (it.crashes.len(), it.completed_ms_ago)).collect::<Vec<_>>()
    };
    assert_eq!(crashes(&mut fixture), [(1, None)]);
    fixture.advance(60);
    fixture.poll_dispatches();
    fixture.finish(ticket);
    fixture.advance(10);
    assert_eq!(crashes(&mut fixture), [(0, Some(10))]);
}

/// Guards against a copy of the request that waits in the queue until its deadline, as no server may
/// run it, when another router finds out that it crashes servers.
#[test]
fn queued_copy_refused() {
    let mut fixture = fixture(9);
    let running = offer(&mut fixture, CRASHING_HASH).expect("no crash is recorded yet");
    let started = fixture.poll_dispatches();
    // One attempt failed and waits for its retry.
    let outcome = Outcome::Failed(Failure::Reset, Execution::MayHaveRun);
    fixture.scheduler.retry(running, outcome, fixture.now);
    let site = |server_hash| CrashSite { server_hash, incarnation: 1, returns: 0 };
    let crashes = vec![site(1), site(2)];
    let entry = QuarantineEntry {
        request_hash: CRASHING_HASH,
        crashes,
        completed_ms_ago: None,
        is_confirmed: false,
        ttl_ms: 60_000,
    };
    fixture.scheduler.import_quarantine(fixture.now, &[entry]);
    let refused = fixture.poll().into_iter().find_map(|it| match it {
        Action::Refuse { ticket, refusal } if ticket == running => Some(refusal),
        _ => None,
    });
    let refusal = refused.expect("it is refused at once");
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert!(refusal.retry_after >= Duration::from_secs(60));
    assert_eq!(started.len(), 1, "it ran once");
}

/// Guards against the refusal of requests that were on two servers which crashed with many others:
/// servers that fail together have a common cause, which is no request.
#[test]
fn servers_crash_together() {
    let mut fixture = fixture(13);
    offer_harmless(&mut fixture, 1, 24);
    let mut running = fixture.poll_dispatches();
    for servers in [0..4, 4..8] {
        let servers: Vec<_> = servers.map(|it| fixture.backends[it]).collect();
        servers.iter().for_each(|it| crash(&mut fixture, *it, &mut running));
        fixture.advance(60);
        running.extend(fixture.poll_dispatches());
        fixture.advance(2_000);
        // The servers that crashed first are back when the others crash.
        for server in servers {
            fixture.scheduler.probe_result(server, fixture.now, ProbeResult::Alive);
        }
    }
    let refused = (1..=24).filter(|it| offer(&mut fixture, *it).is_none()).count();
    assert_eq!(refused, 0);
}

/// Guards against a request that goes on crashing servers because others crash at the same time.
#[test]
fn crash_among_others() {
    let mut fixture = fixture(17);
    offer_harmless(&mut fixture, 1, 8);
    let mut running = fixture.poll_dispatches();
    let others: Vec<_> = (0..2).map(|it| fixture.backends[it]).collect();
    others.iter().for_each(|it| crash(&mut fixture, *it, &mut running));
    let crashed = resend(&mut fixture, 1, 6);
    assert!(crashed.len() <= 3, "{crashed:?}");
    assert!(offer(&mut fixture, CRASHING_HASH).is_none());
}

/// Guards against two requests that crash servers by turns, each of which hides the other's crashes.
#[test]
fn two_at_once() {
    let mut fixture = fixture(19);
    let mut crashes = 0;
    for _ in 0..6 {
        for hash in [CRASHING_HASH, CRASHING_HASH + 1] {
            let Some(ticket) = offer(&mut fixture, hash) else { continue };
            let mut running = fixture.poll_dispatches();
            if let Some((_, server)) = running.first().copied() {
                crash(&mut fixture, server, &mut running);
                crashes += 1;
                fixture.advance(100);
                fixture.scheduler.probe_result(server, fixture.now, ProbeResult::Alive);
            }
            fixture.scheduler.cancelled(ticket);
        }
    }
    assert!(crashes <= 6, "{crashes} crashes, three for each request");
    assert!(offer(&mut fixture, CRASHING_HASH).is_none());
    assert!(offer(&mut fixture, CRASHING_HASH + 1).is_none());
}
