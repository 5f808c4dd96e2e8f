//! What many routers do together that each see a small part of the requests.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::{BTreeMap, BTreeSet};

use fixture::{Fixture, class, spec};
use policy::{
    BackendKey, ClassSpec, MeasuredPauses, OtherLoad, Pacing, PendingWork, Prompt, PromptPart,
    Settings, Ticket,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of a fleet of routers.
const SIZES: [usize; 3] = [30, 100, 300];
const SERVERS: usize = 160;
const SLOTS: u32 = 64;
const SESSIONS: u64 = 40;
const STEP_MS: u64 = 50;
const REQUEST_MS: u64 = 600;
const SECONDS: u64 = 20;
/// All requests, as each router gets a few a second.
const REQUESTS_PER_ROUTER_S: f64 = 2.5;
/// The idle connections that a router keeps for a server, and how long.
const KEPT_MAX: usize = 4;
const KEPT_MS: u64 = 10_000;

/// The prompts of [`prompt`] that a server reads within 0.4 s, the shortest target for a first token.
const READ_IN_TIME: usize = 13;

/// One router with its connections to the servers.
struct Router {
    fixture: Fixture,
    /// When the idle connections to each server became idle.
    idle: BTreeMap<BackendKey, Vec<u64>>,
    running: Vec<(u64, Ticket, BackendKey)>,
}

#[derive(Debug, Default)]
struct Connections {
    requests: usize,
    opened: usize,
}

impl Router {
    fn new(seed: u64, servers: usize) -> Router {
        let settings = Settings {
            seed,
            others: OtherLoad::Decaying,
            pacing: Pacing::Off,
            ..Settings::default()
        };
        let fixture = Fixture::with(settings, spec(vec![class("chat", 1, 0)], SLOTS), servers);
        Router { fixture, idle: BTreeMap::new(), running: Vec::new() }
    }

    fn finish_due(&mut self, now_ms: u64) {
        let (ended, running) = self.running.drain(..).partition::<Vec<_>, _>(|it| it.0 <= now_ms);
        self.running = running;
        for (_, ticket, server) in ended {
            self.fixture.finish(ticket);
            let idle = self.idle.entry(server).or_default();
            if idle.len() < KEPT_MAX {
                idle.push(now_ms);
            }
        }
    }

    fn send(&mut self, now_ms: u64, prompt: Option<Prompt>, connections: &mut Connections) {
        let offer = self.fixture.new_offer("chat", "a");
        let now = self.fixture.now;
        let scheduler = &mut self.fixture.scheduler;
        let admitted = match prompt {
            Some(prompt) => scheduler.offer_prompt(now, offer, prompt),
            None => scheduler.offer(now, offer),
        };
        admitted.expect("the pool has room");
        for (ticket, server) in self.fixture.poll_dispatches() {
            let idle = self.idle.entry(server).or_default();
            idle.retain(|since| now_ms - since < KEPT_MS);
            connections.requests += 1;
            connections.opened += usize::from(idle.pop().is_none());
            self.running.push((now_ms + REQUEST_MS, ticket, server));
        }
    }
}

/// A short prompt that shares its first part with those of the same `session`.
fn prompt(rng: &mut ChaCha8Rng, session: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt { parts: vec![part(session, 100), part(rng.random(), 1_000)] }
}

fn play(routers: usize, has_prompts: bool) -> Connections {
    let mut rng = ChaCha8Rng::seed_from_u64(routers as u64);
    let mut routers: Vec<_> = (0..routers as u64).map(|it| Router::new(it, SERVERS)).collect();
    let mut connections = Connections::default();
    for now_ms in (0..SECONDS * 1_000).step_by(STEP_MS as usize) {
        for router in &mut routers {
            router.finish_due(now_ms);
            if rng.random_bool(REQUESTS_PER_ROUTER_S * STEP_MS as f64 / 1_000.0) {
                let session = rng.random_range(0..SESSIONS);
                let prompt = has_prompts.then(|| prompt(&mut rng, session));
                router.send(now_ms, prompt, &mut connections);
            }
            router.fixture.advance(STEP_MS);
        }
    }
    connections
}

/// Guards against a new connection for most requests: a router with a few requests a second spreads them
/// over all servers, whose idle connections end before it comes back. Nineteen routers need one for half of
/// their requests.
#[test]
fn connections_reused() {
    for routers in SIZES {
        for has_prompts in [true, false] {
            let Connections { requests, opened } = play(routers, has_prompts);
            assert!(
                opened * 2 <= requests,
                "{routers} routers open {opened} connections for {requests} requests, prompts: {has_prompts}"
            );
        }
    }
}

/// Guards against routers that know the same of all servers and all choose the same one in one moment, so
/// that their requests wait for one another there.
#[test]
fn choices_differ() {
    for routers in SIZES {
        let mut placed: BTreeMap<usize, usize> = BTreeMap::new();
        for seed in 0..routers as u64 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            // Sites have about as many servers as routers.
            let mut router = Router::new(seed, routers);
            let fixture = &mut router.fixture;
            let work_of = |(idx, server): (u32, &BackendKey)| {
                (*server, PendingWork { requests: 1 + idx % 20, unread_tokens: 100 })
            };
            let work: Vec<_> = (0..).zip(&fixture.backends).map(work_of).collect();
            fixture.scheduler.set_others_work(fixture.now, fixture.pool, &work);
            let offer = fixture.new_offer("chat", "a");
            let prompt = prompt(&mut rng, seed);
            fixture.scheduler.offer_prompt(fixture.now, offer, prompt).expect("it has room");
            for (_, server) in fixture.poll_dispatches() {
                *placed.entry(fixture.server_index(server)).or_default() += 1;
            }
        }
        let most = placed.values().max().copied().unwrap_or_default();
        assert!(most <= READ_IN_TIME, "{routers} routers send {most} requests to one server");
    }
}

