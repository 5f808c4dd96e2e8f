//! Selection of servers for prompts with shared prefixes, under several patterns of load.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::BTreeSet;

use fixture::{Fixture, class, spec};
use policy::{
    BackendKey, ClassSpec, Health, Offer, OtherLoad, Pacing, PendingWork, Prompt, PromptPart,
    Settings, Ticket,
};

const SERVERS: usize = 12;
const SLOTS: u32 = 64;
/// The length of a prefix with a long shared document.
const LONG_PREFIX_TOKENS: u32 = 13_000;
const SHORT_PREFIX_TOKENS: u32 = 300;
/// The tokens of a prompt beyond the shared prefix.
const OWN_TOKENS: u32 = 1_000;

fn fixture(seed: u64) -> Fixture {
    fixture_with(seed, vec![class("draft", 1, 0), class("chat", 9, 0)])
}

fn fixture_with(seed: u64, classes: Vec<ClassSpec>) -> Fixture {
    let settings =
        Settings { seed, others: OtherLoad::Decaying, pacing: Pacing::Off, ..Settings::default() };
    Fixture::with(settings, spec(classes, SLOTS), SERVERS)
}

/// Drafts, and chats with a stricter target between tokens.
fn two_targets() -> Vec<ClassSpec> {
    let draft = ClassSpec { between_token_target_ms: 1_200, ..class("draft", 1, 0) };
    let chat = ClassSpec { between_token_target_ms: 300, ..class("chat", 9, 0) };
    vec![draft, chat]
}

fn prompt(prefix: u64, shared: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt { parts: vec![part(prefix, shared), part(prefix ^ 0xffff_0000, OWN_TOKENS)] }
}

fn place(fixture: &mut Fixture, class: &str, prompt: Prompt) -> (Ticket, BackendKey) {
    let offer: Offer = fixture.new_offer(class, "a");
    let ticket =
        fixture.scheduler.offer_prompt(fixture.now, offer, prompt).expect("it is admitted");
    let placed = fixture.poll_dispatches();
    *placed.iter().find(|it| it.0 == ticket).expect("a slot is free")
}

/// Guards against routers that send the same prefix to different servers.
#[test]
fn routers_agree() {
    let (mut one, mut other) = (fixture(1), fixture(2));
    let mut used = BTreeSet::new();
    for prefix in 1..=60 {
        let (ticket, home) = place(&mut one, "draft", prompt(prefix, LONG_PREFIX_TOKENS));
        let (ticket_at_other, other_home) =
            place(&mut other, "draft", prompt(prefix, LONG_PREFIX_TOKENS));
        assert_eq!(home, other_home, "prefix {prefix}");
        used.insert(home);
        one.finish(ticket);
        other.finish(ticket_at_other);
    }
    assert!(used.len() > SERVERS / 2, "only {} servers are used", used.len());
}

/// Guards against leaving the server with the cached prefix for a short queue, since another
/// prefill takes longer than the wait.
#[test]
fn short_queue_keeps_affinity() {
    let mut fixture = fixture(1);
    let homes: BTreeSet<_> =
        (0..4).map(|_| place(&mut fixture, "draft", prompt(7, LONG_PREFIX_TOKENS)).1).collect();
    assert_eq!(homes.len(), 1);
}

/// Guards against spreading a prefix with more requests than a server's slots over all servers
/// instead of a few.
#[test]
fn hot_prefix_spreads() {
    let mut fixture = fixture(1);
    let homes: BTreeSet<_> = (0..SLOTS + 6)
        .map(|_| place(&mut fixture, "draft", prompt(7, LONG_PREFIX_TOKENS)).1)
        .collect();
    assert!((2..SERVERS / 2).contains(&homes.len()), "{} servers", homes.len());
}

/// Guards against queueing chats behind the prefill of long prompts.
#[test]
fn chat_beside_drafts() {
    let mut fixture = fixture(1);
    let (_, home) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    // Drafts with the same home server fill its prefill queue.
    let prefixes: Vec<_> =
        (100..2_000).filter(|it| home_of(*it) == fixture.server_index(home)).collect();
    for prefix in prefixes.iter().take(12) {
        place(&mut fixture, "draft", prompt(*prefix, LONG_PREFIX_TOKENS));
    }
    let (_, next) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    assert_ne!(next, home, "a short prefix is cheap to prefill elsewhere");
}

