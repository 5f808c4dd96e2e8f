//! Lower classes leave slots empty while a full batch would violate a stricter target between
//! tokens.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::VecDeque;

use fixture::{Fixture, class, spec};
use policy::{ClassSpec, Pacing, Settings, Ticket};

const SLOTS: u32 = 16;
/// A step takes 10 ms and 2 ms per request, so 12 requests meet this target and 16 do not.
const TARGET_MS: u64 = 36;
const ANSWER_TOKENS: u32 = 40;
const ROUNDS: usize = 600;

struct Batch {
    fixture: Fixture,
    running: VecDeque<(Ticket, u32)>,
}

impl Batch {
    fn new(pacing: Pacing) -> Self {
        let chat = ClassSpec { between_token_target_ms: TARGET_MS, ..class("chat", 9, 100) };
        let classes = vec![chat, class("summary", 1, 100)];
        let settings = Settings { pacing, ..Settings::default() };
        Self { fixture: Fixture::with(settings, spec(classes, SLOTS), 1), running: VecDeque::new() }
    }

    fn start(&mut self) -> usize {
        let started = self.fixture.poll_dispatches();
        for (ticket, _) in &started {
            self.fixture.scheduler.first_token(*ticket, self.fixture.now);
            self.running.push_back((*ticket, 0));
        }
        started.len()
    }

    /// Runs steps with queued summaries, and returns the mean time of the steps in the second half.
    fn run(&mut self, chat_every: usize) -> f64 {
        let mut sum_ms = 0;
        for round in 0..ROUNDS {
            let summary =
                self.fixture.scheduler.class("summary").expect("the class is in the spec");
            while self.fixture.scheduler.class_counts(summary, self.fixture.pool).waiting < 4 {
                self.fixture.offer("summary");
            }
            if chat_every > 0 && round % chat_every == 0 {
                self.fixture.offer("chat");
            }
            self.start();
            let step_ms = 10 + 2 * self.running.len() as u64;
            self.step(step_ms);
            sum_ms += if round * 2 >= ROUNDS { step_ms } else { 0 };
        }
        sum_ms as f64 / (ROUNDS / 2) as f64
    }

    fn step(&mut self, step_ms: u64) {
        self.fixture.advance(step_ms);
        for (ticket, tokens) in &mut self.running {
            *tokens += 1;
            self.fixture.scheduler.tokens(*ticket, self.fixture.now, 1);
        }
        while self.running.front().is_some_and(|it| it.1 >= ANSWER_TOKENS) {
            let (ticket, _) = self.running.pop_front().expect("the front exists");
            self.fixture.finish(ticket);
        }
    }
}

#[test]
fn target_kept() {
    let target_ms = TARGET_MS as f64;
    assert!(Batch::new(Pacing::Off).run(20) > target_ms, "a full batch must violate the target");
    let paced_ms = Batch::new(Pacing::Adaptive).run(20);
    assert!(paced_ms <= target_ms, "steps take {paced_ms} ms");
    assert!(
        paced_ms >= target_ms * 0.8,
        "more slots are left empty than needed: steps take {paced_ms} ms"
    );
}

#[test]
fn no_limit_without_urgent() {
    let full_ms = f64::from(10 + 2 * SLOTS);
    let mut batch = Batch::new(Pacing::Adaptive);
    batch.run(20);
    assert_eq!(batch.run(0), full_ms);
}

#[test]
fn urgent_uses_all_slots() {
    let mut batch = Batch::new(Pacing::Adaptive);
    batch.run(20);
    batch.fixture.offer_many("summary", SLOTS as usize);
    batch.start();
    let free = SLOTS as usize - batch.running.len();
    assert!(free > 0, "the lower class left no free slot");
    batch.fixture.offer_many("chat", free);
    assert_eq!(batch.start(), free);
}

/// Guards against starving the summaries while urgent requests alone fill the server.
#[test]
fn guaranteed_share_kept() {
    let mut batch = Batch::new(Pacing::Adaptive);
    batch.run(1);
    let summary = batch.fixture.scheduler.class("summary").expect("the class is in the spec");
    let counts = batch.fixture.scheduler.class_counts(summary, batch.fixture.pool);
    assert!(counts.guaranteed > 0, "{counts:?}");
}
