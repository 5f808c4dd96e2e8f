//! Paused, resumed and moved requests make each of their tokens once.

use engine_model::{Engine, EngineSettings, PausedKv, Priority, RequestId, RequestSpec};

const ID: RequestId = RequestId(1);
const OUTPUT_TOKENS: u32 = 6;

fn engine(paused_kv: PausedKv) -> Engine {
    Engine::new(EngineSettings { paused_kv, ..EngineSettings::default() })
}

fn submit(engine: &mut Engine) {
    let spec = RequestSpec {
        id: ID,
        prompt_tokens: 10,
        prefix: Vec::new(),
        output_tokens: OUTPUT_TOKENS,
        priority: Priority::default(),
    };
    engine.submit(spec).expect("the engine is idle");
}

/// Runs to the end; returns the tokens made and the prompt tokens computed.
fn finish(engine: &mut Engine) -> (u32, u32) {
    let mut made = 0;
    let mut prefilled = 0;
    while !engine.is_idle() {
        let step = engine.step();
        made += step.tokens.iter().map(|it| it.count).sum::<u32>();
        prefilled += step.prefill_tokens;
    }
    (made, prefilled)
}

fn pause_after_two(paused_kv: PausedKv) -> Engine {
    let mut engine = engine(paused_kv);
    submit(&mut engine);
    engine.step();
    engine.step();
    assert_eq!(engine.pause(ID), Some(2));
    assert!(engine.is_idle());
    engine
}

#[test]
fn kept_kv_costs_nothing() {
    let mut engine = pause_after_two(PausedKv::Keep);
    assert!(engine.kv_used_blocks() > 0);
    assert_eq!(engine.resume(ID), Some(2));
    assert_eq!(finish(&mut engine), (OUTPUT_TOKENS - 2, 0));
}

#[test]
fn freed_kv_is_recomputed() {
    let mut engine = pause_after_two(PausedKv::Free);
    assert_eq!(engine.kv_used_blocks(), 0);
    engine.resume(ID);
    assert_eq!(finish(&mut engine), (OUTPUT_TOKENS - 2, 12));
}

#[test]
fn cancel_frees() {
    let mut engine = pause_after_two(PausedKv::Keep);
    assert_eq!(engine.cancel(ID).map(|it| it.produced_tokens), Some(2));
    assert_eq!(engine.kv_used_blocks(), 0);
    assert_eq!(engine.cancel(ID), None);
    assert_eq!(engine.resume(ID), None);
}

#[test]
fn import_skips_prefill() {
    let source = pause_after_two(PausedKv::Keep);
    let export = source.export(ID).expect("the request is paused there");
    let mut target = engine(PausedKv::Keep);
    target.import(export).expect("the engine is idle");
    assert_eq!(finish(&mut target), (OUTPUT_TOKENS - 2, 0));
}

#[test]
fn import_without_kv_recomputes() {
    let source = pause_after_two(PausedKv::Free);
    let export = source.export(ID).expect("the request is paused there");
    let mut target = engine(PausedKv::Keep);
    target.import(export).expect("the engine is idle");
    assert_eq!(finish(&mut target), (OUTPUT_TOKENS - 2, 12));
}