/// Guards against moving the prefixes of remaining servers when other servers are lost.
#[test]
fn lost_servers() {
    let mut fixture = fixture(1);
    let homes: Vec<_> = (1..=40)
        .map(|prefix| {
            let (ticket, home) = place(&mut fixture, "draft", prompt(prefix, LONG_PREFIX_TOKENS));
            fixture.finish(ticket);
            home
        })
        .collect();
    for idx in 0..SERVERS / 3 {
        let name = format!("s{idx}");
        let entry = fixture.entry(&name, 1);
        fixture.scheduler.backend_gone(fixture.now, &entry);
    }
    for (prefix, before) in (1..=40).zip(homes) {
        let (ticket, home) = place(&mut fixture, "draft", prompt(prefix, LONG_PREFIX_TOKENS));
        fixture.finish(ticket);
        match fixture.scheduler.health(before) {
            Some(Health::Gone) => assert_ne!(home, before),
            _ => assert_eq!(home, before, "prefix {prefix}"),
        }
    }
}

/// The index of the server that an idle fixture selects for a prefix.
fn home_of(prefix: u64) -> usize {
    let mut idle = fixture(1);
    let (_, home) = place(&mut idle, "draft", prompt(prefix, LONG_PREFIX_TOKENS));
    idle.server_index(home)
}

/// Guards against mixing chats with a strict target between tokens and drafts with long prompts on
/// a server while neither side is full, whichever router sends them.
#[test]
fn sides_disjoint() {
    let (mut one, mut other) = (fixture_with(1, two_targets()), fixture_with(2, two_targets()));
    let (mut chats, mut drafts) = (BTreeSet::new(), BTreeSet::new());
    for prefix in 1..=60 {
        for fixture in [&mut one, &mut other] {
            let (chat, server) = place(fixture, "chat", prompt(prefix, SHORT_PREFIX_TOKENS));
            chats.insert(server);
            fixture.finish(chat);
            let (draft, server) =
                place(fixture, "draft", prompt(1_000 + prefix, LONG_PREFIX_TOKENS));
            drafts.insert(server);
            fixture.finish(draft);
        }
    }
    assert!(chats.is_disjoint(&drafts), "{} and {}", chats.len(), drafts.len());
    assert!(!chats.is_empty() && drafts.len() > SERVERS / 2);
}

/// The servers of chats after drafts whose tokens come in pauses of so many milliseconds.
fn chat_servers(servers: usize, pause_ms: u64) -> usize {
    let settings = Settings {
        seed: 1,
        others: OtherLoad::Decaying,
        pacing: Pacing::Off,
        ..Settings::default()
    };
    let mut fixture = Fixture::with(settings, spec(two_targets(), SLOTS), servers);
    let (chat, _) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    fixture.finish(chat);
    for prefix in 1..=100 {
        let (draft, _) = place(&mut fixture, "draft", prompt(1_000 + prefix, LONG_PREFIX_TOKENS));
        fixture.stream_tokens(&[draft], pause_ms, 3);
        fixture.finish(draft);
    }
    let chats = (0..10 * servers as u64).map(|prefix| {
        let (ticket, server) = place(&mut fixture, "chat", prompt(prefix, SHORT_PREFIX_TOKENS));
        fixture.finish(ticket);
        // Kept connections end, so that they decide nothing.
        fixture.advance(10_000);
        server
    });
    chats.collect::<BTreeSet<_>>().len()
}

/// Guards against chats that find no room at their own servers and run where pauses exceed their target,
/// as on heavy days of a pool of whatever size.
#[test]
fn chats_avoid_long_pauses() {
    for servers in [30, 100, 300] {
        let (short, long) = (chat_servers(servers, 100), chat_servers(servers, 600));
        assert!(2 * long >= 3 * short, "{servers} servers: {short} and {long} of chats");
    }
}

/// Guards against filling the servers of the strict side before using others, since each further
/// stream makes every step of an engine longer.
#[test]
fn chat_burst_spreads() {
    let mut fixture = fixture_with(1, two_targets());
    place(&mut fixture, "draft", prompt(1_000, LONG_PREFIX_TOKENS));
    for prefix in 1..=u64::from(2 * SLOTS) {
        let (ticket, _) = place(&mut fixture, "chat", prompt(prefix, SHORT_PREFIX_TOKENS));
        fixture.scheduler.first_token(ticket, fixture.now);
    }
    let running = fixture.backends.iter().map(|it| fixture.scheduler.in_flight(*it));
    let most = running.max().expect("the fixture has servers");
    assert!(most < SLOTS / 2, "{most} streams run on one of {SERVERS} servers");
}

fn partitioned() -> Fixture {
    let mut fixture = fixture_with(1, two_targets());
    // A pool is partitioned once both classes have a queue in it.
    for name in ["draft", "chat"] {
        let (ticket, _) = place(&mut fixture, name, prompt(1_000, LONG_PREFIX_TOKENS));
        fixture.finish(ticket);
    }
    fixture
}

