//! Guards against wrong step durations, admission out of priority order and steps that exceed the
//! KV memory.

use std::fmt::Write;

use engine_model::{Engine, EngineSettings, Priority, RequestId, RequestSpec, SubmitError};
use expect_test::{Expect, expect};

fn settings() -> EngineSettings {
    EngineSettings {
        step_base_us: 10_000,
        step_per_sequence_us: 1_000,
        prefill_per_token_us: 100,
        prefill_step_max_tokens: 64,
        batch_max: 2,
        block_tokens: 4,
        kv_blocks: 16,
        ..EngineSettings::default()
    }
}

fn spec(id: u64, priority: u8) -> RequestSpec {
    RequestSpec {
        id: RequestId(id),
        prompt_tokens: 8,
        prefix: Vec::new(),
        output_tokens: 2,
        priority: Priority(priority),
    }
}

/// Submits the requests, runs steps until the engine is idle and compares the log of the steps.
fn check(settings: EngineSettings, specs: Vec<RequestSpec>, expect: Expect) {
    let mut engine = Engine::new(settings);
    let mut log = String::new();
    for spec in specs {
        let id = spec.id;
        if let Err(error) = engine.submit(spec) {
            writeln!(log, "{id} rejected: {error}").unwrap();
        }
    }
    while !engine.is_idle() {
        let step = engine.step();
        let ids = |ids: &[RequestId]| ids.iter().map(|it| it.0).collect::<Vec<_>>();
        let decoded: Vec<_> = step.tokens.iter().map(|it| it.id.0).collect();
        writeln!(
            log,
            "{:?} admitted{:?} prefill {} decoded{decoded:?} finished{:?} preempted{:?} kv {}",
            step.duration,
            ids(&step.admitted),
            step.prefill_tokens,
            ids(&step.finished),
            ids(&step.preempted),
            engine.kv_used_blocks(),
        )
        .unwrap();
    }
    expect.assert_eq(&log);
}

#[test]
fn single_request() {
    check(
        settings(),
        vec![spec(1, 0)],
        expect![[r#"
        11.8ms admitted[1] prefill 8 decoded[1] finished[] preempted[] kv 3
        11ms admitted[] prefill 0 decoded[1] finished[1] preempted[] kv 0
    "#]],
    );
}

#[test]
fn admission_order() {
    check(
        settings(),
        vec![spec(1, 5), spec(2, 5), spec(3, 0)],
        expect![[r#"
        13.6ms admitted[3, 1] prefill 16 decoded[3, 1] finished[] preempted[] kv 6
        12ms admitted[] prefill 0 decoded[3, 1] finished[3, 1] preempted[] kv 0
        11.8ms admitted[2] prefill 8 decoded[2] finished[] preempted[] kv 3
        11ms admitted[] prefill 0 decoded[2] finished[2] preempted[] kv 0
    "#]],
    );
}

#[test]
fn straggler_durations() {
    let straggler = EngineSettings { slowdown_permille: 4_000, ..settings() };
    check(
        straggler,
        vec![spec(1, 0)],
        expect![[r#"
        47.2ms admitted[1] prefill 8 decoded[1] finished[] preempted[] kv 3
        44ms admitted[] prefill 0 decoded[1] finished[1] preempted[] kv 0
    "#]],
    );
}

#[test]
fn chunked_prefill() {
    let long = RequestSpec { prompt_tokens: 50, ..spec(1, 0) };
    let chunked = EngineSettings { prefill_step_max_tokens: 20, ..settings() };
    check(
        chunked,
        vec![long],
        expect![[r#"
        13ms admitted[1] prefill 20 decoded[] finished[] preempted[] kv 13
        13ms admitted[] prefill 20 decoded[] finished[] preempted[] kv 13
        12ms admitted[] prefill 10 decoded[1] finished[] preempted[] kv 13
        11ms admitted[] prefill 0 decoded[1] finished[1] preempted[] kv 0
    "#]],
    );
}

#[test]
fn least_urgent_preempted() {
    let tight = EngineSettings { kv_blocks: 7, ..settings() };
    let long = |id, priority| RequestSpec { output_tokens: 7, ..spec(id, priority) };
    check(
        tight,
        vec![long(1, 5), long(2, 0)],
        expect![[r#"
            13.6ms admitted[2, 1] prefill 16 decoded[2, 1] finished[] preempted[] kv 6
            12ms admitted[] prefill 0 decoded[2, 1] finished[] preempted[] kv 6
            12ms admitted[] prefill 0 decoded[2, 1] finished[] preempted[] kv 6
            12ms admitted[] prefill 0 decoded[2, 1] finished[] preempted[] kv 6
            12ms admitted[] prefill 0 decoded[2] finished[] preempted[1] kv 4
            11ms admitted[] prefill 0 decoded[2] finished[] preempted[] kv 4
            11ms admitted[] prefill 0 decoded[2] finished[2] preempted[] kv 0
            12.2ms admitted[1] prefill 12 decoded[1] finished[] preempted[] kv 4
            11ms admitted[] prefill 0 decoded[1] finished[] preempted[] kv 4
            11ms admitted[] prefill 0 decoded[1] finished[1] preempted[] kv 0
        "#]],
    );
}

#[test]
fn oversized_rejected() {
    let large = RequestSpec { prompt_tokens: 64, ..spec(1, 0) };
    check(
        settings(),
        vec![large],
        expect![[r#"
        1 rejected: prompt and answer exceed the KV memory: shorten the prompt or lower max_tokens
    "#]],
    );
}

#[test]
fn submit_errors() {
    let mut engine = Engine::new(EngineSettings { waiting_max: 1, ..settings() });
    assert_eq!(engine.submit(spec(1, 0)), Ok(()));
    assert_eq!(engine.submit(spec(1, 0)), Err(SubmitError::DuplicateId));
    assert_eq!(engine.submit(spec(2, 0)), Err(SubmitError::QueueFull));
}
