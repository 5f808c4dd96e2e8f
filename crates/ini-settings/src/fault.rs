//! Faults that a reader finds, each with the place and the remedy.

use derive_more::{Display, Error};

/// One fault in a file of settings or in a table.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{source_name}:{line}: {name}: {problem}; {remedy}")]
pub struct Fault {
    /// The file, as the caller named it.
    pub source_name: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The section and key, such as `chat.deadline_ms`.
    pub name: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// All faults found in one reading, in the order of their lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Error)]
#[display("{}", self.lines())]
pub struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    /// Adds one fault.
    pub fn push(&mut self, fault: Fault) {
        self.list.push(fault);
    }

    /// Adds all faults of another reading.
    pub fn extend(&mut self, other: Faults) {
        self.list.extend(other.list);
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The faults found.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.list.iter()
    }

    /// Gives `value` back if nothing is wrong.
    ///
    /// # Errors
    ///
    /// All faults, sorted by file and line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Faults> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by(|a, b| (&a.source_name, a.line).cmp(&(&b.source_name, b.line)));
        Err(self)
    }

    fn lines(&self) -> String {
        self.list.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
    }
}
