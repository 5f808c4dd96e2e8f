//! The maximum throughput of the engine model, with batches that are always full.

use std::time::Duration;

use engine_model::{Engine, EngineSettings, Priority, RequestId, RequestSpec};

const MEASURED_TIME: Duration = Duration::from_secs(60);
const PROMPT_TOKENS: u32 = 175;
const MEAN_ANSWER_TOKENS: u64 = 200;

/// Returns the answer tokens per second of `servers` saturated engines.
pub fn tokens_per_second(settings: &EngineSettings, servers: usize) -> f64 {
    let mut engine = Engine::new(settings.clone());
    let (mut elapsed, mut tokens, mut next) = (Duration::ZERO, 0_u64, 0_u64);
    while elapsed < MEASURED_TIME {
        while engine.load().waiting < 2 {
            next += 1;
            // Answer lengths vary around the mean, so that prefills do not coincide in one step.
            let output_tokens = (MEAN_ANSWER_TOKENS / 2 + next * 37 % MEAN_ANSWER_TOKENS) as u32;
            let spec = RequestSpec {
                id: RequestId(next),
                prompt_tokens: PROMPT_TOKENS,
                prefix: Vec::new(),
                output_tokens,
                priority: Priority(0),
            };
            engine.submit(spec).expect("the queue holds fewer than two requests");
        }
        let step = engine.step();
        elapsed += step.duration;
        tokens += step.tokens.iter().map(|it| u64::from(it.count)).sum::<u64>();
    }
    tokens as f64 / elapsed.as_secs_f64() * servers as f64
}