fn set_others_work(fixture: &mut Fixture, work: &[(BackendKey, PendingWork)]) {
    fixture.scheduler.set_others_work(fixture.now, fixture.pool, work);
}

/// Guards against ignoring the requests of other routers, and against using their expired reports.
#[test]
fn other_routers_queue() {
    let mut fixture = partitioned();
    let (ticket, home) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    fixture.finish(ticket);
    let queue = PendingWork { requests: 30, unread_tokens: 60_000 };
    set_others_work(&mut fixture, &[(home, queue)]);
    fixture.advance(2_500);
    let (ticket, later) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    assert_eq!(later, home, "the pending work of the other routers has expired");
    fixture.finish(ticket);
    set_others_work(&mut fixture, &[(home, queue)]);
    let (_, next) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    assert_ne!(next, home, "the prompts of the other routers are prefilled first");
}

/// Guards against a log in which a wrong choice cannot be told from a wrong belief: the estimate has
/// the queue as it was known before the request was added to it.
#[test]
fn placement_estimate() {
    let mut fixture = partitioned();
    let (first, home) = place(&mut fixture, "draft", prompt(7, LONG_PREFIX_TOKENS));
    set_others_work(&mut fixture, &[(home, PendingWork { requests: 3, unread_tokens: 5_000 })]);
    let (second, server) = place(&mut fixture, "draft", prompt(7, LONG_PREFIX_TOKENS));
    assert_eq!(server, home);
    let estimate = |it| fixture.scheduler.placement_estimate(it).expect("the prompt is known");
    assert_eq!(estimate(first).home_rank, Some(1));
    assert_eq!((estimate(first).queued_tokens, estimate(first).server_requests), (0, 0));
    let queued = 5_000 + u64::from(estimate(first).prefill_tokens);
    assert_eq!((estimate(second).queued_tokens, estimate(second).server_requests), (queued, 4));
}

/// Guards against another prefill of a prefix in a busy pool, which would delay all requests,
/// because of a long queue at its home server.
#[test]
fn full_pool_keeps_affinity() {
    let mut fixture = partitioned();
    let (ticket, home) = place(&mut fixture, "draft", prompt(7, LONG_PREFIX_TOKENS));
    fixture.finish(ticket);
    let busy = PendingWork { requests: SLOTS, unread_tokens: 20_000 };
    let busier = PendingWork { requests: SLOTS + 40, unread_tokens: 60_000 };
    let all = fixture.backends.clone().into_iter();
    let all: Vec<_> = all.map(|it| (it, if it == home { busier } else { busy })).collect();
    set_others_work(&mut fixture, &all);
    assert_eq!(place(&mut fixture, "draft", prompt(7, LONG_PREFIX_TOKENS)).1, home);
}

/// Guards against sending a burst of long prompts to the servers of the chats instead of queueing
/// them at the lenient side.
#[test]
fn drafts_avoid_strict_side() {
    let mut fixture = partitioned();
    let chats: BTreeSet<_> = (1..=60)
        .map(|prefix| {
            let (ticket, server) = place(&mut fixture, "chat", prompt(prefix, SHORT_PREFIX_TOKENS));
            fixture.finish(ticket);
            server
        })
        .collect();
    let busy = PendingWork { requests: SLOTS, unread_tokens: 40_000 };
    let lenient = fixture.backends.clone().into_iter().filter(|it| !chats.contains(it));
    let all: Vec<_> = lenient.map(|it| (it, busy)).collect();
    set_others_work(&mut fixture, &all);
    for prefix in 1..=40 {
        let (_, server) = place(&mut fixture, "draft", prompt(2_000 + prefix, LONG_PREFIX_TOKENS));
        assert!(!chats.contains(&server), "a long prompt stalls all chats of a server");
    }
}

/// Guards against requests that wait for lost servers of the strict side.
#[test]
fn lost_strict_side() {
    let mut fixture = fixture_with(1, two_targets());
    place(&mut fixture, "draft", prompt(1_000, LONG_PREFIX_TOKENS));
    let mut lost = BTreeSet::new();
    for prefix in 1..=60 {
        let (ticket, server) = place(&mut fixture, "chat", prompt(prefix, SHORT_PREFIX_TOKENS));
        fixture.finish(ticket);
        lost.insert(server);
    }
    for key in &lost {
        let name = format!("s{}", fixture.server_index(*key));
        let entry = fixture.entry(&name, 1);
        fixture.scheduler.backend_gone(fixture.now, &entry);
    }
    let (_, server) = place(&mut fixture, "chat", prompt(1, SHORT_PREFIX_TOKENS));
    assert!(!lost.contains(&server));
}
