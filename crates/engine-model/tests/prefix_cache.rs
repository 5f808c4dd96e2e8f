//! Guards against wrong prefix hits, eviction out of LRU order and unreported gaps in the event
//! log.

use engine_model::{
    CacheEventKind, CacheSeq, Engine, EngineSettings, Priority, RequestId, RequestSpec,
    prefix_blocks, token_count,
};
use expect_test::expect;

const BLOCK_TOKENS: u32 = 2;

fn engine(prefix_cache_blocks: u32, cache_events_max: u32) -> Engine {
    Engine::new(EngineSettings {
        block_tokens: BLOCK_TOKENS,
        prefix_cache_blocks,
        cache_events_max,
        ..EngineSettings::default()
    })
}

/// Runs a request to completion and returns the number of its prompt tokens found in the cache.
fn run(engine: &mut Engine, prompt: &str) -> u32 {
    let spec = RequestSpec {
        id: RequestId(1),
        prompt_tokens: token_count(prompt),
        prefix: prefix_blocks(prompt, BLOCK_TOKENS),
        output_tokens: 1,
        priority: Priority::default(),
    };
    engine.submit(spec).expect("the engine is idle");
    let mut cached_tokens = 0;
    while !engine.is_idle() {
        cached_tokens += engine.step().cached_tokens;
    }
    cached_tokens
}

#[test]
fn shared_prefix_hits() {
    let mut engine = engine(8, 100);
    assert_eq!(run(&mut engine, "a b c d e"), 0);
    assert_eq!(run(&mut engine, "a b c d f g"), 4);
    assert_eq!(run(&mut engine, "x b c d"), 0);
}

#[test]
fn last_token_prefilled() {
    let mut engine = engine(8, 100);
    run(&mut engine, "a b c d");
    assert_eq!(run(&mut engine, "a b c d"), 3);
}

#[test]
fn lru_eviction() {
    let mut engine = engine(2, 100);
    run(&mut engine, "a b");
    run(&mut engine, "c d");
    run(&mut engine, "a b");
    run(&mut engine, "e f");
    let block_text = |prefix| {
        ["a b", "c d", "e f"].into_iter().find(|it| prefix_blocks(it, BLOCK_TOKENS)[0] == prefix)
    };
    let events: Vec<_> = engine
        .cache_events(CacheSeq(1))
        .events
        .into_iter()
        .map(|it| format!("{} {:?} {}", it.seq, it.kind, block_text(it.prefix).unwrap_or("?")))
        .collect();
    expect![[r#"
        1 Stored a b
        2 Stored c d
        3 Evicted c d
        4 Stored e f"#]]
    .assert_eq(&events.join("\n"));
}

#[test]
fn dropped_events_gap() {
    let mut engine = engine(8, 2);
    run(&mut engine, "a b c d e f");
    let page = engine.cache_events(CacheSeq(1));
    assert!(page.gap);
    assert_eq!(page.events.len(), 2);
    let next = engine.cache_events(page.next);
    assert!(!next.gap);
    assert!(next.events.is_empty());
    assert!(page.events.iter().all(|it| it.kind == CacheEventKind::Stored));
}

#[test]
fn future_position_gap() {
    assert!(engine(8, 2).cache_events(CacheSeq(50)).gap);
}
