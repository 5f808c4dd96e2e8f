//! Guards against lost or repeated tokens and needless prefill after a pause, a resume or a
//! transfer to another engine.

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

/// Runs until the engine is idle; returns the numbers of decoded and prefilled tokens.
fn run_until_idle(engine: &mut Engine) -> (u32, u32) {
    let mut decoded = 0;
    let mut prefilled = 0;
    while !engine.is_idle() {
        let step = engine.step();
        decoded += step.tokens.iter().map(|it| it.count).sum::<u32>();
        prefilled += step.prefill_tokens;
    }
    (decoded, prefilled)
}

fn paused_after_two_tokens(paused_kv: PausedKv) -> Engine {
    let mut engine = engine(paused_kv);
    submit(&mut engine);
    engine.step();
    engine.step();
    assert_eq!(engine.pause(ID), Some(2));
    assert!(engine.is_idle());
    engine
}

#[test]
fn kept_kv_not_recomputed() {
    let mut engine = paused_after_two_tokens(PausedKv::Keep);
    assert!(engine.kv_used_blocks() > 0);
    assert_eq!(engine.resume(ID), Some(2));
    assert_eq!(run_until_idle(&mut engine), (OUTPUT_TOKENS - 2, 0));
}

#[test]
fn freed_kv_recomputed() {
    let mut engine = paused_after_two_tokens(PausedKv::Free);
    assert_eq!(engine.kv_used_blocks(), 0);
    engine.resume(ID);
    assert_eq!(run_until_idle(&mut engine), (OUTPUT_TOKENS - 2, 12));
}

#[test]
fn cancel_frees_kv() {
    let mut engine = paused_after_two_tokens(PausedKv::Keep);
    assert_eq!(engine.cancel(ID).map(|it| it.produced_tokens), Some(2));
    assert_eq!(engine.kv_used_blocks(), 0);
    assert_eq!(engine.cancel(ID), None);
    assert_eq!(engine.resume(ID), None);
}

#[test]
fn import_skips_prefill() {
    let source = paused_after_two_tokens(PausedKv::Keep);
    let export = source.export(ID).expect("the request is paused there");
    let mut target = engine(PausedKv::Keep);
    target.import(export).expect("the engine is idle");
    assert_eq!(run_until_idle(&mut target), (OUTPUT_TOKENS - 2, 0));
}

#[test]
fn import_without_kv_recomputes() {
    let source = paused_after_two_tokens(PausedKv::Free);
    let export = source.export(ID).expect("the request is paused there");
    let mut target = engine(PausedKv::Keep);
    target.import(export).expect("the engine is idle");
    assert_eq!(run_until_idle(&mut target), (OUTPUT_TOKENS - 2, 12));
}
