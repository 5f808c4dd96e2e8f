//! Runs the state machine as the application of a test cluster.

use control_state::State;

use crate::cluster::App;

#[derive(Default)]
pub(crate) struct Machine(pub(crate) State);

impl App for Machine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        self.0.apply_bytes(command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }

    fn restore(&mut self, data: &[u8]) {
        self.0 = State::restore(data).expect("a snapshot of the same version decodes");
    }
}
