//! Engines that prefill the most urgent prompt first, those of the same urgency in the order of their
//! arrival, and cache shared prefixes. All requests in flight share the engine as in a continuous
//! batch.
#![allow(unreachable_pub)]

use std::collections::{HashSet, VecDeque};

use policy::Prompt;

/// Duration of one step of the simulation.
pub const STEP_MS: u64 = 10;
/// Prompt tokens that an engine prefills per millisecond.
pub const PREFILL_TOKENS_PER_MS: u32 = 37;
/// Time between two tokens of a stream while the engine prefills another prompt, and otherwise.
const TOKEN_GAPS_MS: [f64; 2] = [65.0, 10.0];

/// A request at an engine; `id` is chosen by the caller.
#[derive(Debug)]
pub struct Job {
    pub id: usize,
    /// 0 is the most urgent.
    pub urgency: usize,
    pub prompt: Prompt,
    pub answer_tokens: u32,
}

/// A prompt that is not prefilled yet.
#[derive(Debug)]
struct Pending {
    job: Job,
    /// The tokens that it still needs, once its prefill has begun.
    remaining_tokens: Option<u32>,
}

/// What happened to a request in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    FirstToken(usize),
    Finished(usize),
}

/// One engine.
#[derive(Debug, Default)]
pub struct PromptEngine {
    /// The most urgent prompt is the first one.
    queue: VecDeque<Pending>,
    /// Streams with the tokens that they still need.
    streams: Vec<(usize, f64)>,
    cached_parts: HashSet<u64>,
}

impl PromptEngine {
    pub fn submit(&mut self, job: Job) {
        let place = self.queue.partition_point(|it| it.job.urgency <= job.urgency);
        self.queue.insert(place, Pending { job, remaining_tokens: None });
    }

    /// Drops a request whose caller has disconnected.
    pub fn cancel(&mut self, id: usize) {
        self.queue.retain(|it| it.job.id != id);
        self.streams.retain(|it| it.0 != id);
    }

    pub fn step(&mut self) -> Vec<Progress> {
        let [busy_gap_ms, idle_gap_ms] = TOKEN_GAPS_MS;
        let gap_ms = if self.queue.is_empty() { idle_gap_ms } else { busy_gap_ms };
        let mut progress = Vec::new();
        for (id, tokens) in &mut self.streams {
            *tokens -= STEP_MS as f64 / gap_ms;
            if *tokens <= 0.0 {
                progress.push(Progress::Finished(*id));
            }
        }
        self.streams.retain(|it| it.1 > 0.0);
        self.prefill(&mut progress);
        progress
    }

    fn prefill(&mut self, progress: &mut Vec<Progress>) {
        let mut budget = PREFILL_TOKENS_PER_MS * STEP_MS as u32;
        while budget > 0
            && let Some(first) = self.queue.front_mut()
        {
            let uncached = uncached_tokens(&first.job.prompt, &self.cached_parts);
            let remaining = first.remaining_tokens.unwrap_or(uncached);
            let prefilled = remaining.min(budget);
            budget -= prefilled;
            first.remaining_tokens = Some(remaining - prefilled);
            if prefilled < remaining {
                return;
            }
            let Some(Pending { job, .. }) = self.queue.pop_front() else { return };
            self.cached_parts.extend(job.prompt.parts.iter().map(|it| it.id));
            self.streams.push((job.id, f64::from(job.answer_tokens)));
            progress.push(Progress::FirstToken(job.id));
        }
    }
}

/// The tokens to prefill. A part is cached only together with all parts before it.
fn uncached_tokens(prompt: &Prompt, cached_parts: &HashSet<u64>) -> u32 {
    let parts = prompt.parts.iter().skip_while(|it| cached_parts.contains(&it.id));
    parts.map(|it| it.tokens).sum::<u32>().max(1)
}
