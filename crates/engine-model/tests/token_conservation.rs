//! Guards against lost or duplicated tokens, KV memory above its limit and requests that never
//! finish, under random sequences of calls.

use std::collections::BTreeMap;

use engine_model::{
    Engine, EngineSettings, PausedKv, Priority, RequestId, RequestSpec, StepReport,
};
use proptest::{prelude::*, test_runner::RngSeed};

#[derive(Debug, Clone)]
enum Action {
    Submit { prompt_tokens: u32, output_tokens: u32, priority: u8 },
    Pause(u64),
    Resume(u64),
    Cancel(u64),
    Step,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (1..40u32, 0..30u32, 0..3u8).prop_map(|(prompt_tokens, output_tokens, priority)| {
            Action::Submit { prompt_tokens, output_tokens, priority }
        }),
        1 => (0..12u64).prop_map(Action::Pause),
        1 => (0..12u64).prop_map(Action::Resume),
        1 => (0..12u64).prop_map(Action::Cancel),
        6 => Just(Action::Step),
    ]
}

fn settings(paused_kv: PausedKv) -> EngineSettings {
    EngineSettings {
        batch_max: 4,
        waiting_max: 8,
        block_tokens: 4,
        kv_blocks: 20,
        prefill_step_max_tokens: 16,
        paused_kv,
        ..EngineSettings::default()
    }
}

/// The engine and the caller's view of its requests.
struct Model {
    engine: Engine,
    decoded_tokens: BTreeMap<RequestId, u32>,
    expected_tokens: BTreeMap<RequestId, u32>,
    priorities: BTreeMap<RequestId, Priority>,
    paused: Vec<RequestId>,
    waiting: Vec<RequestId>,
    next_id: u64,
}

impl Model {
    fn new(paused_kv: PausedKv) -> Model {
        Model {
            engine: Engine::new(settings(paused_kv)),
            decoded_tokens: BTreeMap::new(),
            expected_tokens: BTreeMap::new(),
            priorities: BTreeMap::new(),
            paused: Vec::new(),
            waiting: Vec::new(),
            next_id: 0,
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Submit { prompt_tokens, output_tokens, priority } => {
                self.submit(prompt_tokens, output_tokens, Priority(priority));
            }
            Action::Pause(id) if self.engine.pause(RequestId(id)).is_some() => {
                self.waiting.retain(|it| it.0 != id);
                self.paused.push(RequestId(id));
            }
            Action::Resume(id) if self.paused.contains(&RequestId(id)) => {
                self.resume(RequestId(id))
            }
            Action::Cancel(id) => self.cancel(RequestId(id)),
            Action::Step => self.step(),
            Action::Pause(_) | Action::Resume(_) => {}
        }
        assert!(self.engine.kv_used_blocks() <= 20, "the KV memory in use exceeds its 20 blocks");
    }

    fn submit(&mut self, prompt_tokens: u32, output_tokens: u32, priority: Priority) {
        let id = RequestId(self.next_id);
        let spec = RequestSpec { id, prompt_tokens, prefix: Vec::new(), output_tokens, priority };
        if self.engine.submit(spec).is_err() {
            return;
        }
        self.next_id += 1;
        self.expected_tokens.insert(id, output_tokens);
        self.decoded_tokens.insert(id, 0);
        self.priorities.insert(id, priority);
        self.waiting.push(id);
    }

    fn resume(&mut self, id: RequestId) {
        assert_eq!(self.engine.resume(id), self.decoded_tokens.get(&id).copied());
        self.paused.retain(|it| *it != id);
        self.waiting.push(id);
    }

    fn cancel(&mut self, id: RequestId) {
        let cancelled = self.engine.cancel(id).map(|it| it.produced_tokens);
        let tracked = self.expected_tokens.remove(&id).and(self.decoded_tokens.remove(&id));
        assert_eq!(cancelled, tracked, "the engine and the caller disagree on the decoded tokens");
        self.paused.retain(|it| *it != id);
        self.waiting.retain(|it| *it != id);
    }

    fn step(&mut self) {
        let report = self.engine.step();
        self.check_priorities(&report);
        for emitted in &report.tokens {
            *self
                .decoded_tokens
                .get_mut(&emitted.id)
                .expect("a step decodes tokens for live requests only") += emitted.count;
        }
        for id in &report.finished {
            assert_eq!(
                self.decoded_tokens.remove(id),
                self.expected_tokens.remove(id),
                "a finished request has too few or too many tokens"
            );
        }
        self.waiting.extend(&report.preempted);
    }

    /// Checks that no admitted request is less urgent than one that is still waiting.
    fn check_priorities(&mut self, report: &StepReport) {
        self.waiting.retain(|it| !report.admitted.contains(it));
        let most_urgent_waiting = self.waiting.iter().map(|it| self.priorities[it]).min();
        let least_urgent_admitted = report.admitted.iter().map(|it| self.priorities[it]).max();
        if let (Some(waiting), Some(admitted)) = (most_urgent_waiting, least_urgent_admitted) {
            assert!(admitted <= waiting, "priority {admitted} admitted before {waiting}");
        }
    }

    fn drain(&mut self) {
        for id in std::mem::take(&mut self.paused) {
            self.engine.resume(id);
            self.waiting.push(id);
        }
        let mut steps = 0;
        while !self.engine.is_idle() {
            self.step();
            steps += 1;
            assert!(steps < 10_000, "the engine is not idle after {steps} steps");
        }
        assert!(
            self.decoded_tokens.is_empty(),
            "some requests are unfinished although the engine is idle"
        );
        assert_eq!(self.engine.kv_used_blocks(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn tokens_conserved(
        actions in prop::collection::vec(action(), 1..120),
        paused_kv in prop_oneof![Just(PausedKv::Keep), Just(PausedKv::Free)],
    ) {
        let mut model = Model::new(paused_kv);
        for action in actions {
            model.apply(action);
        }
        model.drain();
    }
}
