//! Where prompts go when engines keep shared parts: patterns of load that decide a day.

#[path = "support/world.rs"]
mod world;

use std::collections::BTreeSet;

use policy::{
    BackendKey, ClassSpec, Health, Offer, OtherLoad, Pacing, PendingWork, Prompt, PromptPart,
    Settings, Ticket,
};
use world::{World, class, spec};

const SERVERS: usize = 12;
const SLOTS: u32 = 64;
/// As many tokens as a long shared document.
const LONG: u32 = 13_000;
const SHORT: u32 = 300;
/// What the request alone adds.
const OWN: u32 = 1_000;

fn world(seed: u64) -> World {
    world_of(seed, vec![class("draft", 1, 0), class("chat", 9, 0)])
}

fn world_of(seed: u64, classes: Vec<ClassSpec>) -> World {
    let settings =
        Settings { seed, others: OtherLoad::Decaying, pacing: Pacing::Off, ..Settings::default() };
    World::with(settings, spec(classes, SLOTS), SERVERS)
}

/// Drafts and chats, whose target between tokens is the stricter one.
fn two_targets() -> Vec<ClassSpec> {
    let draft = ClassSpec { between_token_target_ms: 1_200, ..class("draft", 1, 0) };
    let chat = ClassSpec { between_token_target_ms: 300, ..class("chat", 9, 0) };
    vec![draft, chat]
}

fn prompt(subject: u64, shared: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt { parts: vec![part(subject, shared), part(subject ^ 0xffff_0000, OWN)] }
}

fn place(world: &mut World, class: &str, prompt: Prompt) -> (Ticket, BackendKey) {
    let offer: Offer = world.offer_for(class, "a");
    let ticket = world.scheduler.offer_prompt(world.now, offer, prompt).expect("it is admitted");
    let placed = world.dispatched();
    *placed.iter().find(|it| it.0 == ticket).expect("a slot is free")
}

/// Many routers, each with a part of the requests: they meet at one server for each subject.
#[test]
fn routers_meet() {
    let (mut one, mut other) = (world(1), world(2));
    let mut used = BTreeSet::new();
    for subject in 1..=60 {
        let (ticket, home) = place(&mut one, "draft", prompt(subject, LONG));
        let (twin, same) = place(&mut other, "draft", prompt(subject, LONG));
        assert_eq!(home, same, "subject {subject}");
        used.insert(home);
        one.finish(ticket);
        other.finish(twin);
    }
    assert!(used.len() > SERVERS / 2, "subjects are spread: {}", used.len());
}

/// A few requests for one subject at once wait where it is kept, for reading it anew takes longer.
#[test]
fn short_queue_waits() {
    let mut world = world(1);
    let homes: BTreeSet<_> =
        (0..4).map(|_| place(&mut world, "draft", prompt(7, LONG)).1).collect();
    assert_eq!(homes.len(), 1);
}

/// One subject gets much of the traffic: a server's slots full of it spill over to a few servers
/// instead of all.
#[test]
fn hot_subject_spills() {
    let mut world = world(1);
    let homes: BTreeSet<_> =
        (0..SLOTS + 6).map(|_| place(&mut world, "draft", prompt(7, LONG)).1).collect();
    assert!((2..SERVERS / 2).contains(&homes.len()), "{} servers", homes.len());
}

/// Long prompts arrive beside short chat: chat does not queue behind them.
#[test]
fn chat_beside_drafts() {
    let mut world = world(1);
    let (_, home) = place(&mut world, "chat", prompt(1, SHORT));
    // Drafts whose home is the same server fill it with unread prompts.
    let subjects: Vec<_> =
        (100..2_000).filter(|it| home_of(*it) == home_index(&world, home)).collect();
    for subject in subjects.iter().take(12) {
        place(&mut world, "draft", prompt(*subject, LONG));
    }
    let (_, next) = place(&mut world, "chat", prompt(1, SHORT));
    assert_ne!(next, home, "a short shared part is cheap to read elsewhere");
}

/// Servers are lost: their subjects move, all others stay.
#[test]
fn lost_servers() {
    let mut world = world(1);
    let homes: Vec<_> = (1..=40)
        .map(|subject| {
            let (ticket, home) = place(&mut world, "draft", prompt(subject, LONG));
            world.finish(ticket);
            home
        })
        .collect();
    for idx in 0..SERVERS / 3 {
        let name = format!("s{idx}");
        let sighting = world.sighting(&name, 1);
        world.scheduler.backend_gone(world.now, &sighting);
    }
    for (subject, before) in (1..=40).zip(homes) {
        let (ticket, home) = place(&mut world, "draft", prompt(subject, LONG));
        world.finish(ticket);
        match world.scheduler.health(before) {
            Some(Health::Gone) => assert_ne!(home, before),
            _ => assert_eq!(home, before, "subject {subject}"),
        }
    }
}

/// The index of the server at which an idle world places a subject.
fn home_of(subject: u64) -> usize {
    let mut idle = world(1);
    let (_, home) = place(&mut idle, "draft", prompt(subject, LONG));
    home_index(&idle, home)
}

fn home_index(world: &World, key: BackendKey) -> usize {
    world.backends.iter().position(|it| *it == key).expect("a server of the world")
}

