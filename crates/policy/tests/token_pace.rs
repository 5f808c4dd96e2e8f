//! Lower classes leave slots empty while a full batch breaks a stricter target between tokens.

#[path = "support/world.rs"]
mod world;

use std::collections::VecDeque;

use policy::{ClassSpec, Pacing, Settings, Ticket};
use world::{World, class, spec};

const SLOTS: u32 = 16;
/// A step of 10 ms and 2 ms a request, so 12 requests are within 36 ms and 16 are not.
const TARGET_MS: u64 = 36;
const ANSWER_TOKENS: u32 = 40;
const ROUNDS: usize = 600;

struct Batch {
    world: World,
    running: VecDeque<(Ticket, u32)>,
}

impl Batch {
    fn new(pacing: Pacing) -> Self {
        let tight = ClassSpec { between_token_target_ms: TARGET_MS, ..class("chat", 9, 100) };
        let classes = vec![tight, class("summary", 1, 100)];
        let settings = Settings { pacing, ..Settings::default() };
        Self { world: World::with(settings, spec(classes, SLOTS), 1), running: VecDeque::new() }
    }

    fn start(&mut self) -> usize {
        let started = self.world.dispatched();
        for (ticket, _) in &started {
            self.world.scheduler.first_token(*ticket, self.world.now);
            self.running.push_back((*ticket, 0));
        }
        started.len()
    }

    /// Runs steps with summaries waiting, and returns the steps' mean time in the last half.
    fn run(&mut self, chat_every: usize) -> f64 {
        let mut sum_ms = 0;
        for round in 0..ROUNDS {
            let summary = self.world.scheduler.class("summary").expect("the class is in the spec");
            while self.world.scheduler.class_counts(summary, self.world.pool).waiting < 4 {
                self.world.offer("summary");
            }
            if chat_every > 0 && round % chat_every == 0 {
                self.world.offer("chat");
            }
            self.start();
            let step_ms = 10 + 2 * self.running.len() as u64;
            self.step(step_ms);
            sum_ms += if round * 2 >= ROUNDS { step_ms } else { 0 };
        }
        sum_ms as f64 / (ROUNDS / 2) as f64
    }

    fn step(&mut self, step_ms: u64) {
        self.world.pass(step_ms);
        for (ticket, tokens) in &mut self.running {
            *tokens += 1;
            self.world.scheduler.tokens(*ticket, self.world.now, 1);
        }
        while self.running.front().is_some_and(|it| it.1 >= ANSWER_TOKENS) {
            let (ticket, _) = self.running.pop_front().expect("the front was seen");
            self.world.finish(ticket);
        }
    }
}

#[test]
fn target_is_kept() {
    let target_ms = TARGET_MS as f64;
    assert!(Batch::new(Pacing::Off).run(20) > target_ms, "a full batch has to break the target");
    let paced_ms = Batch::new(Pacing::Adaptive).run(20);
    assert!(paced_ms <= target_ms, "steps of {paced_ms} ms");
    assert!(paced_ms >= target_ms * 0.8, "slots are left empty without need: {paced_ms} ms");
}

#[test]
fn full_without_urgent() {
    let full_ms = f64::from(10 + 2 * SLOTS);
    let mut batch = Batch::new(Pacing::Adaptive);
    batch.run(20);
    assert_eq!(batch.run(0), full_ms);
}

#[test]
fn urgent_fills_up() {
    let mut batch = Batch::new(Pacing::Adaptive);
    batch.run(20);
    batch.world.offer_many("summary", SLOTS as usize);
    batch.start();
    let free = SLOTS as usize - batch.running.len();
    assert!(free > 0, "lower work left no slot");
    batch.world.offer_many("chat", free);
    assert_eq!(batch.start(), free);
}

/// Urgent work alone fills the server, and the summaries still get their share.
#[test]
fn share_advances() {
    let mut batch = Batch::new(Pacing::Adaptive);
    batch.run(1);
    let summary = batch.world.scheduler.class("summary").expect("the class is in the spec");
    let figures = batch.world.scheduler.class_counts(summary, batch.world.pool);
    assert!(figures.guaranteed > 0, "{figures:?}");
}