/// Guards against routers that divide the servers between strict and lenient streams each by the pauses that
/// they have measured themselves: they then disagree on the home of a shared prompt, and it is read at several
/// servers.
#[test]
fn homes_agree() {
    for routers in SIZES {
        let mut rng = ChaCha8Rng::seed_from_u64(routers as u64);
        let mut fleet: Vec<_> = (0..routers as u64).map(mixed_router).collect();
        for router in &mut fleet {
            for _ in 0..10 {
                let gap_ms = rng.random_range(200..450);
                stream(router, rng.random(), gap_ms);
            }
        }
        let pool = fleet[0].pool;
        let mut all = MeasuredPauses::default();
        for router in &fleet {
            all += router.scheduler.own_pauses(pool).expect("streams have ended");
        }
        assert_eq!(all.routers as usize, routers);
        fleet.iter_mut().for_each(|it| it.scheduler.set_common_pauses(pool, all));
        for session in 0..40 {
            let homes: BTreeSet<_> = fleet.iter_mut().map(|it| stream(it, session, 100)).collect();
            assert_eq!(homes.len(), 1, "{routers} routers, session {session}");
        }
    }
}

/// A router before [`SERVERS`] servers with a strict and a lenient class.
fn mixed_router(seed: u64) -> Fixture {
    let settings =
        Settings { seed, others: OtherLoad::Decaying, pacing: Pacing::Off, ..Settings::default() };
    let strict = ClassSpec { between_token_target_ms: 300, ..class("chat", 2, 0) };
    let lenient = ClassSpec { between_token_target_ms: 1_200, ..class("draft", 1, 0) };
    let mut router = Fixture::with(settings, spec(vec![strict, lenient], SLOTS), SERVERS);
    let ticket = router.offer("chat");
    router.poll();
    router.finish(ticket);
    router
}

/// Plays a lenient stream in an idle pool, whose prompt begins with that of `session`; returns the server.
fn stream(router: &mut Fixture, session: u64, gap_ms: u64) -> usize {
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = Prompt { parts: vec![part(session, 9_000), part(0, 100)] };
    let offer = router.new_offer("draft", "a");
    let now = router.now;
    router.scheduler.offer_prompt(now, offer, prompt).expect("the pool has room");
    let (ticket, server) = router.poll_dispatches()[0];
    router.stream_tokens(&[ticket], gap_ms, 3);
    router.finish(ticket);
    // The prompt is no recent one any more, and no connection is kept.
    router.advance(10_000);
    router.server_index(server)
}
