//! One server of the pool: an engine model, its incarnation and its load report.

use std::time::Duration;

use engine_model::{Engine, EngineSettings, StepReport};
use policy::LoadReport;

pub(crate) struct Server {
    pub(crate) engine: Engine,
    pub(crate) settings: EngineSettings,
    pub(crate) incarnation: u64,
    pub(crate) state: ServerState,
    /// The step in progress; its tokens are sent when it ends.
    pub(crate) step: Option<StepReport>,
    /// Counts steps and crashes, so that the end of a step that a crash interrupted is ignored.
    pub(crate) step_seq: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerState {
    Up,
    Down,
}

impl Server {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            engine: Engine::new(settings.clone()),
            settings,
            incarnation: 1,
            state: ServerState::Up,
            step: None,
            step_seq: 0,
        }
    }

    pub(crate) fn crash(&mut self) {
        self.state = ServerState::Down;
        self.engine = Engine::new(self.settings.clone());
        self.step = None;
        self.step_seq += 1;
    }

    pub(crate) fn restart(&mut self) {
        self.state = ServerState::Up;
        self.incarnation += 1;
    }

    pub(crate) fn report(&self, age: Duration) -> LoadReport {
        let load = self.engine.load();
        LoadReport {
            incarnation: Some(self.incarnation),
            running: load.running,
            waiting: load.waiting,
            batch_max: load.batch_max,
            kv_used_permille: load.kv_used_permille,
            age,
        }
    }
}
