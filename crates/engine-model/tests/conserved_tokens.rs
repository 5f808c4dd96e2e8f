//! Whatever callers do, tokens are conserved, memory holds and every request ends.

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

/// The engine beside what a caller knows of its requests.
struct Model {
    engine: Engine,
    made: BTreeMap<RequestId, u32>,
    wanted: BTreeMap<RequestId, u32>,
    priorities: BTreeMap<RequestId, Priority>,
    paused: Vec<RequestId>,
    waiting: Vec<RequestId>,
    ids: u64,
}

impl Model {
    fn new(paused_kv: PausedKv) -> Model {
        Model {
            engine: Engine::new(settings(paused_kv)),
            made: BTreeMap::new(),
            wanted: BTreeMap::new(),
            priorities: BTreeMap::new(),
            paused: Vec::new(),
            waiting: Vec::new(),
            ids: 0,
        }
    }

    fn act(&mut self, action: Action) {
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
        assert!(self.engine.kv_used_blocks() <= 20, "KV memory exceeded");
    }

    fn submit(&mut self, prompt_tokens: u32, output_tokens: u32, priority: Priority) {
        let id = RequestId(self.ids);
        let spec = RequestSpec { id, prompt_tokens, prefix: Vec::new(), output_tokens, priority };
        if self.engine.submit(spec).is_err() {
            return;
        }
        self.ids += 1;
        self.wanted.insert(id, output_tokens);
        self.made.insert(id, 0);
        self.priorities.insert(id, priority);
        self.waiting.push(id);
    }

    fn resume(&mut self, id: RequestId) {
        assert_eq!(self.engine.resume(id), self.made.get(&id).copied());
        self.paused.retain(|it| *it != id);
        self.waiting.push(id);
    }

    fn cancel(&mut self, id: RequestId) {
        let cancelled = self.engine.cancel(id).map(|it| it.produced_tokens);
        let known = self.wanted.remove(&id).and(self.made.remove(&id));
        assert_eq!(cancelled, known, "the engine and the caller count alike");
        self.paused.retain(|it| *it != id);
        self.waiting.retain(|it| *it != id);
    }

    fn step(&mut self) {
        let report = self.engine.step();
        self.check_priorities(&report);
        for emitted in &report.tokens {
            *self.made.get_mut(&emitted.id).expect("tokens only for live requests") +=
                emitted.count;
        }
        for id in &report.finished {
            assert_eq!(self.made.remove(id), self.wanted.remove(id), "all tokens were made once");
        }
        self.waiting.extend(&report.preempted);
    }

    /// No admitted request is less urgent than one that waited and was left waiting.
    fn check_priorities(&mut self, report: &StepReport) {
        self.waiting.retain(|it| !report.admitted.contains(it));
        let most_urgent_left = self.waiting.iter().map(|it| self.priorities[it]).min();
        let least_urgent_in = report.admitted.iter().map(|it| self.priorities[it]).max();
        if let (Some(left), Some(admitted)) = (most_urgent_left, least_urgent_in) {
            assert!(admitted <= left, "priority {admitted} went before {left}");
        }
    }

    fn run_out(&mut self) {
        for id in std::mem::take(&mut self.paused) {
            self.engine.resume(id);
            self.waiting.push(id);
        }
        let mut steps = 0;
        while !self.engine.is_idle() {
            self.step();
            steps += 1;
            assert!(steps < 10_000, "the engine makes no progress");
        }
        assert!(self.made.is_empty(), "every request ended");
        assert_eq!(self.engine.kv_used_blocks(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn every_request_ends(
        actions in prop::collection::vec(action(), 1..120),
        paused_kv in prop_oneof![Just(PausedKv::Keep), Just(PausedKv::Free)],
    ) {
        let mut model = Model::new(paused_kv);
        for action in actions {
            model.act(action);
        }
        model.run_out();
    }
}
