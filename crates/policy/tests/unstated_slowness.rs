//! Pools whose servers do not state how slow they are.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, load_report, spec};
use policy::{ClassSpec, OtherLoad, PendingWork, Prompt, PromptPart, Settings, Ticket};

const SERVERS: usize = 20;
const SLOTS: u32 = 8;
const REQUESTS: u64 = 1_200;
/// The servers that were chosen before servers could state how slow they are, in order, as a hash of commit fab8c42.
const CHOICES_OF_PROMPTS: u64 = 16_322_371_878_918_704_929;
const CHOICES_WITHOUT_PROMPTS: u64 = 2_109_627_308_227_663_400;

/// Guards against any other choice of servers for prompts, in deployments whose servers do not state how
/// slow they are.
#[test]
fn prompts_unchanged() {
    assert_eq!(choices(true), CHOICES_OF_PROMPTS);
}

/// Guards against any other choice of servers for requests without a prompt.
#[test]
fn requests_unchanged() {
    assert_eq!(choices(false), CHOICES_WITHOUT_PROMPTS);
}

/// Plays a mixed load with load reports and work of other routers; returns the hash of the servers chosen.
fn choices(has_prompts: bool) -> u64 {
    let settings = Settings { seed: 7, others: OtherLoad::Decaying, ..Settings::default() };
    let mut fixture = Fixture::with(settings, spec(classes(), SLOTS), SERVERS);
    let mut running: Vec<(Ticket, usize)> = Vec::new();
    let mut hash = 0_u64;
    for number in 0..REQUESTS {
        fixture.advance(3 + number % 5);
        offer(&mut fixture, number, has_prompts);
        for (ticket, backend) in fixture.poll_dispatches() {
            let server = fixture.server_index(backend);
            hash = hash.wrapping_mul(0x0000_0100_0000_01b3) ^ (server as u64 + 1);
            running.push((ticket, server));
        }
        if number % 3 != 0 && !running.is_empty() {
            let (ticket, server) = running.remove((number * 7) as usize % running.len());
            fixture.stream_tokens(&[ticket], 2 + server as u64 % 3, 2);
            fixture.finish(ticket);
            let report = load_report(1, (number % 6) as u32, SLOTS);
            fixture.scheduler.load_report(fixture.now, fixture.backends[server], &report);
        }
        if number % 40 == 0 {
            let key = fixture.backends[(number / 40) as usize % SERVERS];
            let work = PendingWork { requests: 3, unread_tokens: 9_000 };
            fixture.scheduler.set_others_work(fixture.now, fixture.pool, &[(key, work)]);
        }
    }
    hash
}

fn offer(fixture: &mut Fixture, number: u64, has_prompts: bool) {
    let class = if number.is_multiple_of(3) { "chat" } else { "draft" };
    let offer = fixture.new_offer(class, "a");
    let part = |id, tokens| PromptPart { id, tokens };
    let shared = if class == "chat" { 350 } else { 13_300 };
    let parts = match has_prompts {
        true => vec![part(1 + number % 13, shared), part(1_000 + number, 1_100)],
        false => Vec::new(),
    };
    let _ = fixture.scheduler.offer_prompt(fixture.now, offer, Prompt { parts });
}

fn classes() -> Vec<ClassSpec> {
    let draft = ClassSpec { between_token_target_ms: 1_200, ..class("draft", 1, 0) };
    let chat = ClassSpec {
        first_token_target_ms: 250,
        between_token_target_ms: 120,
        ..class("chat", 9, 0)
    };
    vec![draft, chat]
}
