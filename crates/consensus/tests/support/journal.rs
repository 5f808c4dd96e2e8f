//! A minimal application whose state is the list of all commands.

use crate::cluster::App;

/// The applied commands as lines of text.
#[derive(Default)]
pub(crate) struct Journal(String);

impl App for Journal {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        self.0.push_str(&String::from_utf8_lossy(command));
        self.0.push('\n');
        command.to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.as_bytes().to_vec()
    }

    fn restore(&mut self, data: &[u8]) {
        self.0 = String::from_utf8_lossy(data).into_owned();
    }
}

impl Journal {
    pub(crate) fn lines(&self) -> impl Iterator<Item = &str> {
        self.0.lines()
    }
}
