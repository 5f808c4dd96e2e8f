//! What the engine model can do at most: engines that always have a full batch.

use std::time::Duration;

use engine_model::{Engine, EngineSettings, Priority, RequestId, RequestSpec};

const MEASURED: Duration = Duration::from_secs(60);
const PROMPT_TOKENS: u32 = 175;
const ANSWER_TOKENS: u64 = 200;

/// Answer tokens a second of `servers` engines that are never short of work.
pub fn tokens_per_second(settings: &EngineSettings, servers: usize) -> f64 {
    let mut engine = Engine::new(settings.clone());
    let (mut elapsed, mut tokens, mut next) = (Duration::ZERO, 0_u64, 0_u64);
    while elapsed < MEASURED {
        while engine.load().waiting < 2 {
            next += 1;
            // Answers of all lengths around the mean, so that prompts do not come all at once.
            let output_tokens = (ANSWER_TOKENS / 2 + next * 37 % ANSWER_TOKENS) as u32;
            let spec = RequestSpec {
                id: RequestId(next),
                prompt_tokens: PROMPT_TOKENS,
                prefix: Vec::new(),
                output_tokens,
                priority: Priority(0),
            };
            engine.submit(spec).expect("the queue was almost empty");
        }
        let step = engine.step();
        elapsed += step.duration;
        tokens += step.tokens.iter().map(|it| u64::from(it.count)).sum::<u64>();
    }
    tokens as f64 / elapsed.as_secs_f64() * servers as f64
}