/// Chat with a strict target between tokens and drafts with long prompts: they meet on no engine
/// while neither side is full, whichever router sends them.
#[test]
fn strict_engines_apart() {
    let (mut one, mut other) = (world_of(1, two_targets()), world_of(2, two_targets()));
    let (mut chats, mut drafts) = (BTreeSet::new(), BTreeSet::new());
    for subject in 1..=60 {
        for world in [&mut one, &mut other] {
            let (chat, at) = place(world, "chat", prompt(subject, SHORT));
            chats.insert(at);
            world.finish(chat);
            let (draft, at) = place(world, "draft", prompt(1_000 + subject, LONG));
            drafts.insert(at);
            world.finish(draft);
        }
    }
    assert!(chats.is_disjoint(&drafts), "{} and {}", chats.len(), drafts.len());
    assert!(!chats.is_empty() && drafts.len() > SERVERS / 2);
}

/// Many chats come at once: they leave the engines of their side well before these are full, since
/// each further stream makes every step of an engine longer.
#[test]
fn chat_burst_spills() {
    let mut world = world_of(1, two_targets());
    place(&mut world, "draft", prompt(1_000, LONG));
    for subject in 1..=u64::from(2 * SLOTS) {
        let (ticket, _) = place(&mut world, "chat", prompt(subject, SHORT));
        world.scheduler.first_token(ticket, world.now);
    }
    let running = world.backends.iter().map(|it| world.scheduler.in_flight(*it));
    let most = running.max().expect("the world has servers");
    assert!(most < SLOTS / 2, "{most} streams run on one engine of {SERVERS}");
}

fn divided() -> World {
    let mut world = world_of(1, two_targets());
    // A pool is divided once both classes are known to it.
    for name in ["draft", "chat"] {
        let (ticket, _) = place(&mut world, name, prompt(1_000, LONG));
        world.finish(ticket);
    }
    world
}

fn tell_others(world: &mut World, work: &[(BackendKey, PendingWork)]) {
    world.scheduler.set_others_work(world.now, world.pool, work);
}

/// Many routers, each with few requests at any one engine: what the others have there counts.
#[test]
fn queue_of_others() {
    let mut world = divided();
    let (ticket, home) = place(&mut world, "chat", prompt(1, SHORT));
    world.finish(ticket);
    let queue = PendingWork { requests: 30, unread_tokens: 60_000 };
    tell_others(&mut world, &[(home, queue)]);
    world.pass(2_500);
    let (ticket, later) = place(&mut world, "chat", prompt(1, SHORT));
    assert_eq!(later, home, "the others were silent for too long");
    world.finish(ticket);
    tell_others(&mut world, &[(home, queue)]);
    let (_, next) = place(&mut world, "chat", prompt(1, SHORT));
    assert_ne!(next, home, "the others' prompts are read first there");
}

/// The whole pool is busy: reading a shared part anew would take from everyone, so a long queue at
/// its home is no reason to.
#[test]
fn full_pool_reads_nothing_anew() {
    let mut world = divided();
    let (ticket, home) = place(&mut world, "draft", prompt(7, LONG));
    world.finish(ticket);
    let busy = PendingWork { requests: SLOTS, unread_tokens: 20_000 };
    let busier = PendingWork { requests: SLOTS + 40, unread_tokens: 60_000 };
    let all = world.backends.clone().into_iter();
    let all: Vec<_> = all.map(|it| (it, if it == home { busier } else { busy })).collect();
    tell_others(&mut world, &all);
    assert_eq!(place(&mut world, "draft", prompt(7, LONG)).1, home);
}

/// A burst of long prompts: they queue up at their own engines and leave those of the chats alone.
#[test]
fn drafts_stay_apart() {
    let mut world = divided();
    let chats: BTreeSet<_> = (1..=60)
        .map(|subject| {
            let (ticket, at) = place(&mut world, "chat", prompt(subject, SHORT));
            world.finish(ticket);
            at
        })
        .collect();
    let busy = PendingWork { requests: SLOTS, unread_tokens: 40_000 };
    let lenient = world.backends.clone().into_iter().filter(|it| !chats.contains(it));
    let all: Vec<_> = lenient.map(|it| (it, busy)).collect();
    tell_others(&mut world, &all);
    for subject in 1..=40 {
        let (_, at) = place(&mut world, "draft", prompt(2_000 + subject, LONG));
        assert!(!chats.contains(&at), "a long prompt stops all chats of an engine");
    }
}

/// All engines that chat goes to are lost: it goes elsewhere at once.
#[test]
fn side_is_lost() {
    let mut world = world_of(1, two_targets());
    place(&mut world, "draft", prompt(1_000, LONG));
    let mut lost = BTreeSet::new();
    for subject in 1..=60 {
        let (ticket, at) = place(&mut world, "chat", prompt(subject, SHORT));
        world.finish(ticket);
        lost.insert(at);
    }
    for key in &lost {
        let name = format!("s{}", home_index(&world, *key));
        let sighting = world.sighting(&name, 1);
        world.scheduler.backend_gone(world.now, &sighting);
    }
    let (_, at) = place(&mut world, "chat", prompt(1, SHORT));
    assert!(!lost.contains(&at));
}
