//! Servers that state how slow they are: lasting differences, moments, and what all routers do together.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use fixture::{Fixture, class, load_report, spec};
use policy::{
    BackendKey, ClassSpec, KeptConnectionSettings, LoadReport, OtherLoad, Pacing, PendingWork,
    Prompt, PromptPart, Settings, Ticket,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 16;
const TOKENS_PER_MS: f64 = 112.0;

fn fixture(seed: u64, servers: usize) -> Fixture {
    let settings = Settings {
        seed,
        others: OtherLoad::Decaying,
        pacing: Pacing::Off,
        // Without the preference for connected servers, the choices show the effect of the figures alone.
        kept_connections: KeptConnectionSettings { max: 0, ..Default::default() },
        ..Settings::default()
    };
    let note = ClassSpec {
        first_token_target_ms: 250,
        between_token_target_ms: 120,
        ..class("note", 9, 0)
    };
    let summary = ClassSpec {
        first_token_target_ms: 1_500,
        between_token_target_ms: 120,
        ..class("summary", 1, 0)
    };
    Fixture::with(settings, spec(vec![note, summary], SLOTS), servers)
}

/// A prompt whose first part is shared by all prompts with the same `prefix`.
fn prompt(prefix: u64, shared: u32, own: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [part(prefix, shared), part(1_000_000 + prefix, own)];
    Prompt { parts: parts.into_iter().filter(|it| it.tokens > 0).collect() }
}

fn place(fixture: &mut Fixture, class: &str, prompt: Prompt) -> (Ticket, BackendKey) {
    let offer = fixture.new_offer(class, "a");
    let ticket =
        fixture.scheduler.offer_prompt(fixture.now, offer, prompt).expect("it is admitted");
    let placed = fixture.poll_dispatches();
    let place = *placed.iter().find(|it| it.0 == ticket).expect("a slot is free");
    fixture.scheduler.dispatched(ticket, fixture.now);
    place
}

/// Reports what a server states with an answer.
fn state(fixture: &mut Fixture, backend: BackendKey, percent: u32) {
    let in_flight = fixture.scheduler.in_flight(backend);
    let report = LoadReport {
        incarnation: None,
        slowness_percent: Some(percent),
        age: Duration::ZERO,
        ..load_report(1, in_flight, SLOTS)
    };
    fixture.scheduler.load_report(fixture.now, backend, &report);
}

fn state_all(fixture: &mut Fixture, percent: impl Fn(usize) -> u32) {
    for server in 0..fixture.backends.len() {
        let key = fixture.backends[server];
        state(fixture, key, percent(server));
    }
}

/// The part of the requests that a router sends to the slow tenth of its servers while their figures vary by a
/// factor of two, after `learning` requests.
fn slow_share(seed: u64, learning: usize, is_stated: bool) -> f64 {
    const SERVERS: usize = 40;
    const SLOW_SERVERS: usize = SERVERS / 10;
    const SLOW_PERCENT: f64 = 220.0;
    const COUNTED: usize = 100;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fixture = fixture(seed, SERVERS);
    let mut running: Vec<(u64, Ticket)> = Vec::new();
    let (mut now_ms, mut slow) = (0, 0);
    for number in 0..learning + COUNTED {
        now_ms += 100;
        fixture.advance(100);
        let (ended, others) = running.into_iter().partition::<Vec<_>, _>(|it| it.0 <= now_ms);
        running = others;
        ended.into_iter().for_each(|it| fixture.finish(it.1));
        let (ticket, backend) = place(&mut fixture, "summary", prompt(0, 0, 4_000));
        let is_slow = fixture.server_index(backend) < SLOW_SERVERS;
        let usual = if is_slow { SLOW_PERCENT } else { 100.0 };
        let percent = usual * 2.0_f64.powf(rng.random_range(-1.0..1.0));
        if is_stated {
            state(&mut fixture, backend, percent as u32);
        }
        running.push((now_ms + (3.0 * percent) as u64, ticket));
        slow += usize::from(is_slow && number >= learning);
    }
    slow as f64 / COUNTED as f64
}

/// Guards against as many requests to the slow tenth of the servers as to the others, and against choices that
/// follow each momentary figure instead of the lasting speed. The load is steady, and each of many routers
/// has seen a server a few times only.
#[test]
fn unlike_speeds() {
    const ROUTERS: u64 = 30;
    let share = |learning, is_stated| {
        let shares = (0..ROUTERS).map(|it| slow_share(it, learning, is_stated));
        shares.sum::<f64>() / ROUTERS as f64
    };
    for (learning, share_max) in [(100, 0.05), (300, 0.04)] {
        let (stated, unstated) = (share(learning, true), share(learning, false));
        println!(
            "after {learning} requests: {stated:.3} to the slow tenth, {unstated:.3} if unstated"
        );
        assert!(stated < share_max, "{stated} after {learning} requests");
    }
}

/// The part of the requests that a server of eight gets while each has some in flight.
fn share_of(fixture: &mut Fixture, server: usize) -> f64 {
    const REQUESTS: usize = 32;
    let placed: Vec<_> =
        (0..REQUESTS).map(|_| place(fixture, "summary", prompt(0, 0, 1_000))).collect();
    let there = placed.iter().filter(|it| fixture.server_index(it.1) == server).count();
    placed.into_iter().for_each(|it| fixture.finish(it.0));
    there as f64 / REQUESTS as f64
}

/// Guards against requests to a server that has just stated that it is slow, and against avoiding it for long
/// after that moment. The load is a burst on servers that are otherwise alike.
#[test]
fn slow_moment() {
    const SLOW: usize = 3;
    let mut fixture = fixture(1, 8);
    for _ in 0..10 {
        state_all(&mut fixture, |_| 100);
        fixture.advance(500);
    }
    let slow = fixture.backends[SLOW];
    state(&mut fixture, slow, 900);
    let at_once = share_of(&mut fixture, SLOW);
    assert!(at_once < 0.04, "{at_once}");
    fixture.advance(1_500);
    let later = share_of(&mut fixture, SLOW);
    assert!(later > 0.07, "{later}");
}

/// The most requests that one server gets if each of many routers sends one, after all have just heard the same
/// figures.
fn largest_crowd(percent: impl Fn(usize) -> u32) -> usize {
    const ROUTERS: u64 = 40;
    const SERVERS: usize = 40;
    let mut counts = [0; SERVERS];
    for seed in 0..ROUTERS {
        let mut fixture = fixture(seed, SERVERS);
        state_all(&mut fixture, &percent);
        let (_, backend) = place(&mut fixture, "note", prompt(0, 0, 1_000));
        counts[fixture.server_index(backend)] += 1;
    }
    counts.into_iter().max().expect("there are servers")
}

/// Guards against routers that all send their next request to the one server that has stated a low figure. The
/// load is one request of each router at the same moment.
#[test]
fn no_herd() {
    const CROWD_MAX: usize = 10;
    let crowd = largest_crowd(|server| if server == 0 { 50 } else { 100 });
    assert!(crowd <= CROWD_MAX, "a fast server: {crowd}");
    let crowd = largest_crowd(|server| if server == 0 { 100 } else { 400 });
    assert!(crowd <= CROWD_MAX, "the only server that is not slow: {crowd}");
}

/// Guards against strict requests beside a long prompt at the server that has cached their prefix, whose
/// reading alone exceeds their target, and against refusing them when there is one everywhere.
#[test]
fn beside_long_prompts() {
    let long = PendingWork { requests: 1, unread_tokens: 50_000 };
    let mut fixture = fixture(1, 8);
    state_all(&mut fixture, |_| 100);
    let note = || prompt(7, 6_000, 500);
    let (ticket, home) = place(&mut fixture, "note", note());
    fixture.finish(ticket);
    fixture.scheduler.set_others_work(fixture.now, fixture.pool, &[(home, long)]);
    let (ticket, beside) = place(&mut fixture, "note", note());
    assert_ne!(beside, home, "a long prompt is read there");
    fixture.finish(ticket);
    let everywhere: Vec<_> = fixture.backends.iter().map(|it| (*it, long)).collect();
    fixture.scheduler.set_others_work(fixture.now, fixture.pool, &everywhere);
    place(&mut fixture, "note", note());
}

/// Guards against strict requests to a server that has just stated that it is so slow that they would miss their
/// target, though it has cached their prefix.
#[test]
fn strict_at_slow_server() {
    let mut fixture = fixture(1, 8);
    state_all(&mut fixture, |_| 100);
    let note = || prompt(7, 6_000, 1_100);
    let (ticket, home) = place(&mut fixture, "note", note());
    fixture.finish(ticket);
    state(&mut fixture, home, 1_000);
    let (ticket, elsewhere) = place(&mut fixture, "note", note());
    assert_ne!(elsewhere, home);
    fixture.finish(ticket);
    // No prompt counts as recently sent any more.
    fixture.advance(10_000);
    assert_eq!(place(&mut fixture, "note", note()).1, home);
}

/// Guards against figures that no server can mean: they are ignored or bounded, and do no lasting harm.
#[test]
fn odd_figures() {
    let mut fixture = fixture(1, 4);
    let server = fixture.backends[0];
    state(&mut fixture, server, 0);
    assert_eq!(fixture.scheduler.slowness_percent(fixture.now, server), None);
    state(&mut fixture, server, u32::MAX);
    assert_eq!(fixture.scheduler.slowness_percent(fixture.now, server), Some(1_000));
    fixture.advance(2_000);
    let later = fixture.scheduler.slowness_percent(fixture.now, server).expect("it has stated one");
    assert!(later < 250, "{later}");
    for _ in 0..100 {
        fixture.advance(200);
        state(&mut fixture, server, 1);
    }
    let least = fixture.scheduler.slowness_percent(fixture.now, server);
    assert!(least.is_some_and(|it| (50..60).contains(&it)), "{least:?}");
}

/// Sends long prompts one after another that are read at `tokens_per_ms`; every fourth takes four times as long,
/// as if its prefix had been evicted. Returns the speed that the router goes by.
fn learned_speed(requests: u32, tokens_per_ms: f64) -> f64 {
    let mut fixture = fixture(1, 8);
    state_all(&mut fixture, |_| 100);
    for number in 0..requests {
        let (ticket, backend) = place(&mut fixture, "summary", prompt(0, 0, 20_000));
        let factor = if number % 4 == 3 { 4.0 } else { 1.0 };
        let slowness = if number % 2 == 0 { 2 } else { 1 };
        let time_ms = 20_000.0 / tokens_per_ms * factor * f64::from(slowness);
        fixture.now += Duration::from_secs_f64(time_ms / 1e3);
        state(&mut fixture, backend, slowness * 100);
        fixture.scheduler.first_token(ticket, fixture.now);
        fixture.finish(ticket);
        fixture.advance(20_000);
    }
    fixture.scheduler.prefill_tokens_per_ms(fixture.pool)
}

/// Guards against estimates from a constant in pools that read faster or slower than it, against following the first
/// few samples, and against unbounded ones. The load is single long prompts.
#[test]
fn reading_speed() {
    let start = Settings::default().prefill_tokens_per_ms;
    assert_eq!(learned_speed(0, TOKENS_PER_MS), start);
    let early = learned_speed(2, TOKENS_PER_MS);
    assert!((start..start * 1.4).contains(&early), "{early}");
    let fast = learned_speed(120, TOKENS_PER_MS);
    assert!((90.0..120.0).contains(&fast), "{fast}");
    let slow = learned_speed(120, 20.0);
    assert!((17.0..24.0).contains(&slow), "{slow}");
    let absurd = learned_speed(200, 1e7);
    assert!(absurd <= 1_000.0, "{absurd}");
}
